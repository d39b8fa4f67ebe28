#include "standins/serverstandin.h"

#include "carobflow/connectors/httpclient.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds CheckInInterval{300};
constexpr std::chrono::milliseconds HoldPollInterval{5};
/// Further ends are listed when these are acknowledged.
constexpr std::size_t EndsPerAnswer = 500;
constexpr std::int64_t FullPercent = 100;
/// Reading of the clock of a worker when a test begins.
constexpr std::int64_t UptimeMilliseconds = 100'000;

} // namespace

ServerStandIn::ServerStandIn(asio::io_context &io, Options options, std::vector<ObservedRun> &record)
    : m_io(io)
    , m_options(std::move(options))
    , m_record(record)
    , m_clockStart(clockMilliseconds() - UptimeMilliseconds)
    , m_born(clockMilliseconds())
    , m_server(io, [this](const ServerRequest &request) { return serve(request); })
    , m_port(m_server.listen("127.0.0.1", m_options.port))
{
}

void ServerStandIn::checkIn(std::uint16_t agentPort)
{
    m_options.agentPort = agentPort;
    asio::co_spawn(m_io, checkInLoop(), asio::detached);
}

void ServerStandIn::restart()
{
    advance();
    while (!m_running.empty()) {
        end(m_running.begin()->first, "crashed");
    }
    m_ended.clear();
    m_highestEnded.clear();
    m_nextEnd = 1;
    m_fence = 0;
    m_leaseUntil = 0;
    m_sequence = 1;
    m_clockStart = clockMilliseconds();
    m_born = std::max(m_born + 1, clockMilliseconds());
}

std::int64_t ServerStandIn::clock() const
{
    return clockMilliseconds() - m_clockStart;
}

std::int64_t ServerStandIn::leaseEnd(const json::object &body) const
{
    const std::int64_t now = clockMilliseconds();
    return std::min(numberOr(body, "deadline-ms", 0) + m_clockStart, now + m_options.maxHold.count());
}

json::object ServerStandIn::report() const
{
    return {{"service", m_options.service},
            {"address", "127.0.0.1:" + std::to_string(m_port)},
            {"zone", m_options.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", draining ? "draining" : "ready"},
            {"cold-remaining-ms", 0},
            {"capacity", json::object{{"cpu", m_options.cpuMillis}, {"memory-limit-mb", 32000}, {"gpus", 0}}},
            {"labels", json::array{"a", "rack-" + m_options.zone}},
            {"clock-ms", clock()},
            {"sequence", m_sequence},
            {"born", m_born}};
}

asio::awaitable<void> ServerStandIn::checkInLoop()
{
    HttpClient client(m_io.get_executor());
    for (;;) {
        // Leases expire even when no call arrives.
        advance();
        if (!silent) {
            HttpRequest request;
            request.method = "POST";
            request.target = "/carobflow/workers/" + m_options.id + "/heartbeat";
            request.body = json::serialize(report());
            ++m_sequence;
            HttpEndpoint endpoint;
            endpoint.host = "127.0.0.1";
            endpoint.port = m_options.agentPort;
            co_await client.call(endpoint, std::move(request));
        }
        co_await sleepFor(CheckInInterval);
    }
}

void ServerStandIn::end(const std::string &task, const std::string &endState)
{
    const auto found = m_running.find(task);
    const Running running = found->second;
    m_running.erase(found);
    m_record[running.record].endedAt = clockMilliseconds();
    m_record[running.record].endState = endState;
    m_highestEnded[task] = std::max(m_highestEnded[task], running.run);
    m_ended.push_back({.number = m_nextEnd++, .task = task, .run = running.run, .endState = endState});
}

void ServerStandIn::advance()
{
    const std::int64_t now = clockMilliseconds();
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto &[task, running] : m_running) {
        if (now > m_leaseUntil) {
            ends.emplace_back(task, "lapsed");
        } else if (running.endsAt > 0 && now >= running.endsAt) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto &[task, endState] : ends) {
        end(task, endState);
    }
}

ServerReply ServerStandIn::conflict(std::string_view reason) const
{
    return jsonReply(409, json::object{{"clock-ms", clock()}, {"reason", reason}});
}

asio::awaitable<ServerReply> ServerStandIn::serve(const ServerRequest &request)
{
    while (silent) {
        co_await sleepFor(HoldPollInterval);
    }
    advance();
    const auto expected = request.find("Carobflow-Expected-Instance");
    if (expected != request.end() && expected->value() != m_options.id) {
        co_return ServerReply{.status = 421};
    }
    const json::object body = objectOf(request);
    if (request.target() == "/carobflow/hold") {
        ++listCalls;
        co_return co_await hold(body);
    }
    if (request.target() == "/carobflow/run-start") {
        if (lateStarts > 0) {
            --lateStarts;
            co_await sleepFor(lateBy);
            start(body);
            co_return ServerReply{.delivery = Delivery::None};
        }
        ServerReply reply = start(body);
        if (lostStarts > 0) {
            --lostStarts;
            reply.delivery = Delivery::None;
        }
        co_return reply;
    }
    if (request.target() == "/carobflow/run-stop") {
        co_return stop(body);
    }
    co_return request.target() == "/carobflow/pace" ? jsonReply(200, json::object{{"clock-ms", clock()}})
                                                    : ServerReply{.status = 404};
}

ServerReply ServerStandIn::start(const json::object &body)
{
    const auto fence = static_cast<std::uint64_t>(numberOr(body, "fencing-token", 0));
    const std::string task = textOr(body, "task", "");
    const auto run = static_cast<std::uint32_t>(numberOr(body, "run", 0));
    const std::int64_t until = leaseEnd(body);
    if (fence < m_fence) {
        return conflict("fence");
    }
    m_fence = fence;
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run == run) {
        return jsonReply(200, json::object{{"clock-ms", clock()}});
    }
    if (running != m_running.end() || run <= m_highestEnded[task]) {
        return conflict("old");
    }
    if (until < clockMilliseconds()) {
        return conflict("late");
    }
    m_leaseUntil = std::max(m_leaseUntil, until);
    const std::int64_t now = clockMilliseconds();
    const std::string work = textOr(body, "task-spec", "");
    m_running[task] = {
        .record = m_record.size(), .run = run, .endsAt = work.empty() ? 0 : now + std::stoll(work), .startedAt = now};
    m_record.push_back({.task = task,
                        .run = run,
                        .worker = m_options.id,
                        .checkpoint = textOr(body, "checkpoint", ""),
                        .startedAt = now});
    return jsonReply(200, json::object{{"clock-ms", clock()}, {"born", m_born}});
}

ServerReply ServerStandIn::stop(const json::object &body)
{
    const auto fence = static_cast<std::uint64_t>(numberOr(body, "fencing-token", 0));
    const std::string task = textOr(body, "task", "");
    const auto run = static_cast<std::uint32_t>(numberOr(body, "run", 0));
    if (fence < m_fence) {
        return conflict("fence");
    }
    m_fence = fence;
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run <= run) {
        end(task, "stopped");
    }
    return jsonReply(200, json::object{{"clock-ms", clock()}});
}

asio::awaitable<ServerReply> ServerStandIn::hold(const json::object &body)
{
    const auto fence = static_cast<std::uint64_t>(numberOr(body, "fencing-token", 0));
    if (fence < m_fence) {
        co_return conflict("fence");
    }
    m_fence = fence;
    const std::int64_t now = clockMilliseconds();
    m_leaseUntil = std::max(m_leaseUntil, leaseEnd(body));
    const auto seen = static_cast<std::uint64_t>(numberOr(body, "last-seen", 0));
    std::erase_if(m_ended, [&](const Ended &ended) { return ended.number <= seen; });
    const std::int64_t until = now + numberOr(body, "wait-ms", 0);
    const std::uint64_t next = m_nextEnd;
    while (m_nextEnd == next && m_ended.empty() && clockMilliseconds() < until) {
        co_await sleepFor(HoldPollInterval);
        advance();
    }
    json::array running;
    for (const auto &[task, entry] : m_running) {
        const std::int64_t length = entry.endsAt - entry.startedAt;
        const std::int64_t percent = entry.endsAt == 0
            ? FullPercent
            : (clockMilliseconds() - entry.startedAt) * FullPercent / std::max<std::int64_t>(1, length);
        running.push_back(json::array{task, entry.run, "", std::min(percent, FullPercent), 0});
    }
    json::array ended;
    for (const Ended &entry : m_ended) {
        if (ended.size() == EndsPerAnswer) {
            break;
        }
        ended.push_back(json::array{
            entry.number, entry.task, entry.run, entry.endState == "crashed" ? "failed" : entry.endState, ""});
    }
    co_return jsonReply(
        200, json::object{{"clock-ms", clock()}, {"born", m_born}, {"running", running}, {"finished", ended}});
}

} // namespace Carobflow::StandIn
