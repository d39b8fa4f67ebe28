#include "standins/workerstandin.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/value_to.hpp>
#include <boost/url/pct_string_view.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds TickInterval{10};
/// Run time after which a task that is configured to fail does so.
constexpr std::int64_t FailAfterMilliseconds = 50;

/// The work in milliseconds that a checkpoint key "checkpoint/<job>/<fence>-<work milliseconds>" contains.
double workOf(const std::string &checkpoint)
{
    if (checkpoint.empty()) {
        return 0;
    }
    const auto dash = checkpoint.rfind('-');
    if (!checkpoint.starts_with("checkpoint/") || dash == std::string::npos) {
        throw std::invalid_argument("'" + checkpoint + "' is not the key of a checkpoint");
    }
    return std::stod(checkpoint.substr(dash + 1));
}

json::object resourcesObject(const Resources &resources)
{
    return {{"cpuMillis", resources.cpuMillis},
            {"memoryMiB", resources.memoryMiB},
            {"accelerators", resources.accelerators}};
}

} // namespace

WorkerStandIn::WorkerStandIn(asio::io_context &io, Options options)
    : m_options(std::move(options))
    , m_advancedAt(clockMilliseconds())
{
    asio::co_spawn(io, tick(), asio::detached);
}

asio::awaitable<void> WorkerStandIn::tick()
{
    for (;;) {
        advance();
        co_await sleepFor(TickInterval);
    }
}

void WorkerStandIn::advance()
{
    const auto now = clockMilliseconds();
    for (auto &[key, task] : m_tasks) {
        if (!task.isActive()) {
            continue;
        }
        // A process that was paused must not count work beyond the lease.
        const auto until = std::min(now, task.leaseEndsAt);
        const auto elapsed = static_cast<double>(
            std::max<std::int64_t>(0, until - std::max(m_advancedAt, task.startedAt)));
        const double limit = static_cast<double>(task.runMilliseconds);
        if (task.state == "running") {
            task.workMilliseconds = std::min(limit,
                                             task.workMilliseconds + elapsed * m_options.speed * task.throttle / 100);
        }
        const bool fails = m_options.failAll || m_options.failingClasses.contains(task.jobClass);
        if (now >= task.leaseEndsAt) {
            end(key, task, "stopped", "the lease lapsed");
        } else if (task.state == "stopping") {
            if (now >= task.stopEndsAt) {
                end(key, task, "stopped", "stopped by order");
            }
        } else if (fails && now - task.startedAt >= FailAfterMilliseconds) {
            end(key, task, "failed", "the task ended with an error");
        } else if (task.workMilliseconds >= limit) {
            task.result = "result of " + key.first;
            end(key, task, "finished", "");
        }
    }
    m_advancedAt = now;
}

void WorkerStandIn::end(const Key &key, Task &task, const std::string &state, const std::string &reason)
{
    task.state = state;
    task.reason = reason;
    task.endedAt = clockMilliseconds();
    record("end", key, task);
}

void WorkerStandIn::record(const char *event, const Key &key, const Task &task)
{
    m_events.push_back({{"event", event},
                        {"job", key.first},
                        {"fence", key.second},
                        {"atMs", clockMilliseconds()},
                        {"state", task.state},
                        {"reason", task.reason},
                        {"workMs", std::llround(task.workMilliseconds)},
                        {"checkpoint", task.checkpoint}});
}

asio::awaitable<ServerReply> WorkerStandIn::serve(const ServerRequest &request)
{
    advance();
    std::vector<std::string> path;
    const std::string target(request.target());
    boost::split(path, target, boost::is_any_of("/"));
    if (path.size() < 2 || path[1] != "tasks") {
        co_return ServerReply{.status = 404};
    }
    if (path.size() == 2) {
        co_return request.method() == http::verb::post ? start(objectOf(request)) : list();
    }
    if (path.size() != 5 || request.method() != http::verb::post) {
        co_return ServerReply{.status = 404};
    }
    co_return command(
        {boost::urls::pct_string_view(path[2]).decode(), std::stoull(path[3])}, path[4], objectOf(request));
}

bool WorkerStandIn::isLate(const json::object &body)
{
    const bool late = numberOr(body, "notAfterMs", std::numeric_limits<std::int64_t>::max()) < clockMilliseconds();
    m_refusedLate += late ? 1 : 0;
    return late;
}

ServerReply WorkerStandIn::start(const json::object &body)
{
    if (isLate(body)) {
        return {.status = 410};
    }
    const Key key(json::value_to<std::string>(body.at("job")), body.at("fence").to_number<Fence>());
    Task task;
    task.jobClass = textOr(body, "jobClass", "");
    task.reserved = {.cpuMillis = numberOr(body, "cpuMillis", 0),
                     .memoryMiB = numberOr(body, "memoryMiB", 0),
                     .accelerators = numberOr(body, "accelerators", 0)};
    task.checkpoint = textOr(body, "checkpoint", "");
    task.workMilliseconds = workOf(task.checkpoint);
    task.runMilliseconds = body.at("runSeconds").to_number<std::int64_t>() * 1000;
    task.startedAt = clockMilliseconds();
    task.leaseEndsAt = task.startedAt + body.at("leaseMs").to_number<std::int64_t>();
    auto &lastFence = m_lastFence[key.first];
    if (key.second <= lastFence) {
        ++m_refusedFence;
        return jsonReply(409, json::object{{"lastFence", lastFence}});
    }
    Resources total = task.reserved;
    for (const auto &[other, running] : m_tasks) {
        total += running.isActive() ? running.reserved : Resources{};
    }
    if (m_options.enforceCapacity && !total.fitsIn(m_options.capacity)) {
        ++m_refusedSize;
        return jsonReply(507, json::object{{"error", "the task does not fit"}});
    }
    lastFence = key.second;
    record("start", key, m_tasks.insert_or_assign(key, std::move(task)).first->second);
    checkOvercommit();
    return jsonReply(201, json::object());
}

void WorkerStandIn::checkOvercommit()
{
    Resources reserved;
    Resources used;
    for (const auto &[key, task] : m_tasks) {
        if (task.isActive()) {
            reserved += task.reserved;
            used += usageOf(task, task.throttle);
        }
    }
    m_overcommitted = m_overcommitted || !reserved.fitsIn(m_options.capacity);
    m_usageExceeded = m_usageExceeded || !used.fitsIn(m_options.capacity);
}

ServerReply WorkerStandIn::command(const Key &key, const std::string &verb, const json::object &body)
{
    const auto found = m_tasks.find(key);
    if (found == m_tasks.end()) {
        return {.status = 404};
    }
    auto &task = found->second;
    if (!task.isActive()) {
        if (verb == "remove") {
            m_tasks.erase(found);
        }
        return verb == "remove" || verb == "stop" ? jsonReply(200, json::object()) : ServerReply{.status = 404};
    }
    const auto now = clockMilliseconds();
    if (verb == "renew") {
        if (isLate(body)) {
            return {.status = 410};
        }
        task.leaseEndsAt = now + body.at("leaseMs").to_number<std::int64_t>();
    } else if (verb == "checkpoint") {
        task.checkpoint = "checkpoint/" + key.first + "/" + std::to_string(key.second) + "-"
            + std::to_string(static_cast<std::int64_t>(task.workMilliseconds));
        record("checkpoint", key, task);
    } else if (verb == "throttle") {
        task.laggingThrottle = now >= task.usageChangesAt ? task.throttle : task.laggingThrottle;
        task.usageChangesAt = now + m_options.usageLag.count();
        task.throttle = std::clamp(body.at("percent").to_number<double>(), 0.0, 100.0);
        record("throttle", key, task);
    } else if (verb == "stop") {
        if (task.state == "running") {
            task.state = "stopping";
            task.stopEndsAt = now + m_options.stopTime.count();
            record("stop", key, task);
        }
    } else {
        return {.status = 404};
    }
    return jsonReply(200, json::object());
}

Resources WorkerStandIn::usageOf(const Task &task, double throttle) const
{
    const auto scaled = [](std::int64_t amount, double factor) {
        return std::llround(static_cast<double>(amount) * factor);
    };
    return {.cpuMillis = scaled(task.reserved.cpuMillis, m_options.usageFactor * throttle / 100),
            .memoryMiB = scaled(task.reserved.memoryMiB, m_options.usageFactor),
            .accelerators = task.reserved.accelerators};
}

ServerReply WorkerStandIn::list() const
{
    const auto now = clockMilliseconds();
    json::array tasks;
    for (const auto &[key, task] : m_tasks) {
        const bool measured = now >= task.startedAt + m_options.usageLag.count();
        const auto throttle = now >= task.usageChangesAt ? task.throttle : task.laggingThrottle;
        auto entry = resourcesObject(measured ? usageOf(task, throttle) : Resources{});
        entry["job"] = key.first;
        entry["fence"] = key.second;
        entry["state"] = task.state;
        entry["jobClass"] = task.jobClass;
        entry["reserved"] = resourcesObject(task.reserved);
        entry["progress"] = task.runMilliseconds == 0
            ? 1
            : task.workMilliseconds / static_cast<double>(task.runMilliseconds);
        entry["checkpoint"] = task.checkpoint;
        entry["result"] = task.result;
        entry["reason"] = task.reason;
        entry["runTimeMs"] = (task.isActive() ? now : task.endedAt) - task.startedAt;
        tasks.push_back(std::move(entry));
    }
    return jsonReply(200, json::object{{"tasks", std::move(tasks)}, {"clockMs", now}});
}

void WorkerStandIn::forEachActive(const std::function<void(const std::string &, double)> &visit) const
{
    for (const auto &[key, task] : m_tasks) {
        if (task.isActive()) {
            visit(task.jobClass, task.throttle);
        }
    }
}

void WorkerStandIn::addToLog(json::object &log) const
{
    log["tasks"] = m_events;
    log["overcommitted"] = m_overcommitted;
    log["usageExceeded"] = m_usageExceeded;
    log["refusedFence"] = m_refusedFence;
    log["refusedSize"] = m_refusedSize;
    log["refusedLate"] = m_refusedLate;
}

} // namespace Carobflow::StandIn
