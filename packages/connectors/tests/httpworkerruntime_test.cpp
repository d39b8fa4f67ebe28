#include "connectorfixture.h"

#include "carobflow/connectors/httpworkerruntime.h"

#include <algorithm>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

constexpr Milliseconds LongLease = Seconds(30);

StandIn::HostStandIn::Options hostOptions()
{
    return {.worker = {.capacity = {.cpuMillis = 4000, .memoryMiB = 4096, .accelerators = 1},
                       .speed = 20,
                       .usageFactor = 1.5,
                       .usageLag = Milliseconds(50)},
            .upstream = {.name = "h1", .serviceTime = Milliseconds(2)}};
}

TaskStart startOf(const std::string &job, Fence fence, std::int64_t runSeconds, Milliseconds lease = LongLease)
{
    return {.job = job,
            .fence = fence,
            .jobClass = "zipper",
            .reserved = {.cpuMillis = 2000, .memoryMiB = 1024},
            .lease = lease,
            .checkpoint = {},
            .runSeconds = runSeconds};
}

struct WorkerFixture : ConnectorFixture {
    StandIn::HostStandIn host{io, hostOptions()};
    HttpWorkerRuntime worker = runtimeAt(host.port());

    HttpWorkerRuntime runtimeAt(std::uint16_t port)
    {
        return {client, {.endpoint = {.host = "127.0.0.1", .port = port}, .timeout = Seconds(5)}};
    }

    TaskInfo task(const std::string &job)
    {
        const auto tasks = takeValue(run(worker.list()));
        const auto found = std::ranges::find(tasks, job, &TaskInfo::job);
        return found == tasks.end() ? TaskInfo{} : *found;
    }

    void waitFor(const std::string &job, TaskState state)
    {
        runUntil([&] { return task(job).state == state; });
    }
};

} // namespace

TEST_CASE_METHOD(WorkerFixture, "A task runs under its fence and lease", "[worker]")
{
    const std::string job = "re-seam 1/đ";

    SECTION("it finishes and stays listed until it is removed")
    {
        REQUIRE(isOk(run(worker.start(startOf(job, 1, 4)))));
        CHECK(task(job).reserved.cpuMillis == 2000);
        CHECK(task(job).jobClass == "zipper");
        waitFor(job, TaskState::Finished);
        CHECK(task(job).progress == 1);
        CHECK_FALSE(task(job).result.empty());
        CHECK(isOk(run(worker.stop(job, 1))));
        CHECK(task(job).state == TaskState::Finished);
        CHECK_FALSE(task(job).result.empty());
        CHECK(isOk(run(worker.remove(job, 1))));
        CHECK(valueOf(run(worker.list())).empty());
        CHECK(errorOf(run(worker.remove(job, 1))).kind == ErrorKind::NotFound);
        CHECK(errorOf(run(worker.stop(job, 1))).kind == ErrorKind::NotFound);
    }
    SECTION("a start whose fence is not newer is a conflict, also after the task was removed")
    {
        REQUIRE(isOk(run(worker.start(startOf(job, 2, 0)))));
        waitFor(job, TaskState::Finished);
        REQUIRE(isOk(run(worker.remove(job, 2))));
        CHECK(errorOf(run(worker.start(startOf(job, 2, 1)))).kind == ErrorKind::Conflict);
        CHECK(errorOf(run(worker.start(startOf(job, 1, 1)))).kind == ErrorKind::Conflict);
        CHECK(isOk(run(worker.start(startOf(job, 3, 1)))));
    }
    SECTION("it stops when its lease is not renewed")
    {
        REQUIRE(isOk(run(worker.start(startOf(job, 1, 1000, Milliseconds(100))))));
        CHECK(isOk(run(worker.renew(job, 1, Milliseconds(150)))));
        waitFor(job, TaskState::Stopped);
        CHECK(task(job).reason == "the lease lapsed");
        CHECK(task(job).runTime >= Milliseconds(150));
        CHECK(errorOf(run(worker.renew(job, 1, LongLease))).kind == ErrorKind::NotFound);
    }
    SECTION("a running task is not removed")
    {
        REQUIRE(isOk(run(worker.start(startOf(job, 1, 1000)))));
        CHECK(errorOf(run(worker.remove(job, 1))).kind == ErrorKind::NotFound);
        CHECK(task(job).state == TaskState::Running);
    }
    SECTION("it resumes from its checkpoint")
    {
        REQUIRE(isOk(run(worker.start(startOf(job, 1, 1000)))));
        runUntil([&] { return task(job).progress > 0.001; });
        REQUIRE(isOk(run(worker.checkpoint(job, 1))));
        const auto before = task(job);
        REQUIRE_FALSE(before.checkpoint.empty());
        REQUIRE(isOk(run(worker.stop(job, 1))));
        waitFor(job, TaskState::Stopped);
        auto again = startOf(job, 2, 1000);
        again.checkpoint = before.checkpoint;
        REQUIRE(isOk(run(worker.remove(job, 1))));
        REQUIRE(isOk(run(worker.start(again))));
        CHECK(task(job).progress > 0.001);
    }
    SECTION("a throttled task makes no progress at zero percent and shows it in its usage after the lag")
    {
        REQUIRE(isOk(run(worker.start(startOf(job, 1, 1000)))));
        CHECK(task(job).usage == Resources{});
        runUntil([&] { return task(job).usage.cpuMillis == 3000; });
        REQUIRE(isOk(run(worker.throttle(job, 1, 0))));
        const auto progress = task(job).progress;
        CHECK(task(job).usage.cpuMillis == 3000);
        runUntil([&] { return task(job).usage.cpuMillis == 0; });
        CHECK(task(job).progress == progress);
    }
    SECTION("a failing worker ends each task as failed")
    {
        control(host.controlPort(), R"({"failAll":true})");
        REQUIRE(isOk(run(worker.start(startOf(job, 1, 1000)))));
        waitFor(job, TaskState::Failed);
    }
}

// Guards against a worker that holds more than its capacity while a task is still stopping.
TEST_CASE_METHOD(WorkerFixture, "A task that does not fit is refused until there is room", "[worker]")
{
    REQUIRE(isOk(run(worker.start(startOf("a", 1, 1000)))));
    REQUIRE(isOk(run(worker.start(startOf("b", 1, 1000)))));
    CHECK(errorOf(run(worker.start(startOf("c", 1, 1000)))).kind == ErrorKind::ResourceExhausted);
    REQUIRE(isOk(run(worker.stop("a", 1))));
    CHECK(errorOf(run(worker.start(startOf("c", 1, 1000)))).kind == ErrorKind::ResourceExhausted);
    waitFor("a", TaskState::Stopped);
    CHECK(isOk(run(worker.start(startOf("c", 1, 1000)))));
    const auto log = get(host.controlPort(), "/control/log");
    CHECK(log.at("overcommitted") == false);
    CHECK(log.at("usageExceeded") == true);
    CHECK(log.at("refusedSize") == 2);
}

// Guards against a start that is reported as refused although the task runs.
TEST_CASE_METHOD(WorkerFixture,
                 "A start without a response is Unknown, one that was not sent is Unavailable",
                 "[worker]")
{
    StandIn::ProxyStandIn proxy(io, {});
    auto distant = runtimeAt(proxy.addRoute("a", 0, "127.0.0.1:" + std::to_string(host.port())));
    proxy.setMode("a", "drop-replies", Milliseconds(0));
    CHECK(errorOf(run(distant.start(startOf("a", 1, 1000)))).kind == ErrorKind::Unknown);
    CHECK(task("a").state == TaskState::Running);
    CHECK(errorOf(run(distant.renew("a", 1, LongLease))).kind == ErrorKind::Unavailable);
    CHECK(errorOf(run(distant.list())).kind == ErrorKind::Unavailable);
    proxy.setMode("a", "cut", Milliseconds(0));
    CHECK(errorOf(run(distant.start(startOf("b", 1, 1000)))).kind == ErrorKind::Unavailable);
    CHECK(task("b").job.empty());
}

TEST_CASE_METHOD(WorkerFixture, "The upstream of a host echoes requests and counts them", "[upstream][standins]")
{
    const auto post = [&](const std::string &id, Milliseconds timeout) {
        return call(host.upstreamPort(),
                    {.method = "POST",
                     .target = "/quote",
                     .headers = {{"Carobflow-Request-Id", id}, {"Idempotency-Key", "k"}},
                     .body = "photo",
                     .timeout = timeout});
    };

    SECTION("the response names its request")
    {
        const auto answer = std::get<HttpAnswer>(post("r1", Seconds(5)));
        CHECK(answer.body == "r1\nphoto");
        CHECK(answer.header("carobflow-request-id") == "r1");
    }
    SECTION("a request whose caller timed out is still executed and counted")
    {
        control(host.controlPort(), R"({"upstream":"stall"})");
        CHECK(std::holds_alternative<HttpUnanswered>(post("r1", Milliseconds(100))));
        control(host.controlPort(), R"({"upstream":"late","lateMs":20})");
        CHECK(std::holds_alternative<HttpAnswer>(post("r2", Seconds(5))));
        control(host.controlPort(), R"({"upstream":"truncate"})");
        CHECK(std::holds_alternative<HttpUnanswered>(post("r3", Seconds(5))));
        const auto log = get(host.controlPort(), "/control/log");
        CHECK(log.at("executed") == 3);
        CHECK(log.at("idempotencyKeys").at("k") == 3);
        CHECK(log.at("requestIds").at("r1") == 1);
        CHECK(log.at("maxConcurrent") == 2);
    }
    SECTION("it announces itself and leaves when told")
    {
        std::string last;
        StandIn::HttpServer agent(io, [&](const auto &request) -> boost::asio::awaitable<StandIn::ServerReply> {
            last = std::string(request.method_string()) + " " + std::string(request.target()) + " " + request.body();
            co_return StandIn::ServerReply{};
        });
        const auto address = "127.0.0.1:" + std::to_string(agent.listen("127.0.0.1", 0));
        control(host.controlPort(), R"({"agent":")" + address + R"("})");
        runUntil([&] { return last.starts_with("POST /v1/announce {\"service\":\"desk\""); });
        control(host.controlPort(), R"({"announce":false})");
        CHECK(last.starts_with("DELETE /v1/announce"));
    }
}

// Guards against a stand-in that does not show the slowdown that the scheduler is to learn.
TEST_CASE_METHOD(WorkerFixture, "Tasks beside the upstream slow it down as far as they are not throttled", "[upstream]")
{
    auto options = hostOptions();
    options.upstream.sigma = 0;
    options.upstream.serviceTime = Milliseconds(20);
    options.upstream.maxSlowdown = 1000;
    StandIn::HostStandIn slowHost(io, options);
    auto slowWorker = runtimeAt(slowHost.port());
    const auto timedOut = [&] {
        return !std::holds_alternative<HttpAnswer>(call(slowHost.upstreamPort(), {.timeout = Milliseconds(500)}));
    };
    CHECK_FALSE(timedOut());
    REQUIRE(isOk(run(slowWorker.start(startOf("a", 1, 100000)))));
    CHECK(timedOut());
    REQUIRE(isOk(run(slowWorker.throttle("a", 1, 0))));
    CHECK_FALSE(timedOut());
}
