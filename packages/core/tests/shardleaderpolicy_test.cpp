#include "shardfixture.h"

#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace Carobflow::Testing;

namespace
{

ServiceWindow window(double tail, std::vector<std::string> classes)
{
    return {.service = "desk",
            .completed = 1000,
            .p99Milliseconds = tail,
            .load = 0.5,
            .length = Milliseconds(1000),
            .jobClasses = std::move(classes)};
}

struct PolicyFixture : Fixture {
    std::vector<TaskReport> tasks;

    void setSheet(ShardLeader &leader, Objective objective)
    {
        auto sheet = std::make_shared<Sheet>();
        sheet->services = {{.name = "desk",
                            .deadline = Milliseconds(100),
                            .targetRatio = 0.99,
                            .idempotent = true,
                            .objective = objective}};
        leader.setSheet(now, 1, 0, sheet);
    }

    /// Adds a running task for each start order.
    void start(const HostOrders &orders)
    {
        for (const StartOrder &order : orders.starts) {
            tasks.push_back(makeTask(order, ReportedState::Running));
        }
    }

    /// Reports this tail latency once a second until a throttle or stop order is returned or the time is over.
    HostOrders reportTail(ShardLeader &leader, double tail, int seconds, Epoch epoch = 1)
    {
        const std::vector<std::string> classes(tasks.size(), "reseam");
        HostOrders orders;
        for (int second = 0; second < seconds && orders.throttles.empty() && orders.stops.empty(); ++second) {
            advance(leader, Milliseconds(900));
            orders = report(leader, "h1", tasks, epoch, {window(tail, classes)}, false);
        }
        return orders;
    }
};

} // namespace

TEST_CASE_METHOD(PolicyFixture,
                 "Tasks that slow a service down are throttled and then evicted",
                 "[shardleader][policy]")
{
    auto leaderOptions = options("a", 1);
    leaderOptions.adaptivePolicy = GENERATE(true, false);
    ShardLeader leader(leaderOptions);
    step(leader);
    setSheet(leader, Objective::Throughput);
    leader.submit(now, makeJob("j1"));
    start(report(leader, "h1", {}));
    REQUIRE(tasks.size() == 1);
    const HostOrders first = reportTail(leader, 300, 5);
    if (!leaderOptions.adaptivePolicy) {
        // The baseline must not throttle; otherwise a comparison with it is meaningless.
        CHECK(first.throttles.empty());
        return;
    }
    REQUIRE(first.throttles.size() == 1);
    CHECK(first.throttles.front().percent < 100);

    SECTION("the order is sent once and repeated when the agent missed the reply")
    {
        CHECK(report(leader, "h1", tasks, 1, {}, false).throttles.empty());
        const HostOrders again = report(leader, "h1", tasks);
        REQUIRE(again.throttles.size() == 1);
        CHECK(again.throttles.front().percent == first.throttles.front().percent);
    }
    SECTION("a task that still slows the service down is evicted and kept off the host")
    {
        while (leader.find("j1")->state != JobState::Evicting) {
            REQUIRE_FALSE(reportTail(leader, 300, 30).isIdle());
        }
        tasks.front().state = ReportedState::Stopped;
        tasks.front().checkpoint = "checkpoint-1";
        report(leader, "h1", tasks);
        tasks.clear();
        reportTail(leader, 20, 5);
        CHECK(leader.find("j1")->host.empty());
        CHECK(leader.find("j1")->evictions == 1);
        report(leader, "h2", {});
        CHECK(leader.find("j1")->host == "h2");
    }
    SECTION("a new leader sends the throttle of each task once because it does not know the one in force")
    {
        ShardLeader next(options("b", 2));
        advance(next, Milliseconds(6000));
        REQUIRE(next.isLeading(now));
        const HostOrders orders = report(next, "h1", tasks, 2);
        REQUIRE(orders.throttles.size() == 1);
        CHECK(orders.throttles.front().percent == 100);
        CHECK(report(next, "h1", tasks, 2, {}, false).throttles.empty());
    }
}

// Guards against placement that ignores the services, and against placement that keeps jobs waiting for a better host.
TEST_CASE_METHOD(PolicyFixture, "A host whose service is near its deadline is chosen last", "[shardleader][policy]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    setSheet(leader, GENERATE(Objective::Latency, Objective::Throughput));
    report(leader, "h1", {}, 1, {window(88, {})});
    SECTION("another host gets the job")
    {
        report(leader, "h2", {}, 1, {window(30, {})});
        leader.submit(now, makeJob("j1"));
        advance(leader, Milliseconds(500));
        CHECK(leader.find("j1")->host == "h2");
    }
    SECTION("it gets the job when there is no other")
    {
        leader.submit(now, makeJob("j1"));
        advance(leader, Milliseconds(500));
        CHECK(leader.find("j1")->host == "h1");
    }
}

TEST_CASE_METHOD(PolicyFixture,
                 "Normal jobs with the most slack are evicted for an urgent job",
                 "[shardleader][urgent]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    report(leader, "h1", {});
    for (int job = 0; job < 4; ++job) {
        JobSpec spec = makeJob("j" + std::to_string(job));
        spec.deadlineUnixSeconds = 5000 + 100 * ((job + 1) % 4);
        leader.submit(now, spec);
    }
    start(report(leader, "h1", {}, 1, {}, false));
    REQUIRE(tasks.size() == 4);
    JobSpec urgent = makeJob("urgent", {2000, 1000, 0});
    urgent.urgency = Urgency::Urgent;
    leader.submit(now, urgent);
    // Small enough to take the freed capacity if it were not reserved.
    leader.submit(now, makeJob("j4"));
    const HostOrders orders = report(leader, "h1", tasks, 1, {}, false);
    REQUIRE(orders.stops.size() == 2);
    for (const StopOrder &stop : orders.stops) {
        CHECK((stop.job == "j1" || stop.job == "j2"));
        CHECK(stop.checkpoint);
    }
    // The capacity of the first task that stops is reserved; otherwise smaller jobs could take it again and again.
    for (TaskReport &task : tasks) {
        task.state = task.job == "j1" ? ReportedState::Stopped : ReportedState::Running;
    }
    report(leader, "h1", tasks, 1, {}, false);
    CHECK(leader.find("j4")->host.empty());
    CHECK(leader.find("j1")->host.empty());
    for (TaskReport &task : tasks) {
        task.state = task.job == "j2" ? ReportedState::Stopped : task.state;
    }
    report(leader, "h1", tasks, 1, {}, false);
    CHECK(leader.find("urgent")->host == "h1");
    CHECK(leader.find("j1")->host.empty());
}

// Guards against cancellations that fill whole commits and delay ended tasks, assignments and evictions.
TEST_CASE_METHOD(PolicyFixture, "Many cancellations at once do not delay an urgent job", "[shardleader][urgent]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    report(leader, "h1", {});
    for (int job = 0; job < 3000; ++job) {
        leader.submit(now, makeJob("j" + std::to_string(job), {8000, 1000, 0}));
    }
    advance(leader, Milliseconds(4000));
    report(leader, "h1", {});
    for (int job = 0; job < 3000; ++job) {
        leader.cancel(now, "j" + std::to_string(job));
    }
    JobSpec urgent = makeJob("urgent");
    urgent.urgency = Urgency::Urgent;
    leader.submit(now, urgent);
    advance(leader, Milliseconds(600));
    CHECK(leader.find("urgent")->state == JobState::Assigned);
}

TEST_CASE_METHOD(PolicyFixture, "The interference model is restored with the snapshot", "[shardleader][policy]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    for (int second = 0; second < 20; ++second) {
        report(leader, "h1", {}, 1, {window(50, {"reseam"}), window(30, {})});
        leader.submit(now, makeJob("j" + std::to_string(second), {9000, 1, 0}));
        advance(leader, Milliseconds(900));
    }
    leader.release(now);
    step(leader);
    ShardLeader next(options("b", 2));
    step(next);
    REQUIRE(next.isLeading(now));
    setSheet(next, Objective::Latency);
    // The window of h2 includes the slowdown by the class, that of h1 does not. Without the model, h1 would be chosen.
    report(next, "h1", {}, 2, {window(70, {})});
    report(next, "h2", {}, 2, {window(80, {"reseam"})});
    next.submit(now, makeJob("small"));
    advance(next, Milliseconds(500));
    CHECK(next.find("small")->host == "h2");
}
