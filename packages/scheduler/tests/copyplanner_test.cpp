#include "carobflow/scheduler/copyplanner.h"
#include "loadsimulator.h"
#include "schedulerfixture.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

/// A quick job of five speculative tasks, one of which is seven times as slow as the others.
class CopyFixture : public SchedulerFixture
{
public:
    explicit CopyFixture(bool enabled = true)
    {
        hostNames.emplace_back("host-4");
        scheduler = makeScheduler(epoch, enabled);
        reportAll();
    }

    std::unique_ptr<Scheduler> makeScheduler(Epoch ofEpoch, bool enabled = true)
    {
        auto made = std::make_unique<Scheduler>(Scheduler::Options{
            .epoch = ofEpoch, .features = {.copies = enabled}, .onCopy = [this](const CopyChange &change) {
                copyEvents.emplace_back(change.event);
            }});
        made->setOperatorView(view);
        return made;
    }

    static JobSpec job(const std::string &id = "job")
    {
        JobSpec spec = quickJob(id, 5);
        spec.steps.front().request.cpuMillis = 300;
        spec.steps.front().speculative = true;
        return spec;
    }

    /// Reports every host with these runs.
    void list(const std::vector<StartOrder> &running, std::uint32_t percent)
    {
        for (const std::string &name : hostNames) {
            HostReport report = reportOf(name);
            for (const StartOrder &start : running) {
                if (start.host == name) {
                    report.running.push_back({.run = start.run, .percent = percent, .listedFor = Milliseconds(400)});
                }
            }
            scheduler->onReport(report, now);
        }
    }

    void finish(const StartOrder &start, RunEnd how)
    {
        end(start, how, ++m_ends[start.host]);
    }

    /// Runs the job until all tasks but the first have ended. The first has done 14% in a second.
    StartOrder runUntilOneIsLeft(JobSpec spec = job())
    {
        scheduler->submit(std::move(spec), now);
        const std::vector<StartOrder> starts = step();
        REQUIRE(starts.size() == 5);
        advance(Milliseconds(1000));
        list({starts.front()}, 14);
        for (const StartOrder &start : std::span(starts).subspan(1)) {
            finish(start, RunEnd::Done);
        }
        return starts.front();
    }

    [[nodiscard]] const Task &task() const
    {
        return *scheduler->find("job")->findTask({.job = "job"});
    }

    std::vector<std::string> copyEvents;

private:
    std::map<std::string, std::uint64_t> m_ends;
};

CopyPlanner::Sibling runningTask(Milliseconds elapsed, std::uint32_t percent)
{
    return {.elapsed = elapsed,
            .progressedAfter = percent > 0 ? elapsed : Milliseconds(0),
            .percent = percent,
            .mayBeCopied = true,
            .running = true};
}

CopyPlanner::Sibling finishedTask(Milliseconds took)
{
    return {.done = true, .took = took};
}

/// The processor time of a deployment's quick jobs, of which the simulated tasks reserve twice as much.
LoadSimulator::Options quickLoad(bool copies, double speculativeJobs, double workSpread = 0.1, std::uint64_t seed = 1)
{
    return {.hosts = 50,
            .hostCpuMillis = 18600,
            .quickPerSecond = 5.9,
            .quickWidth = 10,
            .batchPerSecond = 0.2,
            .workSpread = workSpread,
            .longTasks = 0.03,
            .speculativeJobs = speculativeJobs,
            .services = 17,
            .serviceWidth = 14,
            .serviceCpuMillis = 3200,
            .seed = seed,
            .features = {.copies = copies}};
}

} // namespace

TEST_CASE("A task is slow when its progress is, compared with its siblings", "[copies]")
{
    const CopyPlanner planner({});
    std::vector<CopyPlanner::Sibling> step(3, finishedTask(Milliseconds(1000)));

    SECTION("It is slow when it needs more than two more runs would")
    {
        step.push_back(runningTask(Milliseconds(1200), 17));
        const auto slow = planner.slowTasks(step);
        REQUIRE(slow.size() == 1);
        CHECK(slow.front().remaining > Milliseconds(2300));
        CHECK(slow.front().gain > Milliseconds(1000));

        SECTION("A host that is five times as slow shows a little later")
        {
            step.back() = runningTask(Milliseconds(2000), 35);
            CHECK(planner.slowTasks(step).size() == 1);
        }
        SECTION("It gets no copy where none is allowed")
        {
            step.back().mayBeCopied = false;
            CHECK(planner.slowTasks(step).empty());
        }
    }
    SECTION("Elapsed time alone tells nothing")
    {
        // Guards against copies that end after the task which they are to replace.
        step.push_back(runningTask(Milliseconds(5000), 85));
        step.push_back(runningTask(Milliseconds(200), 1));
        CHECK(planner.slowTasks(step).empty());
    }
    SECTION("The lag of measurements makes no task slow")
    {
        step.push_back(runningTask(Milliseconds(800), 30));
        step.push_back(runningTask(Milliseconds(1200), 0));
        CHECK(planner.slowTasks(step).empty());
    }
    SECTION("No progress for long is slow, a late report is not")
    {
        step.push_back(runningTask(Milliseconds(2000), 0));
        CHECK(planner.slowTasks(step).size() == 1);
        step.back() = runningTask(Milliseconds(4000), 50);
        step.back().progressedAfter = Milliseconds(2000);
        CHECK(planner.slowTasks(step).size() == 1);
        step.back() = runningTask(Milliseconds(2200), 50);
        step.back().progressedAfter = Milliseconds(1000);
        CHECK(planner.slowTasks(step).empty());
    }
    SECTION("A step whose estimate is wrong has no slow task")
    {
        step.assign(5, runningTask(Milliseconds(4000), 40));
        CHECK(planner.expectedTime(step) == Milliseconds(10000));
        CHECK(planner.slowTasks(step).empty());
    }
    SECTION("Predictions of running siblings count while few have finished, and nothing is expected from two")
    {
        step.assign(1, finishedTask(Milliseconds(1000)));
        step.push_back(runningTask(Milliseconds(800), 80));
        CHECK_FALSE(planner.expectedTime(step));
        step.push_back(runningTask(Milliseconds(1000), 14));
        CHECK(planner.expectedTime(step) == Milliseconds(1000));
        CHECK(planner.slowTasks(step).size() == 1);
    }
}

TEST_CASE("A slow task of a speculative step runs twice, and its first end counts", "[copies]")
{
    CopyFixture fixture;
    const StartOrder first = fixture.runUntilOneIsLeft();
    const auto copies = fixture.step();
    REQUIRE(copies.size() == 1);
    const StartOrder &copy = copies.front();
    const Job &job = *fixture.scheduler->find("job");
    CHECK(copy.host != first.host);
    CHECK(copy.run.task == first.run.task);
    CHECK(copy.run.run == 2);
    CHECK(fixture.copyEvents == std::vector<std::string>{"started"});

    SECTION("There is one copy for each task")
    {
        fixture.advance(Milliseconds(400));
        fixture.list({first, copy}, 15);
        CHECK(fixture.step().empty());
        fixture.finish(copy, RunEnd::Stopped);
        CHECK(fixture.step(Milliseconds(400)).empty());
        CHECK(fixture.copyEvents.back() == "no-result");
    }
    SECTION("Whichever ends first, the other is stopped and counts no more")
    {
        const bool copyWins = GENERATE(true, false);
        fixture.finish(copyWins ? copy : first, RunEnd::Done);
        CHECK(job.phase() == JobPhase::Completed);
        fixture.step();
        const auto stops = fixture.stops();
        REQUIRE(stops.size() == 1);
        CHECK(stops.front().run == (copyWins ? first.run : copy.run));
        CHECK(stops.front().reason == "not-needed");
        CHECK_FALSE(fixture.scheduler->forget("job"));

        const RunEnd lastEnd = GENERATE(RunEnd::Stopped, RunEnd::Failed, RunEnd::Done);
        fixture.finish(copyWins ? first : copy, lastEnd);
        CHECK(job.phase() == JobPhase::Completed);
        CHECK(fixture.task().failures == 0);
        CHECK(job.isIdle());
        CHECK(fixture.copyEvents == std::vector<std::string>{"started", copyWins ? "won" : "lost"});
        CHECK(fixture.step(Milliseconds(2000)).empty());
        CHECK(fixture.scheduler->forget("job"));
    }
    SECTION("A copy that fails leaves the first attempt its chance")
    {
        fixture.finish(copy, RunEnd::Failed);
        CHECK(job.phase() == JobPhase::Running);
        CHECK(fixture.task().failures == 1);
        CHECK(fixture.step(Milliseconds(400)).empty());
        SECTION("It succeeds")
        {
            fixture.finish(first, RunEnd::Done);
            CHECK(job.phase() == JobPhase::Completed);
        }
        SECTION("It fails too, which is the last allowed failure")
        {
            fixture.finish(first, RunEnd::Failed);
            CHECK(job.phase() == JobPhase::Failed);
        }
    }
    SECTION("A failure that reaches the limit fails the job only without another attempt")
    {
        fixture.view->queues["quick"].maxAttempts = 1;
        fixture.scheduler->setOperatorView(fixture.view);
        fixture.finish(copy, RunEnd::Failed);
        CHECK(job.phase() == JobPhase::Running);
        SECTION("The other attempt succeeds")
        {
            fixture.finish(first, RunEnd::Done);
            CHECK(job.phase() == JobPhase::Completed);
        }
        SECTION("The other attempt is lost, and no further run may start")
        {
            fixture.finish(first, RunEnd::LeaseExpired);
            CHECK(job.phase() == JobPhase::Failed);
            CHECK(fixture.step(Milliseconds(400)).empty());
        }
    }
    SECTION("The answer to its start is lost, and the first attempt ends")
    {
        // Guards against a start of the copy long after the task was done.
        fixture.scheduler->onNoReply(copy.host, copy.run, fixture.now);
        fixture.finish(first, RunEnd::Done);
        CHECK(fixture.step().empty());
        CHECK(fixture.stops().size() == 1);
        fixture.scheduler->onStartOutcome(copy.host, copy.run, StartOutcome::Started, fixture.now);
        for (int round = 0; round < 5; ++round) {
            fixture.reportAll();
            CHECK(fixture.step(Milliseconds(400)).empty());
        }
        // The stop is repeated until the upstream has answered it.
        CHECK_FALSE(fixture.stops().empty());
        fixture.scheduler->onStopOutcome(copy.host, copy.run, StopOutcome::Absent, fixture.now);
        CHECK(job.isIdle());
    }
}

TEST_CASE("A copy that is not needed any more when its decision is stored is not started", "[copies]")
{
    CopyFixture fixture;
    const StartOrder first = fixture.runUntilOneIsLeft();
    fixture.scheduler->plan(fixture.now, fixture.unixMs);
    const auto dirty = fixture.scheduler->takeDirtyJobs(10);
    REQUIRE(fixture.task().attempts.size() == 2);
    fixture.finish(first, RunEnd::Done);
    for (const std::string &id : dirty) {
        fixture.scheduler->commitJob(id, fixture.now);
    }
    CHECK(fixture.scheduler->takeStarts().empty());
    CHECK(fixture.step().empty());
    CHECK(fixture.scheduler->find("job")->isIdle());
}

TEST_CASE("A copy that is decided is not started after the last allowed failure", "[copies]")
{
    CopyFixture fixture;
    const StartOrder first = fixture.runUntilOneIsLeft();
    fixture.scheduler->plan(fixture.now, fixture.unixMs);
    const auto dirty = fixture.scheduler->takeDirtyJobs(10);
    REQUIRE(fixture.task().attempts.size() == 2);
    fixture.view->queues["quick"].maxAttempts = 1;
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.finish(first, RunEnd::Failed);
    for (const std::string &id : dirty) {
        fixture.scheduler->commitJob(id, fixture.now);
    }
    CHECK(fixture.scheduler->takeStarts().empty());
    CHECK(fixture.scheduler->find("job")->phase() == JobPhase::Failed);
}

TEST_CASE("The next leader knows both attempts", "[copies]")
{
    CopyFixture fixture;
    const StartOrder first = fixture.runUntilOneIsLeft();
    const auto copies = fixture.step();
    REQUIRE(copies.size() == 1);
    const StartOrder &copy = copies.front();
    const JobProgress stored = fixture.scheduler->find("job")->progress();
    REQUIRE(stored.tasks.front().placements.size() == 2);

    const std::unique_ptr<Scheduler> previous = std::exchange(fixture.scheduler, fixture.makeScheduler(8));
    fixture.epoch = 8;
    fixture.scheduler->restore(CopyFixture::job(), stored, fixture.now, fixture.now);
    fixture.list({first, copy}, 20);
    const Job &job = *fixture.scheduler->find("job");
    CHECK(fixture.step(Milliseconds(100)).empty());
    CHECK(fixture.task().attempts.size() == 2);

    SECTION("Both end at once, and count once under each leader")
    {
        for (Scheduler *scheduler : {previous.get(), fixture.scheduler.get()}) {
            for (const StartOrder &start : {first, copy}) {
                HostReport report = fixture.reportOf(start.host);
                report.fencedEpoch = scheduler == previous.get() ? Epoch{7} : Epoch{8};
                report.ended.push_back({.number = 10, .run = start.run, .end = RunEnd::Done});
                scheduler->onReport(report, fixture.now);
            }
            CHECK(scheduler->find("job")->phase() == JobPhase::Completed);
            CHECK(scheduler->find("job")->isIdle());
            CHECK(scheduler->find("job")->remainingWork() == 0);
        }
        CHECK(fixture.step(Milliseconds(400)).empty());
    }
    SECTION("One ends, and the new leader stops the other")
    {
        HostReport report = fixture.reportOf(copy.host);
        report.ended.push_back({.number = 10, .run = copy.run, .end = RunEnd::Done});
        fixture.scheduler->onReport(report, fixture.now);
        CHECK(job.phase() == JobPhase::Completed);
        fixture.step();
        const auto stops = fixture.stops();
        REQUIRE(stops.size() == 1);
        CHECK(stops.front().run == first.run);
    }
    SECTION("Both are lost, and the next run has a new number")
    {
        for (const StartOrder &start : {first, copy}) {
            HostReport report = fixture.reportOf(start.host);
            report.ended.push_back({.number = 10, .run = start.run, .end = RunEnd::LeaseExpired});
            fixture.scheduler->onReport(report, fixture.now);
        }
        const auto next = fixture.step();
        REQUIRE(next.size() == 1);
        CHECK(next.front().run.run == 3);
    }
}

TEST_CASE("Copies are not started where they could do harm", "[copies]")
{
    CopyFixture fixture(true);

    SECTION("The next failure would be the last allowed one")
    {
        fixture.view->queues["quick"].maxAttempts = 1;
        fixture.scheduler->setOperatorView(fixture.view);
        fixture.runUntilOneIsLeft();
        CHECK(fixture.step().empty());
    }
    SECTION("Copies are switched off")
    {
        fixture.scheduler = fixture.makeScheduler(fixture.epoch, false);
        fixture.reportAll();
        fixture.runUntilOneIsLeft();
        CHECK(fixture.step().empty());
        CHECK(fixture.scheduler->examinedSteps() == 0);
    }
    SECTION("The step does not allow them, or its tasks are not alone")
    {
        JobSpec spec = CopyFixture::job();
        StepSpec &step = spec.steps.front();
        bool StepSpec::*property = GENERATE(&StepSpec::speculative, &StepSpec::gang, &StepSpec::longRunning);
        step.*property = !(step.*property);
        fixture.scheduler->submit(spec, fixture.now);
        CHECK(fixture.step().size() == 5);
        fixture.step(Milliseconds(400));
        CHECK(fixture.scheduler->examinedSteps() == 0);
    }
    SECTION("A task waits for room")
    {
        JobSpec waiting = SchedulerFixture::quickJob("waiting");
        waiting.steps.front().request.cpuMillis = 5000;
        fixture.scheduler->submit(waiting, fixture.now);
        fixture.runUntilOneIsLeft();
        CHECK(fixture.step().empty());
        fixture.scheduler->cancel("waiting");
        CHECK(fixture.step(Milliseconds(100)).size() == 1);
    }
    SECTION("Every other host is suspect")
    {
        const StartOrder first = fixture.runUntilOneIsLeft();
        for (const std::string id : {"a", "b", "c", "d"}) {
            fixture.scheduler->submit(SchedulerFixture::quickJob(id), fixture.now);
        }
        fixture.view->queues["quick"].maxAttempts = 1;
        fixture.scheduler->setOperatorView(fixture.view);
        for (const StartOrder &start : fixture.step()) {
            if (start.host == first.host) {
                fixture.finish(start, RunEnd::Stopped);
            } else {
                fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Unhealthy, fixture.now);
            }
            fixture.scheduler->cancel(start.run.task.job);
        }
        fixture.view->queues["quick"].maxAttempts = 2;
        fixture.scheduler->setOperatorView(fixture.view);
        const auto hosts = fixture.scheduler->hosts();
        REQUIRE(std::ranges::all_of(
            hosts, [&](const Host *host) { return host->isSuspect(fixture.now) != (host->name() == first.host); }));
        CHECK(fixture.step(Milliseconds(100)).empty());
    }
}

TEST_CASE("A new leader predicts from the time for which agents have listed the runs", "[copies]")
{
    CopyFixture fixture;
    fixture.scheduler->submit(CopyFixture::job(), fixture.now);
    std::vector<StartOrder> starts = fixture.step();
    REQUIRE(starts.size() == 5);
    JobProgress stored = fixture.scheduler->find("job")->progress();
    const bool hasCrashedUpstream = GENERATE(false, true);
    if (hasCrashedUpstream) {
        // A second start at the same time could not be told from the first if an upstream crashes again.
        stored.tasks.front().crashedOn = {"host-9"};
    }
    fixture.scheduler = fixture.makeScheduler(8);
    fixture.epoch = 8;
    fixture.advance(Milliseconds(1000));
    fixture.scheduler->restore(CopyFixture::job(), stored, fixture.now, fixture.now);
    const StartOrder first = starts.front();
    for (const std::string &name : fixture.hostNames) {
        HostReport report = fixture.reportOf(name);
        for (const StartOrder &start : starts) {
            if (start.host == name) {
                report.running.push_back(
                    {.run = start.run, .percent = start.run == first.run ? 14U : 95U, .listedFor = Milliseconds(1000)});
            }
        }
        fixture.scheduler->onReport(report, fixture.now);
    }
    const auto copies = fixture.step();
    REQUIRE(copies.size() == (hasCrashedUpstream ? 0 : 1));
    if (!copies.empty()) {
        CHECK(copies.front().run == RunId{.task = first.run.task, .run = 2});
        CHECK(copies.front().host != first.host);
    }
}

TEST_CASE("A copy goes to another rack when one has room", "[copies]")
{
    CopyFixture fixture;
    const StartOrder first = fixture.runUntilOneIsLeft();
    // Only the last host is in another rack than the first attempt, and it has the least room.
    const std::string other = first.host == "host-4" ? "host-3" : "host-4";
    for (const std::string &name : fixture.hostNames) {
        HostReport report = fixture.reportOf(name);
        report.upstream->rack = name == other ? "rack-b" : "rack-a";
        report.upstream->capacity.cpuMillis = name == other ? 2000 : 4000;
        if (name == first.host) {
            report.running.push_back({.run = first.run, .percent = 14, .listedFor = Milliseconds(400)});
        }
        fixture.scheduler->onReport(report, fixture.now);
    }
    const auto copies = fixture.step();
    REQUIRE(copies.size() == 1);
    CHECK(copies.front().host == other);
}

TEST_CASE("Copies are bounded, and so is the search for slow tasks", "[copies]")
{
    CopyFixture fixture;

    SECTION("Steps are examined at most every 100 ms, and only speculative ones with running tasks")
    {
        for (int index = 0; index < 10; ++index) {
            JobSpec plain = SchedulerFixture::quickJob("plain" + std::to_string(index));
            plain.steps.front().request.cpuMillis = 100;
            fixture.scheduler->submit(plain, fixture.now);
        }
        JobSpec twoSteps = CopyFixture::job();
        twoSteps.steps.push_back(twoSteps.steps.front());
        twoSteps.steps.back().after = {0};
        fixture.scheduler->submit(twoSteps, fixture.now);
        for (int round = 0; round < 100; ++round) {
            fixture.step(Milliseconds(10));
        }
        CHECK(fixture.scheduler->examinedSteps() == 10);
    }
    SECTION("A plan starts a few copies, of the tasks that gain most, within a share of the free room")
    {
        std::vector<std::unique_ptr<Job>> jobs;
        std::vector<Job *> order;
        for (std::uint32_t percent = 1; percent <= 5; ++percent) {
            jobs.push_back(std::make_unique<Job>(
                CopyFixture::job(std::to_string(percent)), fixture.view->queues["quick"], fixture.now));
            order.push_back(jobs.back().get());
            for (Task &task : order.back()->stepTasks(0, 0)) {
                const bool isSlow = &task == &order.back()->stepTasks(0, 0).front();
                task.done = !isSlow;
                task.took = Milliseconds(1000);
                if (isSlow) {
                    order.back()->addAttempt(task,
                                             {.run = 1,
                                              .host = "host-1",
                                              .phase = AttemptPhase::Running,
                                              .listed = true,
                                              .survivedStart = true,
                                              .startedAt = fixture.now - Seconds(1),
                                              .percent = percent,
                                              .progressedAt = fixture.now});
                }
            }
        }
        Host host("host-1");
        HostReport report = fixture.reportOf("host-1");
        const auto planWithCores = [&](std::int64_t cores) {
            report.upstream->capacity.cpuMillis = cores * 1000;
            host.apply(report, fixture.now);
            Host *const hosts[] = {&host};
            return CopyPlanner({}).plan(order, hosts, fixture.now);
        };
        // A crash of the upstream could have two causes while the first start is not survived.
        Attempt &recentStart = order.back()->stepTasks(0, 0).front().attempts.front();
        recentStart.percent = 0;
        recentStart.progressedAt = recentStart.startedAt - Seconds(2);
        recentStart.survivedStart = false;
        const auto copies = planWithCores(100);
        REQUIRE(copies.size() == 3);
        CHECK(copies.front().task.job == "1");
        CHECK(copies.back().task.job == "3");
        CHECK(planWithCores(7).size() == 2);
        CHECK(planWithCores(2).empty());
    }
}

TEST_CASE("More quick jobs end in time when slow tasks get copies", "[load][copies]")
{
    // Estimates that are right within a tenth, and wrong by a factor of up to 1.5 and more.
    const double workSpread = GENERATE(0.1, 0.5);
    const std::uint64_t seed = GENERATE(1, 2);
    CAPTURE(workSpread, seed);
    LoadSimulator without(quickLoad(false, 1, workSpread, seed));
    LoadSimulator with(quickLoad(true, 1, workSpread, seed));
    without.simulate(Seconds(60));
    with.simulate(Seconds(60));
    const LoadSimulator::Outcome &before = without.outcomes().at("quick");
    const LoadSimulator::Outcome &after = with.outcomes().at("quick");
    CAPTURE(before.submitted, before.inTime, before.late, after.submitted, after.inTime, after.late);
    CAPTURE(with.starts(), with.copies().started, with.copies().won);
    CHECK(with.violations().empty());
    CHECK(without.copies().started == 0);
    CHECK(with.copies().won * 2 > with.copies().started);
    CHECK(static_cast<double>(after.inTime) / static_cast<double>(after.submitted)
          > static_cast<double>(before.inTime) / static_cast<double>(before.submitted) + 0.1);
}

TEST_CASE("No copy is started while tasks wait for room", "[load][copies]")
{
    LoadSimulator::Options options = quickLoad(true, 1);
    // Batch jobs need about as much as the others leave, so that their tasks wait at times. Quick tasks find room.
    options.quickPerSecond = 5;
    options.batchPerSecond = 1.4;
    options.hosts = 20;
    options.services = 5;
    LoadSimulator simulator(options);
    simulator.simulate(Seconds(20));
    CAPTURE(simulator.starts(), simulator.copies().started);
    CHECK(simulator.copies().started > 0);
    CHECK(simulator.copies().whileTasksWaited == 0);
    CHECK(simulator.violations().empty());
}

TEST_CASE("Copies break no rule while answers are lost, starts are late and upstreams crash", "[load][copies]")
{
    LoadSimulator::Options options = quickLoad(true, 1);
    options.failures = 0.02;
    options.lostAnswers = 0.05;
    options.lateStarts = 0.02;
    options.crashesPerSecond = 0.2;
    options.seed = GENERATE(1, 2, 3);
    LoadSimulator simulator(options);
    simulator.simulate(Seconds(20));
    CHECK(simulator.copies().started > 0);
    CHECK(simulator.violations().empty());
}

} // namespace Carobflow::Scheduling
