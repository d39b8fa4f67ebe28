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

/// A supervisor of a host of 10000 mCPU with a confirmed sheet of version 3, a valid grant and an empty worker.
class TaskSupervisorFixture
{
public:
    TaskSupervisorFixture()
    {
        deliverList({});
        now += 10s;
        refresh();
        supervisor.makeReport(now);
    }

    void refresh()
    {
        supervisor.onSheet(now, 3, true);
        deliverOrders({});
    }

    void deliverOrders(HostOrders given, Milliseconds roundTrip = 0ms)
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

    void orderStart(const StartOrder &order, Milliseconds roundTrip = 0ms)
    {
        HostOrders given;
        given.starts = {order};
        deliverOrders(given, roundTrip);
    }

    void orderStop(std::string job, bool checkpoint)
    {
        HostOrders given;
        given.stops = {{.job = std::move(job), .fence = 1, .checkpoint = checkpoint}};
        deliverOrders(given);
    }

    void acknowledge(std::string job)
    {
        HostOrders given;
        given.acknowledged = {{.job = std::move(job), .fence = 1}};
        deliverOrders(given);
    }

    void deliverList(const std::vector<TaskInfo> &tasks)
    {
        supervisor.onWorkerList(now, now, tasks);
    }

    static TaskInfo taskInfo(std::string job, TaskState state, std::int64_t usage = 0, std::string checkpoint = {})
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

    /// Answers each due call with the status and returns the kinds of the calls.
    std::vector<Kind> performCalls(const Status &status = Ok)
    {
        std::vector<Kind> kinds;
        for (const WorkerAction &action : supervisor.takeActions(now)) {
            kinds.push_back(action.kind);
            supervisor.onActionResult(now, now, action.id, status);
        }
        return kinds;
    }

    void startAndList(const std::string &job)
    {
        orderStart(startOrder(job));
        REQUIRE(performCalls() == std::vector{Kind::Start});
        now += 1ms;
        deliverList({taskInfo(job, TaskState::Running)});
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
        const std::vector<Kind> kinds = performCalls();
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

// Guards against a start that exceeds the capacity of the host, contradicts the sheet or comes too late.
TEST_CASE_METHOD(TaskSupervisorFixture,
                 "A start order that must not be carried out is refused with the reason",
                 "[tasksupervisor]")
{
    SECTION("too old after waiting at the leader and in transit")
    {
        now += 1500ms;
        orderStart(startOrder("a", 1, 4000, 1000ms), 1001ms);
        checkRefused("a", "older than");
    }
    SECTION("too old when the call would be made")
    {
        orderStart(startOrder("a", 1, 4000, 1900ms));
        now += 101ms;
        checkRefused("a", "older than");
    }
    SECTION("under an older sheet")
    {
        supervisor.onSheet(now, 4, true);
        orderStart(startOrder("a"));
        checkRefused("a", "sheet version 3");
    }
    SECTION("without a recent confirmation of the sheet")
    {
        now += 2001ms;
        orderStart(startOrder("a"));
        checkRefused("a", "not confirmed");
    }
    SECTION("for a data centre that is out of service")
    {
        supervisor.onSheet(now, 3, false);
        orderStart(startOrder("a"));
        checkRefused("a", "out of service");
    }
    SECTION("while the host is leaving")
    {
        supervisor.setLeaving();
        orderStart(startOrder("a"));
        checkRefused("a", "leaving");
    }
    SECTION("when too much is reserved already")
    {
        startAndList("a");
        orderStart(startOrder("b", 1, 6001));
        checkRefused("b", "cpuMillis 10001 of 10000");
    }
    SECTION("when a running task uses more than it declared")
    {
        startAndList("a");
        deliverList({taskInfo("a", TaskState::Running, 7000)});
        CHECK(supervisor.reserved().cpuMillis == 7000);
        orderStart(startOrder("b"));
        checkRefused("b", "does not fit");
    }
    SECTION("while the resources of a stopping task are in use")
    {
        startAndList("a");
        orderStop("a", false);
        CHECK(performCalls() == std::vector{Kind::Stop});
        now += 1s;
        deliverList({taskInfo("a", TaskState::Stopping)});
        orderStart(startOrder("b", 1, 8000));
        checkRefused("b", "does not fit");
        deliverList({taskInfo("a", TaskState::Stopped)});
        orderStart(startOrder("c", 1, 8000));
        CHECK(performCalls() == std::vector{Kind::Start});
    }
    SECTION("for a job whose earlier assignment is on the host")
    {
        startAndList("a");
        orderStart(startOrder("a", 2, 1));
        checkRefused("a", "earlier assignment", 2);
    }
}

TEST_CASE_METHOD(TaskSupervisorFixture, "A start order under a newer sheet waits for that sheet", "[tasksupervisor]")
{
    HostOrders given;
    given.sheetVersion = 4;
    given.starts = {startOrder("a")};
    deliverOrders(given);
    CHECK(performCalls().empty());
    supervisor.onSheet(now, 4, true);
    CHECK(performCalls() == std::vector{Kind::Start});
}

// Guards against a task that runs twice, and against a task that ran but is reported as refused.
TEST_CASE_METHOD(TaskSupervisorFixture,
                 "A start with an uncertain result is resolved by a later worker list",
                 "[tasksupervisor]")
{
    orderStart(startOrder("a"));
    const TimePoint before = now;
    CHECK(performCalls(failure(GENERATE(ErrorKind::Unknown, ErrorKind::Timeout, ErrorKind::Conflict)))
          == std::vector{Kind::Start});
    now += 100ms;
    supervisor.onWorkerList(before, now, {});
    CHECK(supervisor.reserved().cpuMillis == 4000);
    orderStart(startOrder("a"));
    CHECK(performCalls().empty());
    now += 1s;

    SECTION("the task runs")
    {
        deliverList({taskInfo("a", TaskState::Running)});
        CHECK(performCalls() == std::vector{Kind::Renew});
    }
    SECTION("the task does not run")
    {
        deliverList({});
        CHECK(supervisor.reserved().cpuMillis == 0);
        CHECK(reported("a")->state == ReportedState::Lost);
        SECTION("the start takes effect even later")
        {
            deliverList({taskInfo("a", TaskState::Running)});
            CHECK(supervisor.reserved().cpuMillis == 4000);
            CHECK(performCalls() == std::vector{Kind::Stop});
        }
        SECTION("the start takes effect after the task was forgotten")
        {
            acknowledge("a");
            deliverList({taskInfo("a", TaskState::Running)});
            CHECK(performCalls() == std::vector{Kind::Stop});
        }
    }
}

TEST_CASE_METHOD(TaskSupervisorFixture,
                 "A start that the worker has definitely refused is returned to the leader",
                 "[tasksupervisor]")
{
    orderStart(startOrder("a"));
    CHECK(performCalls(failure(GENERATE(ErrorKind::Unavailable, ErrorKind::ResourceExhausted)))
          == std::vector{Kind::Start});
    checkRefused("a", "worker refused");
}

// Guards against leases renewed after the grant has expired, which would let a job run in two places.
TEST_CASE_METHOD(TaskSupervisorFixture, "Leases are renewed only while a grant is valid", "[tasksupervisor]")
{
    startAndList("a");
    now += 9998ms;
    const std::vector<WorkerAction> actions = supervisor.takeActions(now);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].lease == 5s);
    CHECK(actions[0].sendBefore == now + 1ms);
    supervisor.onActionResult(now, now, actions[0].id, Ok);
    now += 1s;
    CHECK(performCalls().empty());

    SECTION("a grant of an older epoch or of another process does not count")
    {
        supervisor.setMinimumEpoch(7);
        deliverOrders(ordersOf(6));
        HostOrders other = ordersOf(9);
        other.leading = false;
        supervisor.onOrders(now, now, other);
        CHECK(performCalls().empty());
    }
    SECTION("a grant counts from the time at which the report was sent")
    {
        deliverOrders({}, 10s);
        CHECK(performCalls().empty());
        deliverOrders({}, 9999ms);
        CHECK(performCalls() == std::vector{Kind::Renew});
    }
    SECTION("a task whose lease has expired is reported as lost")
    {
        now += 6s;
        deliverList({taskInfo("a", TaskState::Stopped, 0, "cp")});
        CHECK(reported("a")->state == ReportedState::Lost);
    }
}

// Guards against evictions that discard work, and against evictions that never finish.
TEST_CASE_METHOD(TaskSupervisorFixture, "An eviction takes a checkpoint before it stops the task", "[tasksupervisor]")
{
    startAndList("a");
    deliverList({taskInfo("a", TaskState::Running, 0, "cp1")});
    performCalls();
    orderStop("a", true);
    CHECK(performCalls() == std::vector{Kind::Checkpoint});
    CHECK(reported("a")->state == ReportedState::Stopping);
    now += 1s;

    SECTION("the checkpoint appears")
    {
        CHECK(performCalls() == std::vector{Kind::Renew});
        deliverList({taskInfo("a", TaskState::Running, 0, "cp2")});
        CHECK(performCalls() == std::vector{Kind::Stop});
        now += 1s;
        CHECK(performCalls().empty());
        deliverList({taskInfo("a", TaskState::Running, 0, "cp2")});
        CHECK(performCalls() == std::vector{Kind::Stop});
        deliverList({taskInfo("a", TaskState::Stopped, 0, "cp2")});
        CHECK(reported("a")->state == ReportedState::Stopped);
        CHECK(reported("a")->checkpoint == "cp2");
    }
    SECTION("the checkpoint does not appear in time")
    {
        now += 2s;
        CHECK(performCalls() == std::vector{Kind::Stop});
    }
}

// Guards against results that are lost in transit to the leader.
TEST_CASE_METHOD(TaskSupervisorFixture,
                 "An ended task is reported until acknowledged and then removed",
                 "[tasksupervisor]")
{
    startAndList("a");
    deliverList({taskInfo("a", TaskState::Finished)});
    CHECK(supervisor.hasChanges());
    for (int report = 0; report < 3; ++report) {
        CHECK(reported("a")->state == ReportedState::Finished);
        CHECK(reported("a")->result == "done");
    }
    CHECK_FALSE(supervisor.hasChanges());
    CHECK(performCalls().empty());
    acknowledge("a");
    CHECK_FALSE(reported("a"));
    CHECK(performCalls(failure(ErrorKind::Timeout)) == std::vector{Kind::Remove});
    now += 1s;
    deliverList({taskInfo("a", TaskState::Finished)});
    CHECK(performCalls() == std::vector{Kind::Remove});
    deliverList({});
    now += 1s;
    CHECK(performCalls().empty());
}

TEST_CASE_METHOD(TaskSupervisorFixture, "Reports contain only changes unless a full one is needed", "[tasksupervisor]")
{
    startAndList("a");
    CHECK_FALSE(supervisor.makeReport(now).tasks.empty());
    CHECK(supervisor.makeReport(now).tasks.empty());
    SECTION("after a lost report")
    {
        supervisor.onReportLost();
    }
    SECTION("when the leader requests a full report")
    {
        HostOrders given;
        given.wantFull = true;
        deliverOrders(given);
        CHECK(supervisor.hasChanges());
    }
    SECTION("after a change of the epoch")
    {
        deliverOrders(ordersOf(6));
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

// Guards against a restarted agent that overlooks tasks of its predecessor, renews their leases without a grant or
// overbooks the host.
TEST_CASE("A restarted supervisor adopts the tasks of its predecessor", "[tasksupervisor]")
{
    const TimePoint now = TimePoint() + 1h;
    TaskSupervisor supervisor{{.host = {.name = "h1", .dataCentre = {}, .rack = {}, .capacity = {.cpuMillis = 5000}}}};
    supervisor.onSheet(now, 3, true);
    HostOrders orders = ordersOf(5);
    orders.starts = {TaskSupervisorFixture::startOrder("a", 1, 4000, 100ms)};
    supervisor.onOrders(now, now, orders);
    CHECK(supervisor.takeActions(now).empty());
    CHECK_FALSE(supervisor.makeReport(now).full);

    const std::vector<TaskInfo> tasks{TaskSupervisorFixture::taskInfo("a", TaskState::Running),
                                      TaskSupervisorFixture::taskInfo("b", TaskState::Finished)};
    supervisor.onWorkerList(now, now, tasks);
    CHECK(supervisor.reserved().cpuMillis == 4000);
    const HostReport report = supervisor.makeReport(now);
    CHECK(report.full);
    REQUIRE(report.tasks.size() == 2);
    CHECK(report.tasks[0].state == ReportedState::Running);
    CHECK(report.tasks[1].result == "done");

    SECTION("their leases are renewed with a grant")
    {
        const std::vector<WorkerAction> actions = supervisor.takeActions(now);
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].kind == Kind::Renew);
        CHECK(supervisor.takeActions(now + 10s).empty());
    }
    SECTION("tasks that the leader has no record of are stopped")
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
