#include "carobflow/connectors/httpworkerruntime.h"

#include "carobflow/connectors/internal/httpcall.h"

#include <array>
#include <optional>
#include <stdexcept>

#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow
{

namespace json = boost::json;

namespace
{

TaskState stateOf(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, TaskState>, 5> states{{
        {"running", TaskState::Running},
        {"stopping", TaskState::Stopping},
        {"stopped", TaskState::Stopped},
        {"finished", TaskState::Finished},
        {"failed", TaskState::Failed},
    }};
    for (const auto &[text, state] : states) {
        if (text == name) {
            return state;
        }
    }
    throw std::invalid_argument("unknown task state");
}

std::int64_t numberOr0(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr ? value->to_number<std::int64_t>() : 0;
}

std::string textOrEmpty(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr && !value->is_null() ? json::value_to<std::string>(*value) : std::string();
}

Resources resourcesOf(const json::object &object)
{
    return {.cpuMillis = numberOr0(object, "cpuMillis"),
            .memoryMiB = numberOr0(object, "memoryMiB"),
            .accelerators = numberOr0(object, "accelerators")};
}

TaskInfo taskOf(const json::object &object)
{
    TaskInfo task{.job = json::value_to<std::string>(object.at("job")),
                  .fence = object.at("fence").to_number<Fence>(),
                  .state = stateOf(json::value_to<std::string>(object.at("state"))),
                  .jobClass = textOrEmpty(object, "jobClass"),
                  .reserved = {},
                  .usage = resourcesOf(object),
                  .progress = 0,
                  .checkpoint = textOrEmpty(object, "checkpoint"),
                  .result = textOrEmpty(object, "result"),
                  .reason = textOrEmpty(object, "reason"),
                  .runTime = Milliseconds(numberOr0(object, "runTimeMs"))};
    if (const auto *progress = object.if_contains("progress")) {
        task.progress = progress->to_number<double>();
    }
    if (const auto *reserved = object.if_contains("reserved")) {
        task.reserved = resourcesOf(reserved->as_object());
    }
    return task;
}

struct TaskList {
    std::int64_t clockMilliseconds = 0;
    std::vector<TaskInfo> tasks;
};

/// Parses the tasks of a response; empty when a field is missing or of another type.
std::optional<TaskList> tasksOf(std::string_view text)
{
    const auto body = Detail::parseObject(text);
    if (!body) {
        return std::nullopt;
    }
    try {
        TaskList list{.clockMilliseconds = body->at("clockMs").to_number<std::int64_t>(), .tasks = {}};
        for (const auto &entry : body->at("tasks").as_array()) {
            list.tasks.push_back(taskOf(entry.as_object()));
        }
        return list;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

HttpWorkerRuntime::HttpWorkerRuntime(std::shared_ptr<HttpClient> client, Options options)
    : m_client(std::move(client))
    , m_options(std::move(options))
{
}

void HttpWorkerRuntime::addNotAfter(json::object &body) const
{
    if (!m_workerClock) {
        return;
    }
    // The reading was taken before it arrived, so this time is not later than the end of the timeout on the worker's
    // clock.
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now()
                                                                  - m_workerClock->arrivedAt);
    body["notAfterMs"] = m_workerClock->milliseconds + (elapsed + m_options.timeout).count();
}

boost::asio::awaitable<Status> HttpWorkerRuntime::start(const TaskStart &start)
{
    json::object body{{"job", start.job},
                      {"fence", start.fence},
                      {"leaseMs", start.lease.count()},
                      {"cpuMillis", start.reserved.cpuMillis},
                      {"memoryMiB", start.reserved.memoryMiB},
                      {"accelerators", start.reserved.accelerators},
                      {"jobClass", start.jobClass},
                      {"checkpoint", start.checkpoint},
                      {"runSeconds", start.runSeconds}};
    addNotAfter(body);
    const std::string name = "start of '" + start.job + "'";
    auto request = Detail::jsonPost("/tasks", body, m_options.timeout);
    const auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    if (Detail::answerWith(outcome, 201) != nullptr) {
        co_return std::monostate{};
    }
    if (Detail::answerWith(outcome, 409) != nullptr) {
        co_return Error{ErrorKind::Conflict, name + ": the worker has seen this fencing number or a newer one"};
    }
    if (Detail::answerWith(outcome, 507) != nullptr) {
        co_return Error{ErrorKind::ResourceExhausted, name + ": it does not fit on the worker, choose another host"};
    }
    auto failure = Detail::failureOf(name, outcome, ErrorKind::Unknown);
    if (failure.kind == ErrorKind::Timeout) {
        failure.kind = ErrorKind::Unknown;
    }
    co_return failure;
}

boost::asio::awaitable<Status>
HttpWorkerRuntime::command(std::string_view job, Fence fence, std::string_view verb, std::string_view body)
{
    const std::string name = std::string(verb) + " of '" + std::string(job) + "'";
    HttpRequest request{.method = "POST",
                        .target = "/tasks/" + Detail::encodeSegment(job) + "/" + std::to_string(fence) + "/"
                            + std::string(verb),
                        .headers = {{"Content-Type", "application/json"}},
                        .body = std::string(body),
                        .timeout = m_options.timeout};
    const auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    if (Detail::answerWith(outcome, 200) != nullptr) {
        co_return std::monostate{};
    }
    if (Detail::answerWith(outcome, 404) != nullptr) {
        co_return Error{ErrorKind::NotFound, name + ": the worker has no such task, list its tasks"};
    }
    co_return Detail::failureOf(name, outcome, ErrorKind::Unavailable);
}

boost::asio::awaitable<Status> HttpWorkerRuntime::renew(std::string_view job, Fence fence, Milliseconds lease)
{
    json::object values{{"leaseMs", lease.count()}};
    addNotAfter(values);
    const std::string body = json::serialize(values);
    co_return co_await command(job, fence, "renew", body);
}

boost::asio::awaitable<Status> HttpWorkerRuntime::checkpoint(std::string_view job, Fence fence)
{
    const std::string body = "{}";
    co_return co_await command(job, fence, "checkpoint", body);
}

boost::asio::awaitable<Status> HttpWorkerRuntime::throttle(std::string_view job, Fence fence, std::uint32_t percent)
{
    const std::string body = json::serialize(json::object{{"percent", percent}});
    co_return co_await command(job, fence, "throttle", body);
}

boost::asio::awaitable<Status> HttpWorkerRuntime::stop(std::string_view job, Fence fence)
{
    const std::string body = "{}";
    co_return co_await command(job, fence, "stop", body);
}

boost::asio::awaitable<Status> HttpWorkerRuntime::remove(std::string_view job, Fence fence)
{
    const std::string body = "{}";
    co_return co_await command(job, fence, "remove", body);
}

boost::asio::awaitable<Result<std::vector<TaskInfo>>> HttpWorkerRuntime::list()
{
    HttpRequest request{.target = "/tasks", .timeout = m_options.timeout};
    const auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    if (const auto *answer = Detail::answerWith(outcome, 200)) {
        auto tasks = tasksOf(answer->body);
        if (tasks) {
            m_workerClock = {.milliseconds = tasks->clockMilliseconds, .arrivedAt = std::chrono::steady_clock::now()};
            co_return std::move(tasks->tasks);
        }
    }
    co_return Detail::failureOf("list of tasks", outcome, ErrorKind::Unavailable);
}

} // namespace Carobflow
