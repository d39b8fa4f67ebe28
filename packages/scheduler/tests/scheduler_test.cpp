#include "schedulerfixture.h"

#include <algorithm>
#include <string_view>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("A job runs step by step", "[scheduler]")
{
    SchedulerFixture fixture;
    JobSpec spec = SchedulerFixture::quickJob("job", 2);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    REQUIRE(fixture.scheduler->submit(spec, fixture.now) == Scheduler::Submission::Accepted);

    SECTION("A second submission with the same id does not create another job")
    {
        // Guards against running a job twice when a client repeats a request because the answer was lost.
        CHECK(fixture.scheduler->submit(spec, fixture.now) == Scheduler::Submission::Known);
        CHECK(fixture.step().size() == 2);
    }
    SECTION("The first step starts at once")
    {
        const auto first = fixture.step();
        REQUIRE(first.size() == 2);
        CHECK(first[0].run.run == 1);

        SECTION("The second step waits for every task of the first")
        {
            // Guards against a start before all tasks of an earlier step have ended.
            fixture.end(first[0], RunEnd::Done, 1);
            CHECK(fixture.step().empty());

            SECTION("And starts when the last one is done")
            {
                fixture.end(first[1], RunEnd::Done, first[0].host == first[1].host ? 2 : 1);
                const auto second = fixture.step();
                REQUIRE(second.size() == 2);
                CHECK(second[0].run.task.step == 1);
                CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Running);
                fixture.end(second[0], RunEnd::Done, 10);
                fixture.end(second[1], RunEnd::Done, 11);
                CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Completed);
            }
        }
    }
}

TEST_CASE("No start order is sent before its decision is in the store", "[scheduler]")
{
    // Guards against a next leader that does not know where a task may run.
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    fixture.scheduler->plan(fixture.now, fixture.unixMs);
    CHECK(fixture.scheduler->takeStarts().empty());
    const auto dirty = fixture.scheduler->takeDirtyJobs(10);
    REQUIRE(dirty == std::vector<std::string>{"job"});
    CHECK(fixture.scheduler->find("job")->progress().tasks.front().placements.size() == 1);
    CHECK(fixture.scheduler->takeStarts().empty());

    SECTION("It is sent with the commit")
    {
        fixture.scheduler->commitJob("job", fixture.now);
        CHECK(fixture.scheduler->takeStarts().size() == 1);
    }
    SECTION("It is withdrawn when the data centre was taken out of service meanwhile")
    {
        for (const std::string &name : fixture.hostNames) {
            fixture.view->evacuated.insert("dc-" + name);
        }
        fixture.scheduler->commitJob("job", fixture.now);
        CHECK(fixture.scheduler->takeStarts().empty());
        CHECK(fixture.scheduler->find("job")->isIdle());
    }
}

TEST_CASE("Ends are acknowledged only when they are in the store", "[scheduler]")
{
    // Guards against running a finished task again: an end that is acknowledged but not stored is lost with the leader.
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.end(starts[0], RunEnd::Done, 5);
    CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 4);
    const auto dirty = fixture.scheduler->takeDirtyJobs(10);
    CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 4);
    fixture.scheduler->commitJob(dirty.front(), fixture.now);
    CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 5);
}

TEST_CASE("An unanswered start keeps its resources reserved until its outcome is known", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.hostNames = {"host-1"};
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.reportAll();
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 1), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);

    SECTION("The order for the same run is sent again, and after three orders the run is stopped")
    {
        // Guards against a second run of the task while the first may still start.
        for (int send = 0; send < 2; ++send) {
            fixture.scheduler->onStartOutcome("host-1", starts[0].run, StartOutcome::Unanswered, fixture.now);
            const auto again = fixture.step();
            REQUIRE(again.size() == 1);
            CHECK(again[0].run == starts[0].run);
        }
        fixture.scheduler->onStartOutcome("host-1", starts[0].run, StartOutcome::Unanswered, fixture.now);
        CHECK(fixture.step().empty());
        REQUIRE(fixture.stops().size() == 1);
        fixture.scheduler->onStopOutcome("host-1", starts[0].run, StopOutcome::Absent, fixture.now);
        const auto next = fixture.step();
        REQUIRE(next.size() == 1);
        CHECK(next[0].run.run == 2);
    }
    SECTION("A rejection of the second order does not release them, because the first may be executed late")
    {
        fixture.scheduler->onStartOutcome("host-1", starts[0].run, StartOutcome::Unanswered, fixture.now);
        REQUIRE(fixture.step().size() == 1);
        fixture.scheduler->onStartOutcome("host-1", starts[0].run, StartOutcome::Unhealthy, fixture.now);
        CHECK(fixture.step(Milliseconds(200)).empty());
        CHECK(fixture.stops().size() == 1);
        CHECK(!fixture.scheduler->find("job")->isIdle());
    }
    SECTION("A rejection of the only order releases them")
    {
        fixture.scheduler->onStartOutcome("host-1", starts[0].run, StartOutcome::Unhealthy, fixture.now);
        CHECK(fixture.scheduler->find("job")->isIdle());
        CHECK(fixture.step(Milliseconds(200)).size() == 1);
    }
}

TEST_CASE("A new leader continues from the store", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    const JobProgress stored = fixture.scheduler->find("job")->progress();

    ++fixture.epoch;
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.scheduler->expectHost(starts[0].host,
                                  {.now = fixture.now, .leasesExpireBy = fixture.now + Milliseconds(5000)});
    fixture.scheduler->restore(SchedulerFixture::quickJob("job"), stored, fixture.now, fixture.now);

    SECTION("A run that its host lists is adopted")
    {
        // Guards against losing all running work at each change of leader.
        fixture.reportAll(starts);
        CHECK(fixture.step().empty());
        CHECK(fixture.stops().empty());
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Running);
    }
    SECTION("A run that its host does not list is started again under a higher number")
    {
        fixture.reportAll();
        const auto again = fixture.step();
        REQUIRE(again.size() == 1);
        CHECK(again[0].run.run == 2);
    }
    SECTION("While its host is silent the task is not started elsewhere until every lease has expired")
    {
        // Guards against two runs of one task after a partition.
        std::erase(fixture.hostNames, starts[0].host);
        fixture.reportAll();
        CHECK(fixture.step().empty());
        fixture.advance(Milliseconds(5000));
        fixture.reportAll();
        CHECK(fixture.step().empty());
        fixture.advance(Milliseconds(10));
        fixture.reportAll();
        CHECK(fixture.step().size() == 1);
    }
    SECTION("A host without a readable row may hold leases of the latest leader")
    {
        // Guards against two runs of one task when a row of the store is lost.
        const LeaseTimes times;
        fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
        fixture.scheduler->setOperatorView(fixture.view);
        fixture.scheduler->restore(SchedulerFixture::quickJob("job"), stored, fixture.now, fixture.now);
        std::erase(fixture.hostNames, starts[0].host);
        fixture.now += times.untilFreeAfterWrite();
        fixture.reportAll();
        CHECK(fixture.step().empty());
        fixture.advance(Milliseconds(10));
        fixture.reportAll();
        CHECK(fixture.step().size() == 1);
    }
    SECTION("A silent upstream whose leases have expired runs nothing, even if it never answered this leader")
    {
        // Guards against tasks that stay lost when their upstream crashes shortly before a change of leader.
        --fixture.epoch;
        HostReport report = fixture.reportOf(starts[0].host);
        report.silence = Milliseconds(6000);
        report.leaseLeft = Milliseconds(100);
        fixture.scheduler->onReport(report, fixture.now);
        ++fixture.epoch;
        std::erase(fixture.hostNames, starts[0].host);
        fixture.reportAll();
        CHECK(fixture.step().empty());
        report.leaseLeft = Milliseconds(0);
        fixture.scheduler->onReport(report, fixture.now);
        CHECK(fixture.step().size() == 1);
    }
    SECTION("A list from before the upstream refused orders of the previous leader is ignored")
    {
        --fixture.epoch;
        fixture.reportAll();
        CHECK(fixture.step().empty());
    }
}

TEST_CASE("A run is not started again while its end may be among those not listed yet", "[scheduler][pages]")
{
    // Guards against running finished tasks again: an upstream lists a limited number of ends at a time, and the next
    // ones when these are acknowledged.
    SchedulerFixture fixture;
    const std::string name = "host-1";
    fixture.hostNames = {name};
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.reportAll();
    const JobSpec spec = SchedulerFixture::quickJob("job", 4);
    fixture.scheduler->submit(spec, fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 4);
    const auto changeLeader = [&] {
        const JobProgress stored = fixture.scheduler->find("job")->progress();
        ++fixture.epoch;
        fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
        fixture.scheduler->setOperatorView(fixture.view);
        fixture.scheduler->restore(spec, stored, fixture.now, fixture.now);
    };
    const auto endOf = [&](std::size_t index) {
        return EndedRun{.number = index + 1, .run = starts[index].run, .end = RunEnd::Done};
    };
    /// Reports one page of ends and returns what is started after it.
    const auto reportPage = [&](std::vector<EndedRun> ended, bool moreEnds) {
        HostReport report = fixture.reportOf(name);
        report.ended = std::move(ended);
        report.moreEnds = moreEnds;
        fixture.scheduler->onReport(report, fixture.now);
        return fixture.step(Milliseconds(50));
    };
    const auto acknowledgedEnd = [&] { return fixture.scheduler->acknowledgedEnd(name, starts[0].upstream); };
    changeLeader();

    SECTION("Under one new leader")
    {
        for (std::size_t index = 0; index < starts.size(); ++index) {
            CHECK(reportPage({endOf(index)}, index + 1 < starts.size()).empty());
            CHECK(acknowledgedEnd() == index + 1);
        }
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Completed);
    }
    SECTION("Or under several, which take over between two pages")
    {
        for (std::size_t index = 0; index < starts.size(); ++index) {
            CHECK(reportPage({endOf(index)}, index + 1 < starts.size()).empty());
            changeLeader();
        }
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Completed);
    }
    SECTION("Also when an upstream that was replaced under its id lists it")
    {
        changeLeader();
        HostReport before = fixture.reportOf(name);
        for (const StartOrder &start : starts) {
            before.running.push_back({.run = start.run, .percent = 10});
        }
        fixture.scheduler->onReport(before, fixture.now);
        HostReport next = fixture.reportOf(name);
        next.upstream->identity.incarnation = 2;
        next.moreEnds = true;
        next.ended = {endOf(0), endOf(1)};
        fixture.scheduler->onReport(next, fixture.now);
        CHECK(fixture.step(Milliseconds(50)).empty());
        CHECK(fixture.stops().empty());
        next.moreEnds = false;
        next.ended = {endOf(2), endOf(3)};
        fixture.scheduler->onReport(next, fixture.now);
        CHECK(fixture.step().empty());
        CHECK(fixture.stops().empty());
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Completed);
    }
    SECTION("But when the last page has shown that it has no end")
    {
        // Guards against tasks that are lost because no list ever shows them.
        CHECK(reportPage({endOf(0), endOf(1)}, true).empty());
        const auto again = reportPage({endOf(2)}, false);
        REQUIRE(again.size() == 1);
        CHECK(again[0].run.task == starts[3].run.task);
        CHECK(again[0].run.run == 2);
    }
    SECTION("For a limited time, because nothing else starts there meanwhile")
    {
        // Guards against a host whose ends keep coming faster than they are acknowledged.
        fixture.scheduler->submit(SchedulerFixture::quickJob("next"), fixture.now);
        CHECK(reportPage({endOf(0), endOf(1)}, true).empty());
        fixture.hostNames.emplace_back("host-2");
        fixture.scheduler->onReport(fixture.reportOf("host-2"), fixture.now);
        const auto elsewhere = fixture.step();
        REQUIRE(elsewhere.size() == 1);
        CHECK(elsewhere[0].host == "host-2");
        fixture.scheduler->submit(SchedulerFixture::quickJob("third", 4), fixture.now);
        CHECK(reportPage({endOf(2), endOf(3)}, false).size() == 4);
    }
}

TEST_CASE("A silent upstream keeps its tasks no longer than its leases", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.reportAll(starts);
    const TimePoint answeredAt = fixture.now;
    HostReport silent = fixture.reportOf(starts[0].host);
    std::erase(fixture.hostNames, starts[0].host);

    SECTION("Also when its agent is restarted again and again")
    {
        // Guards against LOST: an agent that has just started assumes that its predecessor renewed the leases.
        const TimePoint freeAt = answeredAt + LeaseTimes().untilFreeAfterReport();
        silent.upstream.reset();
        silent.silence = Milliseconds(1'000'000);
        silent.leaseLeft = Milliseconds(6000);
        for (std::uint64_t start = 2; fixture.now + Milliseconds(400) < freeAt; ++start) {
            fixture.advance(Milliseconds(400));
            silent.agentIncarnation = start;
            fixture.scheduler->onReport(silent, fixture.now);
            fixture.reportAll();
            CHECK(fixture.step().empty());
        }
        fixture.advance(Milliseconds(800));
        fixture.scheduler->onReport(silent, fixture.now);
        fixture.reportAll();
        CHECK(fixture.step().size() == 1);
    }
    SECTION("An upstream that answers again may renew them")
    {
        // Guards against TWICE: a report with a recent answer of the upstream is answered with a grant.
        fixture.advance(Milliseconds(2000));
        silent.silence = Milliseconds(2000);
        silent.leaseLeft = Milliseconds(4000);
        fixture.scheduler->onReport(silent, fixture.now);
        fixture.advance(Milliseconds(2000));
        silent.silence = Milliseconds(100);
        silent.running.push_back({.run = starts[0].run, .percent = 50});
        fixture.scheduler->onReport(silent, fixture.now);
        fixture.now = answeredAt + LeaseTimes().untilFreeAfterReport() + Milliseconds(400);
        fixture.reportAll();
        CHECK(fixture.step().empty());
    }
}

TEST_CASE("The tasks of many lost hosts are released in several plans", "[scheduler]")
{
    // Guards against a leader that is replaced during its first plan after a loss of power of all hosts.
    SchedulerFixture fixture;
    fixture.hostNames.clear();
    for (int host = 0; host < 10; ++host) {
        fixture.hostNames.push_back("large-" + std::to_string(host));
        HostReport report = fixture.reportOf(fixture.hostNames.back());
        report.upstream->capacity = {.cpuMillis = 40000, .memoryMiB = 64000};
        fixture.scheduler->onReport(report, fixture.now);
    }
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 400), fixture.now);
    std::size_t started = 0;
    for (int plan = 0; plan < 10; ++plan) {
        started += fixture.step().size();
    }
    REQUIRE(started == 400);
    const auto countPlaced = [&] {
        std::size_t placed = 0;
        for (const TaskProgress &task : fixture.scheduler->find("job")->progress().tasks) {
            placed += task.placements.size();
        }
        return placed;
    };
    fixture.advance(Milliseconds(20000));
    fixture.step();
    CHECK(countPlaced() < 400);
    CHECK(countPlaced() >= 200);
    fixture.step();
    fixture.step();
    fixture.step();
    CHECK(countPlaced() == 0);
}

TEST_CASE("Hosts that are gone are forgotten", "[scheduler]")
{
    // Guards against a leader that counts replaced hosts as unreachable and resigns when they are the majority.
    SchedulerFixture fixture;
    CHECK(fixture.scheduler->contact(fixture.now, Milliseconds(2500)).expected == 3);
    fixture.hostNames = {"host-1"};

    SECTION("As long as they may hold leases they are expected to report")
    {
        fixture.advance(Milliseconds(7000));
        fixture.reportAll();
        const ContactCount contact = fixture.scheduler->contact(fixture.now, Milliseconds(2500));
        CHECK(contact.reporting == 1);
        CHECK(contact.expected == 3);
        CHECK(fixture.scheduler->forgetLostHosts(fixture.now).empty());
    }
    SECTION("Then they are not, and after a while they are removed")
    {
        fixture.advance(Milliseconds(9000));
        fixture.reportAll();
        CHECK(fixture.scheduler->contact(fixture.now, Milliseconds(2500)).expected == 1);
        CHECK(fixture.scheduler->forgetLostHosts(fixture.now).empty());
        fixture.advance(Seconds(120));
        fixture.reportAll();
        CHECK(fixture.scheduler->forgetLostHosts(fixture.now) == std::vector<std::string>{"host-2", "host-3"});
        CHECK(fixture.scheduler->hosts().size() == 1);
    }
}

TEST_CASE("A new leader counts jobs as pending until one of their tasks has started", "[scheduler]")
{
    // Guards against a count that leaves out jobs whose start orders the previous leader never sent.
    SchedulerFixture fixture;
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
    fixture.scheduler->setOperatorView(fixture.view);
    JobProgress stored;
    stored.tasks.push_back({.id = {.job = "job"}, .lastRun = 1, .placements = {{"host-1", 1}}});

    SECTION("A placement alone does not count as a start")
    {
        fixture.scheduler->restore(SchedulerFixture::quickJob("job"), stored, fixture.now, fixture.now);
        CHECK(fixture.scheduler->countPending("quick") == 1);

        SECTION("The run in a host's list does")
        {
            HostReport report = fixture.reportOf("host-1");
            report.running.push_back({.run = {.task = {.job = "job"}, .run = 1}});
            fixture.scheduler->onReport(report, fixture.now);
            CHECK(fixture.scheduler->countPending("quick") == 0);
        }
    }
    SECTION("A job that the previous leader stored as started counts as started")
    {
        stored.started = true;
        fixture.scheduler->restore(SchedulerFixture::quickJob("job"), stored, fixture.now, fixture.now);
        CHECK(fixture.scheduler->countPending("quick") == 0);
    }
}

TEST_CASE("A start that was decided before its upstream shrank is not sent", "[scheduler]")
{
    // Guards against LIMIT: the upstream does not check its capacity, so nothing else stops the order.
    SchedulerFixture fixture;
    HostReport report = fixture.reportOf("host-1");
    report.upstream->labels = {"here"};
    fixture.scheduler->onReport(report, fixture.now);
    JobSpec job = SchedulerFixture::quickJob("job", 3);
    job.steps[0].requiredLabel = "here";
    fixture.scheduler->submit(job, fixture.now);
    fixture.scheduler->plan(fixture.now, fixture.unixMs);
    const auto written = fixture.scheduler->takeDirtyJobs(10);
    REQUIRE(written.size() == 1);
    const auto startsAfterWrite = [&] {
        for (const std::string &id : written) {
            fixture.scheduler->commitJob(id, fixture.now);
        }
        return fixture.scheduler->takeStarts().size();
    };

    SECTION("For want of room for all of them, some are")
    {
        report.upstream->capacity.cpuMillis = 2000;
        fixture.scheduler->onReport(report, fixture.now);
        CHECK(startsAfterWrite() == 2);

        SECTION("And the rest when there is room again")
        {
            report.upstream->capacity.cpuMillis = 4000;
            fixture.scheduler->onReport(report, fixture.now);
            CHECK(fixture.step(Milliseconds(200)).size() == 1);
        }
    }
    SECTION("For want of room for one, none is")
    {
        report.upstream->capacity.memoryMiB = 100;
        fixture.scheduler->onReport(report, fixture.now);
        CHECK(startsAfterWrite() == 0);
        CHECK(fixture.step(Milliseconds(200)).empty());
    }
    SECTION("With all the room that it had, all are")
    {
        CHECK(startsAfterWrite() == 3);
    }
}

TEST_CASE("Accepted jobs of a removed queue run under the next leader", "[scheduler]")
{
    // Guards against jobs that never run again because the next leader knows no service for them.
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    REQUIRE(fixture.step().size() == 1);
    JobProgress stored = fixture.scheduler->find("job")->progress();
    stored.tasks.clear();

    ++fixture.epoch;
    fixture.view->queues.erase("quick");
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.scheduler->restore(SchedulerFixture::quickJob("job"), stored, fixture.now, fixture.now);
    fixture.reportAll();
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);

    SECTION("With the attempts that their queue allows")
    {
        fixture.end(starts[0], RunEnd::Failed, 1);
        CHECK(fixture.step(Milliseconds(500)).size() == 1);
    }
}

TEST_CASE("Ends of one incarnation of an upstream acknowledge none of the next", "[scheduler]")
{
    // Guards against running finished tasks again: each incarnation numbers its ends from 1, and an agent drops ends
    // that are acknowledged, even if the leader has not seen them.
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.end(starts[0], RunEnd::Done, 12);
    fixture.step();
    REQUIRE(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 12);

    HostReport next = fixture.reportOf(starts[0].host);
    next.upstream->identity.incarnation = 2;
    SECTION("Before the new incarnation has confirmed its lists under this leader")
    {
        next.fencedEpoch = 0;
        fixture.scheduler->onReport(next, fixture.now);
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, next.upstream->identity) == 0);
    }
    SECTION("And afterwards")
    {
        fixture.scheduler->onReport(next, fixture.now);
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, next.upstream->identity) == 0);
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 0);
    }
}

TEST_CASE("The success of an abandoned run counts", "[scheduler]")
{
    // Guards against running a task again after its end was acknowledged.
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    HostReport silent = fixture.reportOf(starts[0].host);
    silent.silence = Milliseconds(5000);
    silent.leaseLeft = Milliseconds(-1);
    fixture.scheduler->onReport(silent, fixture.now);
    REQUIRE(fixture.scheduler->find("job")->isIdle());

    SECTION("When the task has not started again, it is not started any more")
    {
        fixture.end(starts[0], RunEnd::Done, 1);
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 0);
        CHECK(fixture.step().empty());
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 1);
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Completed);
    }
    SECTION("When it has started again, the other run is stopped")
    {
        fixture.advance(Milliseconds(50));
        const auto again = fixture.step();
        REQUIRE(again.size() == 1);
        fixture.end(starts[0], RunEnd::Done, 1);
        fixture.scheduler->onStartOutcome(again[0].host, again[0].run, StartOutcome::Started, fixture.now);
        fixture.step(Milliseconds(50));
        const auto stops = fixture.stops();
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].run == again[0].run);
    }
    SECTION("A failure is not counted, and is acknowledged only when the state of the job is in the store")
    {
        fixture.end(starts[0], RunEnd::Failed, 1);
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 0);
        CHECK(fixture.step().size() == 1);
        CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 1);
        CHECK(fixture.scheduler->find("job")->findTask(starts[0].run.task)->failures == 0);
    }
}

TEST_CASE("The runs of an upstream that is replaced start again once they cannot run there", "[scheduler][replaced]")
{
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    const StartOrder &start = starts.front();
    HostReport next = fixture.reportOf(start.host);
    next.upstream->identity.incarnation = 2;
    const auto expectRestart = [&] {
        CHECK(fixture.stops().empty());
        const auto again = fixture.step();
        REQUIRE(again.size() == 1);
        CHECK(again[0].run.run == 2);
    };

    SECTION("At once when it had listed the run, which was ordered once")
    {
        // Guards against tasks that wait indefinitely for the end of a run in a process that has exited.
        fixture.reportAll(starts);
        next.fencedEpoch = 0;
        fixture.scheduler->onReport(next, fixture.now);
        expectRestart();
    }
    SECTION("At once when the new incarnation has another id and refuses orders for the previous one")
    {
        next.fencedEpoch = 0;
        next.upstream->identity.id = "another";
        fixture.scheduler->onReport(next, fixture.now);
        expectRestart();
    }
    SECTION("Later when the new incarnation has the same id and may have executed the order")
    {
        // Guards against two runs of one task: an order that was sent before the new incarnation announced itself, or
        // a copy that was delayed, starts the run there.
        const auto order = GENERATE(as<std::string_view>(),
                                    "without an answer",
                                    "answered by either incarnation",
                                    "sent twice and listed",
                                    "of a previous leader, and listed",
                                    "followed by a stop without an answer");
        CAPTURE(order);
        if (order == "answered by either incarnation") {
            fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Started, fixture.now);
        } else if (order == "sent twice and listed") {
            fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Unanswered, fixture.now);
            REQUIRE(fixture.step().size() == 1);
            fixture.reportAll(starts);
        } else if (order == "of a previous leader, and listed") {
            const JobProgress stored = fixture.scheduler->find("job")->progress();
            ++fixture.epoch;
            next.fencedEpoch = fixture.epoch;
            fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
            fixture.scheduler->setOperatorView(fixture.view);
            fixture.scheduler->restore(SchedulerFixture::quickJob("job"), stored, fixture.now, fixture.now);
            fixture.reportAll(starts);
        } else if (order == "followed by a stop without an answer") {
            fixture.scheduler->cancel("job");
            fixture.step(Milliseconds(50));
            REQUIRE(fixture.stops().size() == 1);
        }
        const bool isCancelled = fixture.scheduler->find("job")->isCancelled();
        HostReport unconfirmed = next;
        unconfirmed.fencedEpoch = 0;
        fixture.scheduler->onReport(unconfirmed, fixture.now);
        CHECK(fixture.step(Milliseconds(1500)).empty());
        CHECK(fixture.stops().empty());
        std::erase(fixture.hostNames, start.host);
        fixture.reportAll();

        SECTION("The run goes on when the new incarnation lists it")
        {
            next.running.push_back({.run = start.run, .percent = 50});
            fixture.scheduler->onReport(next, fixture.now);
            CHECK(fixture.step(Milliseconds(50)).empty());
            CHECK(fixture.stops().size() == (isCancelled ? 1 : 0));
            CHECK_FALSE(fixture.scheduler->find("job")->isIdle());
        }
        SECTION("It counts when it has ended there")
        {
            next.ended.push_back({.number = 1, .run = start.run, .end = RunEnd::Done});
            fixture.scheduler->onReport(next, fixture.now);
            CHECK(fixture.step().empty());
            CHECK(fixture.stops().empty());
            const JobPhase phase = fixture.scheduler->find("job")->phase();
            CHECK(phase == (isCancelled ? JobPhase::Cancelled : JobPhase::Completed));
        }
        SECTION("The new incarnation has to refuse it when it does not list it")
        {
            SECTION("And has not been replaced")
            {
            }
            SECTION("Or has itself been replaced meanwhile")
            {
                next.upstream->identity.incarnation = 3;
            }
            fixture.scheduler->onReport(next, fixture.now);
            CHECK(fixture.step(Milliseconds(50)).empty());
            const auto stops = fixture.stops();
            REQUIRE(stops.size() == 1);
            CHECK(stops[0].run == start.run);
            CHECK(stops[0].upstream == next.upstream->identity);
            fixture.scheduler->onStopOutcome(start.host, start.run, StopOutcome::Absent, fixture.now);
            const auto again = fixture.step();
            REQUIRE(again.size() == (isCancelled ? 0 : 1));
            CHECK((isCancelled || again[0].run.run == 2));
        }
        SECTION("Or its leases have to expire when it does not answer")
        {
            // Guards against tasks that are never started again because of an upstream that hangs after its start, and
            // against two runs of one task: an agent that has restarted knows nothing of the calls before its start.
            unconfirmed.silence = Milliseconds(4000);
            unconfirmed.leaseLeft = Milliseconds(-1);
            fixture.advance(Milliseconds(4000));
            fixture.scheduler->onReport(unconfirmed, fixture.now);
            fixture.reportAll();
            CHECK(fixture.step().empty());
            unconfirmed.silence = Milliseconds(7000);
            fixture.advance(Milliseconds(3000));
            fixture.scheduler->onReport(unconfirmed, fixture.now);
            fixture.reportAll();
            CHECK(fixture.step().size() == (isCancelled ? 0 : 1));
        }
    }
}

TEST_CASE("After a restart under its id a silent upstream keeps its tasks until its longest lease has expired",
          "[scheduler][replaced]")
{
    // Guards against TWICE: calls for the former incarnation give the new one a longer lease than agents ask for, and
    // its tasks were started elsewhere while they ran.
    SchedulerFixture fixture;
    const LeaseTimes times = LeaseTimes::within(Milliseconds(10000));
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch, .leaseTimes = times});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.reportAll();
    HostReport report = fixture.reportOf("host-1");
    const auto elsewhereAt = [&](TimePoint from) {
        std::erase(fixture.hostNames, "host-1");
        fixture.now = from;
        while (fixture.step().empty()) {
            fixture.advance(Milliseconds(10));
            fixture.reportAll();
        }
        return fixture.now;
    };
    fixture.hostNames = {"host-1"};
    const TimePoint restartedAt = fixture.now;
    // The clocks of upstreams may be 2% slow.
    const auto lapsesBy = restartedAt + std::chrono::ceil<Milliseconds>(times.longestGranted * 1.02);
    const auto startThere = [&] {
        fixture.advance(Milliseconds(1200));
        fixture.scheduler->onReport(report, fixture.now);
        fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
        const auto starts = fixture.step();
        REQUIRE(starts.size() == 1);
        REQUIRE(starts[0].host == "host-1");
        report.running.push_back({.run = starts[0].run, .percent = 5});
        fixture.scheduler->onReport(report, fixture.now);
        fixture.hostNames = {"host-1", "host-2"};
    };

    SECTION("As the restart shows that the leader sees")
    {
        report.upstream->identity.incarnation = 2;
        fixture.scheduler->onReport(report, fixture.now);
        startThere();
        CHECK(elsewhereAt(fixture.now) > lapsesBy);
    }
    SECTION("As the agent reports of a restart that this leader has not seen")
    {
        report.formerLeaseLeft = std::chrono::duration_cast<Milliseconds>(times.untilFreeAfterRestart());
        fixture.scheduler->onReport(report, fixture.now);
        report.formerLeaseLeft = Milliseconds(0);
        startThere();

        SECTION("When the host is silent")
        {
            CHECK(elsewhereAt(fixture.now) > lapsesBy);
        }
        SECTION("When its agent has restarted since and counts shorter leases")
        {
            report.agentIncarnation = 2;
            report.silence = Milliseconds(7000);
            report.leaseLeft = Milliseconds(-1);
            fixture.advance(Milliseconds(7000));
            fixture.scheduler->onReport(report, fixture.now);
            CHECK(elsewhereAt(fixture.now) > lapsesBy);
        }
    }
    SECTION("As the store says to the next leader")
    {
        report.upstream->identity.incarnation = 2;
        fixture.scheduler->onReport(report, fixture.now);
        REQUIRE(fixture.scheduler->takeRestartedHosts() == std::vector<std::string>{"host-1"});
        const auto stored = fixture.scheduler->formerLeasesExpireBy("host-1");
        REQUIRE(stored);
        startThere();
        const JobProgress progress = fixture.scheduler->find("job")->progress();
        const TimePoint lastWrite = fixture.now;
        fixture.scheduler = std::make_unique<Scheduler>(
            Scheduler::Options{.epoch = ++fixture.epoch, .leaseTimes = times});
        fixture.scheduler->setOperatorView(fixture.view);
        fixture.scheduler->expectHost(
            "host-1",
            {.now = fixture.now, .leasesExpireBy = lastWrite + times.untilFreeAfterWrite(), .formerExpireBy = *stored});
        fixture.scheduler->restore(SchedulerFixture::quickJob("job"), progress, fixture.now, fixture.now);
        CHECK(elsewhereAt(fixture.now) > lapsesBy);
    }
}

TEST_CASE("A restart under its id delays nothing on an upstream that answers or is lost later", "[scheduler][replaced]")
{
    // Guards against LOST: callers expect the long-running tasks of a lost host elsewhere within nine seconds.
    SchedulerFixture fixture;
    const LeaseTimes times = LeaseTimes::within(Milliseconds(10000));
    fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch, .leaseTimes = times});
    fixture.scheduler->setOperatorView(fixture.view);
    HostReport report = fixture.reportOf("host-1");
    fixture.scheduler->onReport(report, fixture.now);
    report.upstream->identity.incarnation = 2;
    fixture.scheduler->onReport(report, fixture.now);
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.hostNames = {"host-2"};

    SECTION("The end of a run that it lists starts the task again at once")
    {
        fixture.reportAll();
        report.ended.push_back({.number = 1, .run = starts[0].run, .end = RunEnd::Failed});
        fixture.scheduler->onReport(report, fixture.now);
        CHECK(fixture.step().size() == 1);
    }
    SECTION("Three seconds later the times of any lost host apply")
    {
        fixture.advance(Milliseconds(3000));
        report.running.push_back({.run = starts[0].run, .percent = 5});
        fixture.scheduler->onReport(report, fixture.now);
        fixture.advance(Milliseconds(8500));
        fixture.reportAll();
        CHECK(fixture.step().size() == 1);
    }
}

TEST_CASE("A late announcement of an earlier incarnation releases no run", "[scheduler][replaced]")
{
    // Guards against two runs of one task: an agent that has just started cannot tell that the announcement is late.
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.reportAll(starts);
    HostReport late = fixture.reportOf(starts[0].host);
    late.agentIncarnation = 2;
    late.fencedEpoch = 0;
    late.upstream->identity.incarnation = 0;
    fixture.scheduler->onReport(late, fixture.now);
    CHECK(fixture.step().empty());

    HostReport current = fixture.reportOf(starts[0].host);
    current.agentIncarnation = 2;
    current.running.push_back({.run = starts[0].run, .percent = 60});
    fixture.scheduler->onReport(current, fixture.now);
    CHECK(fixture.step(Milliseconds(50)).empty());
    CHECK(fixture.stops().empty());
    CHECK_FALSE(fixture.scheduler->find("job")->isIdle());
}

TEST_CASE("A long-running task is started again however its runs end", "[scheduler][longrunning]")
{
    // Guards against tasks that stay away until their job is cancelled because a run of theirs has ended done.
    SchedulerFixture fixture;
    JobSpec spec = SchedulerFixture::quickJob("job", 2);
    spec.steps.front().longRunning = true;
    const RunEnd how = GENERATE(RunEnd::Done, RunEnd::Failed);
    CAPTURE(endName(how));
    std::uint64_t number = 0;
    const auto submitAndStart = [&] {
        fixture.scheduler->submit(spec, fixture.now);
        auto starts = fixture.step();
        REQUIRE(starts.size() == 2);
        for (const StartOrder &start : starts) {
            fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Started, fixture.now);
        }
        return starts;
    };
    const auto workFor60Seconds = [&](const std::vector<StartOrder> &running) {
        fixture.advance(Seconds(60));
        fixture.reportAll(running);
        CHECK(fixture.step().empty());
    };
    const auto restoreUnderNextLeader = [&](const JobProgress &stored) {
        ++fixture.epoch;
        fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
        fixture.scheduler->setOperatorView(fixture.view);
        fixture.scheduler->restore(spec, stored, fixture.now, fixture.now);
        fixture.reportAll();
    };

    SECTION("At once after a run that has worked for a while")
    {
        const auto starts = submitAndStart();
        workFor60Seconds(starts);
        for (const StartOrder &start : starts) {
            fixture.end(start, how, ++number);
        }
        fixture.reportAll();
        const auto again = fixture.step();
        REQUIRE(again.size() == 2);
        CHECK(again[0].run.run == 2);
        CHECK(again[0].checkpoint.empty());
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Running);

        SECTION("And under the next leader")
        {
            restoreUnderNextLeader(fixture.scheduler->find("job")->progress());
            CHECK(fixture.step().size() == 2);
            CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Running);
        }
        SECTION("Until the job is cancelled")
        {
            for (const StartOrder &start : again) {
                fixture.end(start, how, ++number);
            }
            fixture.scheduler->cancel("job");
            CHECK(fixture.step(Seconds(5)).empty());
            CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Cancelled);
        }
    }
    SECTION("From its beginning when it was done, else from its checkpoint")
    {
        const auto starts = submitAndStart();
        workFor60Seconds(starts);
        HostReport report = fixture.reportOf(starts[0].host);
        report.ended.push_back({.number = 1, .run = starts[0].run, .end = how, .checkpoint = "half"});
        fixture.scheduler->onReport(report, fixture.now);
        fixture.reportAll();
        const auto again = fixture.step();
        REQUIRE(again.size() == 1);
        CHECK(again[0].checkpoint == (how == RunEnd::Done ? "" : "half"));
    }
    SECTION("When its end is listed after the run was given up")
    {
        const auto starts = submitAndStart();
        HostReport silent = fixture.reportOf(starts[0].host);
        silent.silence = Milliseconds(5000);
        silent.leaseLeft = Milliseconds(-1);
        fixture.scheduler->onReport(silent, fixture.now);
        fixture.end(starts[0], how, 1);
        const auto again = fixture.step();
        CHECK(again.size() == 1);
        CHECK(fixture.step(Milliseconds(50)).empty());
        CHECK(fixture.stops().empty());
    }
    SECTION("When an earlier build has stored it as finished")
    {
        JobProgress stored{.started = true};
        for (const std::uint32_t index : {0U, 1U}) {
            stored.tasks.push_back({.id = {.job = "job", .index = index}, .lastRun = 3, .succeeded = true});
        }
        restoreUnderNextLeader(stored);
        const auto starts = fixture.step();
        REQUIRE(starts.size() == 2);
        CHECK(starts[0].run.run == 4);
        CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Running);
    }
    SECTION("Together with the other members of its gang")
    {
        spec.steps.front().gang = true;
        const auto starts = submitAndStart();
        workFor60Seconds(starts);
        fixture.end(starts[0], how, 1);
        CHECK(fixture.step().empty());
        fixture.end(starts[1], how == RunEnd::Done ? RunEnd::Done : RunEnd::MemberEnded, 2);
        const auto again = fixture.step();
        REQUIRE(again.size() == 2);
        CHECK(again[0].run.run == 2);
        CHECK(again[1].run.run == 2);
    }
    SECTION("And later and later when it ends soon after each start")
    {
        // Guards against a task that takes the leader's time and the store's writes by ending at once.
        auto starts = submitAndStart();
        std::size_t restarts = 0;
        Milliseconds longest{0};
        Milliseconds away{0};
        for (Milliseconds elapsed{0}; elapsed < Seconds(60); elapsed += Milliseconds(50)) {
            for (const StartOrder &start : starts) {
                fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Started, fixture.now);
                fixture.end(start, how, ++number);
            }
            fixture.reportAll();
            starts = fixture.step(Milliseconds(50));
            restarts += starts.size();
            away = starts.empty() ? away + Milliseconds(50) : Milliseconds(0);
            longest = std::max(longest, away);
        }
        // The deployments allow nine seconds without a run.
        CHECK(longest <= Seconds(4));
        CHECK(restarts >= 30);
        CHECK(restarts <= 60);

        SECTION("Until a run lasts")
        {
            for (int round = 0; round < 100 && starts.empty(); ++round) {
                fixture.reportAll();
                starts = fixture.step(Milliseconds(50));
            }
            REQUIRE_FALSE(starts.empty());
            fixture.advance(Seconds(10));
            fixture.end(starts[0], how, ++number);
            fixture.reportAll();
            CHECK_FALSE(fixture.step().empty());
        }
    }
}

TEST_CASE("Steps that wait for long-running tasks start when each of those has been done once",
          "[scheduler][longrunning]")
{
    SchedulerFixture fixture;
    JobSpec spec = SchedulerFixture::quickJob("job", 2);
    spec.steps.front().longRunning = true;
    spec.steps.push_back(SchedulerFixture::quickJob("job").steps.front());
    spec.steps.back().after = {0};
    fixture.scheduler->submit(spec, fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 2);
    fixture.advance(Seconds(60));
    fixture.reportAll(starts);
    fixture.end(starts[0], RunEnd::Done, 1);
    for (const StartOrder &start : fixture.step()) {
        CHECK(start.run.task.step == 0);
    }
    fixture.end(starts[1], RunEnd::Done, 2);
    fixture.reportAll();
    const auto next = fixture.step();
    const auto dependent = std::ranges::find(next, 1U, [](const StartOrder &start) { return start.run.task.step; });
    REQUIRE(dependent != next.end());

    // Guards against a job that is shown as completed while its tasks are started again.
    fixture.end(*dependent, RunEnd::Done, 3);
    CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Running);
}

TEST_CASE("A task that fails too often fails its job", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 2), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 2);
    fixture.end(starts[0], RunEnd::Failed, 1);
    const auto second = fixture.step();
    REQUIRE(second.size() == 1);
    // Guards against using up all attempts of a task on one faulty upstream.
    CHECK(second[0].host != starts[0].host);
    fixture.end(second[0], RunEnd::Failed, 9);
    CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Failed);
    fixture.scheduler->onStartOutcome(starts[1].host, starts[1].run, StartOutcome::Started, fixture.now);
    CHECK(fixture.step().empty());
    // Guards against tasks that keep running although their job is over.
    const auto stops = fixture.stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == starts[1].run);
}

TEST_CASE("Cancelled jobs start nothing and stop what runs", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 1), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    REQUIRE(fixture.scheduler->cancel("job"));
    CHECK_FALSE(fixture.scheduler->cancel("unknown"));
    CHECK(fixture.step().empty());
    CHECK(fixture.stops().size() == 1);
    fixture.end(starts[0], RunEnd::Stopped, 1);
    CHECK(fixture.step().empty());
    CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Cancelled);
    CHECK(fixture.scheduler->find("job")->isIdle());
}

TEST_CASE("A host is never overcommitted", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 20), fixture.now);
    const auto starts = fixture.step();
    CHECK(starts.size() == 12);

    SECTION("Runs that are being stopped still count")
    {
        fixture.scheduler->cancel("job");
        fixture.scheduler->submit(SchedulerFixture::quickJob("next"), fixture.now);
        CHECK(fixture.step().empty());
        fixture.end(starts[0], RunEnd::Stopped, 1);
        CHECK(fixture.step().size() == 1);
    }
}

TEST_CASE("Fillers use only what other tasks leave idle", "[scheduler]")
{
    SchedulerFixture fixture;
    JobSpec filler = SchedulerFixture::quickJob("filler", 20);
    filler.queue = "batch";
    filler.steps[0].fillsLeftover = true;
    fixture.scheduler->submit(filler, fixture.now);
    CHECK(fixture.step().size() == 12);
    // Guards against batch work that prevents other tasks from starting.
    fixture.scheduler->submit(SchedulerFixture::quickJob("quick", 2), fixture.now);
    CHECK(fixture.step().size() == 2);
}

TEST_CASE("A stalled run is stopped unless pacing limits it", "[scheduler]")
{
    SchedulerFixture fixture;
    JobSpec filler = SchedulerFixture::quickJob("filler", 1);
    filler.steps[0].fillsLeftover = true;
    fixture.scheduler->submit(filler, fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    const auto reportFor = [&](std::uint32_t share, Milliseconds time) {
        for (Milliseconds passed{0}; passed < time; passed += Milliseconds(400)) {
            fixture.advance(Milliseconds(400));
            HostReport report = fixture.reportOf(starts[0].host);
            report.running.push_back({.run = starts[0].run, .percent = 30, .share = share});
            fixture.scheduler->onReport(report, fixture.now);
            fixture.step();
        }
    };
    // Guards against discarding the work of fillers that are paced to protect services.
    reportFor(0, Milliseconds(6000));
    CHECK(fixture.stops().empty());
    // Guards against tasks that make no progress indefinitely on a faulty upstream.
    reportFor(100, Milliseconds(3000));
    CHECK_FALSE(fixture.stops().empty());
}

TEST_CASE("A starving filler is started beside a service that it slows down", "[scheduler]")
{
    SchedulerFixture fixture;
    JobSpec service = SchedulerFixture::quickJob("service", 3);
    service.steps[0].longRunning = true;
    service.steps[0].maxPerUpstream = 1;
    service.steps[0].image = "web";
    service.steps[0].tailTarget = Milliseconds(100);
    fixture.scheduler->submit(service, fixture.now);
    const auto services = fixture.step();
    REQUIRE(services.size() == 3);
    const auto report = [&] {
        for (const StartOrder &start : services) {
            HostReport host = fixture.reportOf(start.host);
            host.running.push_back({.run = start.run, .percent = 100, .load = 60});
            fixture.scheduler->onReport(host, fixture.now);
        }
    };
    report();
    JobSpec filler = SchedulerFixture::quickJob("filler", 2);
    filler.steps[0].fillsLeftover = true;
    filler.steps[0].image = "batch";
    filler.steps[0].request.cpuMillis = 2000;
    fixture.scheduler->submit(filler, fixture.now);
    // The services have too little headroom for a filler whose effect is unknown.
    CHECK(fixture.step().empty());
    fixture.advance(Milliseconds(1000));
    report();
    CHECK(fixture.step().empty());
    // Guards against accepted jobs that are never started although the hosts are mostly free.
    fixture.advance(Milliseconds(1100));
    report();
    CHECK(fixture.step().size() == 1);
}

TEST_CASE("A report that arrives after one on a newer incarnation of the upstream is ignored", "[scheduler]")
{
    SchedulerFixture fixture;
    HostReport former = fixture.reportOf("host-1");
    HostReport newer = former;
    newer.upstream->identity.incarnation = former.upstream->identity.incarnation + 1;
    fixture.scheduler->onReport(newer, fixture.now);
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 12), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 12);
    const auto start = std::ranges::find(starts, "host-1", &StartOrder::host);
    REQUIRE(start != starts.end());
    fixture.scheduler->onReport(former, fixture.now);
    newer.ended = {{.number = 1, .run = start->run, .end = RunEnd::Done, .checkpoint = {}}};
    fixture.scheduler->onReport(newer, fixture.now);
    // Guards against acknowledging the end of a run that was abandoned by mistake, after which the task would run
    // again.
    CHECK(fixture.scheduler->find("job")->findTask(start->run.task)->done);
}

TEST_CASE("A host on which runs keep failing gets no tasks until its probation", "[scheduler]")
{
    SchedulerFixture fixture;
    std::uint64_t ends = 0;
    for (const std::string id : {"first", "second", "third"}) {
        fixture.scheduler->submit(SchedulerFixture::quickJob(id, 12), fixture.now);
        const auto starts = fixture.step();
        REQUIRE(starts.size() == 12);
        const auto failing = std::ranges::find(starts, "host-1", &StartOrder::host);
        fixture.end(*failing, RunEnd::Failed, ++ends);
        fixture.scheduler->cancel(id);
        for (const StartOrder &start : starts) {
            fixture.end(start, RunEnd::Stopped, ++ends);
        }
        fixture.step();
        fixture.stops();
    }
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 12), fixture.now);
    const auto starts = fixture.step();
    // Guards against using up attempts on a faulty host because the others are full.
    CHECK(starts.size() == 8);
    CHECK(std::ranges::find(starts, "host-1", &StartOrder::host) == starts.end());

    SECTION("Then it gets one task, and further ones when that one has succeeded")
    {
        fixture.advance(Milliseconds(4100));
        fixture.reportAll(starts);
        const auto trial = fixture.step();
        REQUIRE(trial.size() == 1);
        CHECK(trial.front().host == "host-1");
        fixture.end(trial.front(), RunEnd::Done, ++ends);
        CHECK(fixture.step().size() == 3);
    }
}

TEST_CASE("A run of a gang counts as one attempt, however many of its members fail", "[scheduler][gang]")
{
    // Guards against LOST: one faulty upstream with several members of a gang fails the job in a single run.
    SchedulerFixture fixture;
    JobSpec gang = SchedulerFixture::quickJob("gang", 4);
    gang.steps[0].gang = true;
    fixture.scheduler->submit(gang, fixture.now);
    std::uint64_t number = 0;
    const auto failAll = [&](const std::vector<StartOrder> &starts) {
        REQUIRE(starts.size() == 4);
        fixture.end(starts[0], RunEnd::Failed, ++number);
        fixture.end(starts[1], RunEnd::Failed, ++number);
        fixture.end(starts[2], RunEnd::MemberEnded, ++number);
        fixture.end(starts[3], RunEnd::Failed, ++number);
    };
    const auto phase = [&] { return fixture.scheduler->find("gang")->phase(); };
    failAll(fixture.step());
    CHECK(phase() == JobPhase::Running);
    SECTION("The last allowed run fails the job")
    {
        failAll(fixture.step());
        CHECK(phase() == JobPhase::Failed);
    }
    SECTION("A run that succeeds completes it")
    {
        for (const StartOrder &start : fixture.step()) {
            fixture.end(start, RunEnd::Done, ++number);
        }
        CHECK(phase() == JobPhase::Completed);
    }
}

TEST_CASE("A late announcement at a restarted agent does not end the runs of its upstream", "[scheduler][replaced]")
{
    // Guards against TWICE: an agent that has just started takes a late announcement of an earlier incarnation for the
    // current one, and the leader gives up the runs that the later incarnation still executes.
    SchedulerFixture fixture;
    std::string host;
    const auto reportOf = [&](std::int64_t incarnation, std::uint64_t agent) {
        HostReport report = fixture.reportOf(host);
        report.upstream->identity.incarnation = incarnation;
        report.agentIncarnation = agent;
        return report;
    };
    for (const std::string &name : fixture.hostNames) {
        host = name;
        fixture.scheduler->onReport(reportOf(20, 1), fixture.now);
    }
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    host = starts[0].host;
    fixture.scheduler->onStartOutcome(host, starts[0].run, StartOutcome::Started, fixture.now);
    HostReport current = reportOf(20, 1);
    current.running.push_back({.run = starts[0].run});
    fixture.scheduler->onReport(current, fixture.now);

    const bool hasFormerId = GENERATE(false, true);
    CAPTURE(hasFormerId);
    HostReport late = reportOf(10, 2);
    if (hasFormerId) {
        late.upstream->identity.id = "former-id";
    }
    fixture.scheduler->onReport(late, fixture.now);
    CHECK(fixture.step(Milliseconds(50)).empty());
    CHECK(fixture.stops().empty());
    SECTION("Its next report on the current incarnation continues them")
    {
        current.agentIncarnation = 2;
        fixture.scheduler->onReport(current, fixture.now);
        CHECK(fixture.step(Milliseconds(50)).empty());
        CHECK(fixture.stops().empty());
        CHECK_FALSE(fixture.scheduler->find("job")->isIdle());
    }
    SECTION("An upstream whose clock is behind has replaced it when all leases of the former one have ended")
    {
        // Guards against a host that is left out for as long as the leader leads.
        CHECK(fixture.step(Seconds(30)).empty());
        fixture.scheduler->onReport(late, fixture.now);
        CHECK(fixture.step(Milliseconds(50)).size() == 1);
        REQUIRE(fixture.scheduler->hosts().size() == 3);
        for (const Host *known : fixture.scheduler->hosts()) {
            CHECK((known->name() != host || known->upstream()->identity == late.upstream->identity));
        }
    }
}

TEST_CASE("The members of a gang start together or not at all", "[scheduler]")
{
    SchedulerFixture fixture;
    JobSpec gang = SchedulerFixture::quickJob("gang", 13);
    gang.steps[0].gang = true;
    fixture.scheduler->submit(gang, fixture.now);
    CHECK(fixture.step().empty());
    gang = SchedulerFixture::quickJob("small", 12);
    gang.steps[0].gang = true;
    fixture.scheduler->submit(gang, fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 12);
    CHECK(std::ranges::all_of(starts, [&](const StartOrder &start) { return start.run.run == starts[0].run.run; }));
    fixture.end(starts[0], RunEnd::Done, 1);
    CHECK(fixture.scheduler->find("small")->phase() == JobPhase::Completed);
}

TEST_CASE("A run whose end is of an unknown kind is stopped before its task starts again", "[scheduler]")
{
    // Guards against a second run of a task on the word of an entry that is not understood (TWICE).
    SchedulerFixture fixture;
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.reportAll(starts);
    fixture.end(starts[0], RunEnd::Unknown, 1);
    CHECK(fixture.step(Milliseconds(10)).empty());

    const auto stops = fixture.stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == starts[0].run);
    CHECK(fixture.scheduler->acknowledgedEnd(starts[0].host, starts[0].upstream) == 1);

    SECTION("And starts again when the run is known to be gone")
    {
        fixture.scheduler->onStopOutcome(starts[0].host, starts[0].run, StopOutcome::Absent, fixture.now);
        const auto again = fixture.step(Milliseconds(10));
        REQUIRE(again.size() == 1);
        CHECK(again[0].run.run == 2);
    }
}

} // namespace Carobflow::Scheduling
