#include "carobflow/core/tasksupervisor.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Carobflow;
using Kind = WorkerAction::Kind;
using namespace std::chrono_literals;

namespace
{

const Status Ok = std::monostate{};

HostOrders ordersOf(Epoch epoch)
{
    HostOrders orders;
    orders.leading = true;
    orders.epoch = epoch;
    orders.sheetVersion = 3;
    orders.grant = 10s;
    return orders;
}

Status failure(ErrorKind kind)
{
    return Error{.kind = kind, .message = "test"};
}

/// A supervisor of a host of 10000 mCPU with a confirmed sheet of version 3, a grant and an empty worker.
class Fixture
{
public:
    Fixture()
    {
        list({});
        now += 10s;
        refresh();
        supervisor.makeReport(now);
    }

    void refresh()
    {
        supervisor.onSheet(now, 3, true);
        orders({});
    }

    void orders(HostOrders given, Milliseconds roundTrip = 0ms)
    {
        given.leading = true;
        given.epoch = std::max<Epoch>(given.epoch, 5);
        given.sheetVersion = given.sheetVersion == 0 ? 3 : given.sheetVersion;
        given.grant = 10s;
        supervisor.onOrders(now - roundTrip, now, given);
    }

    static StartOrder
    startOrder(std::string job, Fence fence = 1, std::int64_t cpuMillis = 4000, Milliseconds age = 0ms)
    {
        return {.job = std::move(job),
                .fence = fence,
                .jobClass = "print",
                .reserved = {.cpuMillis = cpuMillis},
                .checkpoint = {},
                .age = age,
                .runSeconds = 60};
    }

    void start(const StartOrder &order, Milliseconds roundTrip = 0ms)
    {
        HostOrders given;
        given.starts = {order};
        orders(given, roundTrip);
    }

    void stop(std::string job, bool checkpoint)
    {
        HostOrders given;
        given.stops = {{.job = std::move(job), .fence = 1, .checkpoint = checkpoint}};
        orders(given);
    }

    void acknowledge(std::string job)
    {
        HostOrders given;
        given.acknowledged = {{.job = std::move(job), .fence = 1}};
        orders(given);
    }

    void list(const std::vector<TaskInfo> &tasks)
    {
        supervisor.onWorkerList(now, now, tasks);
    }

    static TaskInfo info(std::string job, TaskState state, std::int64_t usage = 0, std::string checkpoint = {})
    {
        return {.job = std::move(job),
                .fence = 1,
                .state = state,
                .jobClass = "print",
                .reserved = {.cpuMillis = 4000},
                .usage = {.cpuMillis = usage},
                .checkpoint = std::move(checkpoint),
                .result = state == TaskState::Finished ? "done" : "",
                .reason = {}};
    }

    /// The kinds of calls that are made now, each answered with the status.
    std::vector<Kind> act(const Status &status = Ok)
    {
        std::vector<Kind> kinds;
        for (const WorkerAction &action : supervisor.takeActions(now)) {
            kinds.push_back(action.kind);
            supervisor.onActionResult(now, now, action.id, status);
        }
        return kinds;
    }

    void run(const std::string &job)
    {
        start(startOrder(job));
        REQUIRE(act() == std::vector{Kind::Start});
        now += 1ms;
        list({info(job, TaskState::Running)});
    }

    std::optional<TaskReport> reported(const std::string &job, Fence fence = 1)
    {
        for (const TaskReport &task : supervisor.makeReport(now).tasks) {
            if (task.job == job && task.fence == fence) {
                return task;
            }
        }
        return std::nullopt;
    }

    void checkRefused(const std::string &job, const std::string &reason, Fence fence = 1)
    {
        const std::vector<Kind> kinds = act();
        CHECK(std::count(kinds.begin(), kinds.end(), Kind::Start) == 0);
        const std::optional<TaskReport> report = reported(job, fence);
        REQUIRE(report);
        CHECK(report->state == ReportedState::Refused);
        CHECK_THAT(report->reason, Catch::Contains(reason));
    }

    TimePoint now = TimePoint() + 1h;
    TaskSupervisor supervisor{
        {.host = {.name = "h1", .dataCentre = "dc1", .rack = "r1", .capacity = {.cpuMillis = 10000}}}};
};

} // namespace

// Guards against a start that breaks a bound of the host, of the sheet or of time.
TEST_CASE_METHOD(Fixture, "a start order that must not be carried out is refused with the reason", "[tasksupervisor]")
{
    SECTION("too old at the leader and on the way")
    {
        now += 1500ms;
        start(startOrder("a", 1, 4000, 1000ms), 1001ms);
        checkRefused("a", "older than");
    }
    SECTION("too old when the call would be made")
    {
        start(startOrder("a", 1, 4000, 1900ms));
        now += 101ms;
        checkRefused("a", "older than");
    }
    SECTION("under an older sheet")
    {
        supervisor.onSheet(now, 4, true);
        start(startOrder("a"));
        checkRefused("a", "sheet version 3");
    }
    SECTION("without a recent confirmation of the sheet")
    {
        now += 2001ms;
        start(startOrder("a"));
        checkRefused("a", "not confirmed");
    }
    SECTION("for a data centre that is out")
    {
        supervisor.onSheet(now, 3, false);
        start(startOrder("a"));
        checkRefused("a", "out of service");
    }
    SECTION("while leaving")
    {
        supervisor.setLeaving();
        start(startOrder("a"));
        checkRefused("a", "leaving");
    }
    SECTION("beside too much that is reserved")
    {
        run("a");
        start(startOrder("b", 1, 6001));
        checkRefused("b", "cpuMillis 10001 of 10000");
    }
    SECTION("beside a task that uses more than it declared")
    {
        run("a");
        list({info("a", TaskState::Running, 7000)});
        CHECK(supervisor.reserved().cpuMillis == 7000);
        start(startOrder("b"));
        checkRefused("b", "does not fit");
    }
    SECTION("beside a task that is still stopping")
    {
        run("a");
        stop("a", false);
        CHECK(act() == std::vector{Kind::Stop});
        now += 1s;
        list({info("a", TaskState::Stopping)});
        start(startOrder("b", 1, 8000));
        checkRefused("b", "does not fit");
        list({info("a", TaskState::Stopped)});
        start(startOrder("c", 1, 8000));
        CHECK(act() == std::vector{Kind::Start});
    }
    SECTION("for a job whose earlier assignment is here")
    {
        run("a");
        start(startOrder("a", 2, 1));
        checkRefused("a", "earlier assignment", 2);
    }
}

TEST_CASE_METHOD(Fixture, "a start under a newer sheet waits for that sheet", "[tasksupervisor]")
{
    HostOrders given;
    given.sheetVersion = 4;
    given.starts = {startOrder("a")};
    orders(given);
    CHECK(act().empty());
    supervisor.onSheet(now, 4, true);
    CHECK(act() == std::vector{Kind::Start});
}

// Guards against a task that runs twice or is reported as one that never ran.
TEST_CASE_METHOD(Fixture, "a start without a certain result is resolved by a later list", "[tasksupervisor]")
{
    start(startOrder("a"));
    const TimePoint before = now;
    CHECK(act(failure(GENERATE(ErrorKind::Unknown, ErrorKind::Timeout, ErrorKind::Conflict)))
          == std::vector{Kind::Start});
    now += 100ms;
    supervisor.onWorkerList(before, now, {});
    CHECK(supervisor.reserved().cpuMillis == 4000);
    start(startOrder("a"));
    CHECK(act().empty());
    now += 1s;

    SECTION("it runs")
    {
        list({info("a", TaskState::Running)});
        CHECK(act() == std::vector{Kind::Renew});
    }
    SECTION("it does not")
    {
        list({});
        CHECK(supervisor.reserved().cpuMillis == 0);
        CHECK(reported("a")->state == ReportedState::Lost);
        SECTION("and takes effect later still")
        {
            list({info("a", TaskState::Running)});
            CHECK(supervisor.reserved().cpuMillis == 4000);
            CHECK(act() == std::vector{Kind::Stop});
        }
        SECTION("and takes effect after it was forgotten")
        {
            acknowledge("a");
            list({info("a", TaskState::Running)});
            CHECK(act() == std::vector{Kind::Stop});
        }
    }
}

TEST_CASE_METHOD(Fixture, "a start that the worker certainly refused is handed back", "[tasksupervisor]")
{
    start(startOrder("a"));
    CHECK(act(failure(GENERATE(ErrorKind::Unavailable, ErrorKind::ResourceExhausted))) == std::vector{Kind::Start});
    checkRefused("a", "worker refused");
}

// Guards against a lease that outlives the permission, so that a job runs in two places.
TEST_CASE_METHOD(Fixture, "leases are renewed only while a grant holds", "[tasksupervisor]")
{
    run("a");
    now += 9998ms;
    const std::vector<WorkerAction> actions = supervisor.takeActions(now);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].lease == 5s);
    CHECK(actions[0].sendBefore == now + 1ms);
    supervisor.onActionResult(now, now, actions[0].id, Ok);
    now += 1s;
    CHECK(act().empty());

    SECTION("a grant of an older epoch or of another process does not count")
    {
        supervisor.setMinimumEpoch(7);
        orders(ordersOf(6));
        HostOrders other = ordersOf(9);
        other.leading = false;
        supervisor.onOrders(now, now, other);
        CHECK(act().empty());
    }
    SECTION("a grant counts from when the report was sent")
    {
        orders({}, 10s);
        CHECK(act().empty());
        orders({}, 9999ms);
        CHECK(act() == std::vector{Kind::Renew});
    }
    SECTION("a lapse is reported as lost")
    {
        now += 6s;
        list({info("a", TaskState::Stopped, 0, "cp")});
        CHECK(reported("a")->state == ReportedState::Lost);
    }
}

// Guards against work that is thrown away by an eviction, and against an eviction that never ends.
TEST_CASE_METHOD(Fixture, "an eviction takes a checkpoint before it stops the task", "[tasksupervisor]")
{
    run("a");
    list({info("a", TaskState::Running, 0, "cp1")});
    act();
    stop("a", true);
    CHECK(act() == std::vector{Kind::Checkpoint});
    CHECK(reported("a")->state == ReportedState::Stopping);
    now += 1s;

    SECTION("the checkpoint appears")
    {
        CHECK(act() == std::vector{Kind::Renew});
        list({info("a", TaskState::Running, 0, "cp2")});
        CHECK(act() == std::vector{Kind::Stop});
        now += 1s;
        CHECK(act().empty());
        list({info("a", TaskState::Running, 0, "cp2")});
        CHECK(act() == std::vector{Kind::Stop});
        list({info("a", TaskState::Stopped, 0, "cp2")});
        CHECK(reported("a")->state == ReportedState::Stopped);
        CHECK(reported("a")->checkpoint == "cp2");
    }
    SECTION("the checkpoint does not appear in time")
    {
        now += 2s;
        CHECK(act() == std::vector{Kind::Stop});
    }
}

// Guards against a result that is lost on the way to the leader.
TEST_CASE_METHOD(Fixture, "an ended task is reported until acknowledged and then removed", "[tasksupervisor]")
{
    run("a");
    list({info("a", TaskState::Finished)});
    CHECK(supervisor.hasChanges());
    for (int report = 0; report < 3; ++report) {
        CHECK(reported("a")->state == ReportedState::Finished);
        CHECK(reported("a")->result == "done");
    }
    CHECK_FALSE(supervisor.hasChanges());
    CHECK(act().empty());
    acknowledge("a");
    CHECK_FALSE(reported("a"));
    CHECK(act(failure(ErrorKind::Timeout)) == std::vector{Kind::Remove});
    now += 1s;
    list({info("a", TaskState::Finished)});
    CHECK(act() == std::vector{Kind::Remove});
    list({});
    now += 1s;
    CHECK(act().empty());
}

TEST_CASE_METHOD(Fixture, "reports hold changes unless a full one is needed", "[tasksupervisor]")
{
    run("a");
    CHECK_FALSE(supervisor.makeReport(now).tasks.empty());
    CHECK(supervisor.makeReport(now).tasks.empty());
    SECTION("after a lost report")
    {
        supervisor.onReportLost();
    }
    SECTION("when the leader asks")
    {
        HostOrders given;
        given.wantFull = true;
        orders(given);
        CHECK(supervisor.hasChanges());
    }
    SECTION("after a change of the epoch")
    {
        orders(ordersOf(6));
    }
    SECTION("when another process answered")
    {
        supervisor.onOrders(now, now, {});
    }
    const HostReport report = supervisor.makeReport(now);
    CHECK(report.full);
    CHECK(report.tasks.size() == 1);
    CHECK_FALSE(supervisor.makeReport(now).full);
}

// Guards against a restarted agent that overlooks, renews or overbooks what its predecessor started.
TEST_CASE("a restarted supervisor finds the tasks of its predecessor", "[tasksupervisor]")
{
    const TimePoint now = TimePoint() + 1h;
    TaskSupervisor supervisor{{.host = {.name = "h1", .dataCentre = {}, .rack = {}, .capacity = {.cpuMillis = 5000}}}};
    supervisor.onSheet(now, 3, true);
    HostOrders orders = ordersOf(5);
    orders.starts = {Fixture::startOrder("a", 1, 4000, 100ms)};
    supervisor.onOrders(now, now, orders);
    CHECK(supervisor.takeActions(now).empty());
    CHECK_FALSE(supervisor.makeReport(now).full);

    const std::vector<TaskInfo> tasks{Fixture::info("a", TaskState::Running), Fixture::info("b", TaskState::Finished)};
    supervisor.onWorkerList(now, now, tasks);
    CHECK(supervisor.reserved().cpuMillis == 4000);
    const HostReport report = supervisor.makeReport(now);
    CHECK(report.full);
    REQUIRE(report.tasks.size() == 2);
    CHECK(report.tasks[0].state == ReportedState::Running);
    CHECK(report.tasks[1].result == "done");

    SECTION("it renews them with a grant")
    {
        const std::vector<WorkerAction> actions = supervisor.takeActions(now);
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].kind == Kind::Renew);
        CHECK(supervisor.takeActions(now + 10s).empty());
    }
    SECTION("it stops what the leader does not want")
    {
        orders.starts.clear();
        orders.acknowledged = {{.job = "a", .fence = 1}, {.job = "b", .fence = 1}};
        supervisor.onOrders(now, now, orders);
        const std::vector<WorkerAction> actions = supervisor.takeActions(now);
        REQUIRE(actions.size() == 2);
        CHECK(actions[0].kind == Kind::Stop);
        CHECK(actions[1].kind == Kind::Remove);
    }
    SECTION("a stop order for a task that the worker does not list reports it as lost")
    {
        orders.starts.clear();
        orders.stops = {{.job = "c", .fence = 4, .checkpoint = false}};
        supervisor.onOrders(now, now, orders);
        supervisor.onWorkerList(now, now, tasks);
        const std::vector<TaskReport> changes = supervisor.makeReport(now).tasks;
        const bool lost = std::any_of(changes.begin(), changes.end(), [](const TaskReport &task) {
            return task.job == "c" && task.state == ReportedState::Lost;
        });
        CHECK(lost);
    }
}
