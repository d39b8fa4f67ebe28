#include "shardfixture.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace Carobflow::Testing;

TEST_CASE_METHOD(Fixture, "A leader takes a job from submission to completion", "[shardleader]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    REQUIRE(leader.isLeading(now));
    CHECK(leader.epoch() == 1);
    report(leader, "h1", {});

    const std::uint64_t ticket = leader.submit(now, makeJob("j1"));
    CHECK(leader.takeReplies().empty());
    advance(leader, Milliseconds(200));
    const std::vector<JobReply> replies = leader.takeReplies();
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().ticket == ticket);
    CHECK(replies.front().outcome == JobReply::Outcome::Accepted);

    const HostOrders orders = leader.ordersFor(now, "h1");
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.grant == Milliseconds(10000));
    report(leader, "h1", {makeTask(orders.starts.front(), ReportedState::Running)});
    CHECK(leader.find("j1")->state == JobState::Running);

    SECTION("a finished task is acknowledged once its end is committed")
    {
        const HostOrders answer = report(leader, "h1", {makeTask(orders.starts.front(), ReportedState::Finished)});
        CHECK(leader.find("j1")->state == JobState::Finished);
        CHECK(answer.acknowledged.size() == 1);
    }
    SECTION("a report with an outdated fence changes nothing but is acknowledged")
    {
        StartOrder old = orders.starts.front();
        old.fence = 0;
        const HostOrders answer = report(
            leader,
            "h1",
            {makeTask(orders.starts.front(), ReportedState::Running), makeTask(old, ReportedState::Finished)});
        CHECK(leader.find("j1")->state == JobState::Running);
        CHECK(answer.acknowledged.size() == 1);
    }
    SECTION("a job whose start was refused is accepted again and avoids that host for a while")
    {
        report(leader, "h1", {makeTask(orders.starts.front(), ReportedState::Refused)});
        advance(leader, Milliseconds(2000));
        report(leader, "h1", {});
        CHECK(leader.find("j1")->state == JobState::Accepted);
        report(leader, "h2", {});
        CHECK(leader.find("j1")->host == "h2");
    }
    SECTION("a job of a host that stops reporting is reassigned only after grant, lease and margin")
    {
        advance(leader, Milliseconds(16500));
        CHECK(leader.find("j1")->state == JobState::Running);
        report(leader, "h2", {});
        advance(leader, Milliseconds(1500));
        CHECK(leader.find("j1")->state == JobState::Assigned);
        CHECK(leader.find("j1")->host == "h2");
        CHECK(leader.find("j1")->fence > orders.starts.front().fence);
    }
    SECTION("a new leader replays the ledger and waits for the outage grace before it reassigns")
    {
        ShardLeader next(options("b", 2));
        advance(next, Milliseconds(6000));
        REQUIRE(next.isLeading(now));
        CHECK(next.epoch() == 2);
        CHECK(next.find("j1")->host == "h1");
        for (int second = 0; second < 305; ++second) {
            report(next, "h2", {}, 2);
            advance(next, Milliseconds(900));
        }
        CHECK(next.find("j1")->host == "h1");
        advance(next, Milliseconds(13000));
        CHECK(next.find("j1")->host.empty());
        advance(leader, Milliseconds(100));
        CHECK_FALSE(leader.isLeading(now));
    }
    SECTION("a report with a higher epoch makes the leader step down")
    {
        leader.onReport(now, {.host = {}, .epoch = 2, .tasks = {}, .windows = {}});
        CHECK_FALSE(leader.isLeading(now));
    }
}

TEST_CASE_METHOD(Fixture, "A lost commit reply is resolved by reading the row back", "[shardleader]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    store.appliesLost = GENERATE(true, false);
    store.loseReplies = 3;
    leader.submit(now, makeJob("j1"));
    advance(leader, Milliseconds(2000));
    const std::vector<JobReply> replies = leader.takeReplies();
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().outcome == JobReply::Outcome::Accepted);
    CHECK(leader.isLeading(now));
    CHECK(leader.list().size() == 1);
}

TEST_CASE_METHOD(Fixture, "Assignments are withdrawn when the sheet has changed", "[shardleader]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    report(leader, "h1", {});
    store.transact({.conditions = {}, .mutations = {{.key = "sheet/current", .value = "new"}}});
    leader.submit(now, makeJob("j1"));
    advance(leader, Milliseconds(300));
    CHECK(leader.find("j1")->state == JobState::Accepted);

    auto sheet = std::make_shared<Sheet>();
    sheet->dataCentres = {{.name = "dc-h1", .inService = true}};
    leader.setSheet(now, 1, store.rows.at("sheet/current").version, sheet);
    advance(leader, Milliseconds(300));
    CHECK(leader.find("j1")->state == JobState::Assigned);
}

TEST_CASE_METHOD(Fixture, "A sheet submits its jobs and cancels those it no longer lists", "[shardleader]")
{
    ShardLeader leader(options("a", 1));
    step(leader);
    auto sheet = std::make_shared<Sheet>();
    sheet->jobs = {makeJob("j1"), makeJob("big", {90000, 1, 0}), makeJob("check")};
    for (JobSpec &job : sheet->jobs) {
        job.fromSheet = true;
    }
    sheet->jobs.back().kind = JobKind::Check;
    leader.setSheet(now, 1, 0, sheet);
    report(leader, "h1", {});
    advance(leader, Milliseconds(6000));
    CHECK(leader.find("big")->state == JobState::Unrunnable);
    CHECK_THAT(leader.find("big")->reason, Catch::Contains("cpu_millis=90000"));

    const HostOrders orders = report(leader, "h1", {});
    REQUIRE(orders.starts.size() == 2);
    std::vector<TaskReport> tasks;
    for (const StartOrder &start : orders.starts) {
        tasks.push_back(makeTask(start, start.job == "check" ? ReportedState::Finished : ReportedState::Running));
    }
    SECTION("a finished check runs again")
    {
        report(leader, "h1", tasks);
        CHECK(leader.find("check")->state == JobState::Assigned);
        CHECK(leader.find("check")->fence > tasks.back().fence);
    }
    SECTION("a running job that is no longer listed is stopped and then cancelled")
    {
        report(leader, "h1", tasks);
        leader.setSheet(now, 2, 0, std::make_shared<Sheet>());
        const HostOrders stops = report(leader, "h1", tasks);
        CHECK(leader.find("j1")->state == JobState::Evicting);
        REQUIRE(stops.stops.size() == 1);
        CHECK_FALSE(stops.stops.front().checkpoint);
        for (TaskReport &task : tasks) {
            task.state = ReportedState::Stopped;
        }
        report(leader, "h1", tasks);
        CHECK(leader.find("j1")->state == JobState::Cancelled);
    }
    SECTION("tasks in a data centre that is out are evicted and resume from their checkpoint elsewhere")
    {
        auto out = std::make_shared<Sheet>(*sheet);
        out->dataCentres = {{.name = "dc-h1", .inService = false}};
        report(leader, "h1", tasks);
        leader.setSheet(now, 2, 0, out);
        CHECK(report(leader, "h1", tasks).stops.size() == 1);
        for (TaskReport &task : tasks) {
            task.state = ReportedState::Stopped;
            task.checkpoint = "checkpoint-1";
        }
        report(leader, "h1", tasks);
        CHECK(leader.find("j1")->state == JobState::Checkpointed);
        const HostOrders moved = report(leader, "h2", {});
        CHECK(std::ranges::any_of(moved.starts, [](const StartOrder &start) {
            return start.job == "j1" && start.checkpoint == "checkpoint-1";
        }));
    }
}

TEST_CASE_METHOD(Fixture, "A leader restores all jobs from a snapshot and old ledger rows are deleted", "[shardleader]")
{
    ShardLeader leader(options("a", 1));
    for (int job = 0; job < 20; ++job) {
        advance(leader, Milliseconds(100));
        leader.submit(now, makeJob("j" + std::to_string(job)));
    }
    advance(leader, Milliseconds(5000));
    CHECK(store.rows.size() < 8);
    leader.release(now);
    step(leader);
    CHECK(leader.isReleased());
    ShardLeader next(options("b", 2));
    step(next);
    CHECK(next.isLeading(now));
    CHECK(next.list().size() == 20);
}

// Guards against a job that is recorded in the wrong shard, and against a host that holds grants of two leaders. Both
// can happen when a caller uses a remembered address that now belongs to a host of another shard.
TEST_CASE_METHOD(Fixture, "A leader refuses jobs and hosts of other shards", "[shardleader]")
{
    ShardLeader::Options sharded = options("a", 1);
    sharded.shardCount = 3;
    sharded.shard = 1;
    ShardLeader leader(sharded);
    step(leader);
    REQUIRE(leader.isLeading(now));
    const auto outcomes = [&] {
        advance(leader, Milliseconds(200));
        std::vector<JobReply::Outcome> list;
        for (const JobReply &reply : leader.takeReplies()) {
            list.push_back(reply.outcome);
        }
        return list;
    };
    const std::string own = "j0";
    const std::string other = "j2";
    REQUIRE(leader.owns(own));
    REQUIRE_FALSE(leader.owns(other));

    SECTION("a submission or cancellation is answered as by a process that does not lead")
    {
        leader.submit(now, makeJob(own));
        CHECK(outcomes() == std::vector{JobReply::Outcome::Accepted});
        leader.submit(now, makeJob(other));
        leader.cancel(now, other);
        CHECK(outcomes() == std::vector{JobReply::Outcome::NotLeader, JobReply::Outcome::NotLeader});
        CHECK(leader.list().size() == 1);
    }
    SECTION("a host gets neither a grant nor a task")
    {
        leader.submit(now, makeJob(own));
        const HostOrders refused = report(leader, "host-0", {});
        CHECK_FALSE(refused.leading);
        CHECK(refused.grant == Milliseconds(0));
        CHECK(refused.starts.empty());
        const HostOrders orders = report(leader, "host-1", {});
        CHECK(orders.leading);
        CHECK(orders.starts.size() == 1);
    }
}
