#include "carobflow/scheduler/refusals.h"
#include "schedulerfixture.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("The log can tell why a task waits", "[scheduler][observability]")
{
    SchedulerFixture fixture;
    JobSpec job = SchedulerFixture::quickJob("job");
    StepSpec &step = job.steps.front();
    const auto plan = [&] {
        fixture.scheduler->submit(job, fixture.now);
        fixture.step();
        return fixture.scheduler->waitingTasks();
    };

    SECTION("Too little processor time is free on each of the three hosts")
    {
        step.request.cpuMillis = 5000;
        CHECK(plan().otherRefusals.describe() == "processor:3");
    }
    SECTION("Too little memory is free")
    {
        step.request.memoryMiB = 64000;
        CHECK(plan().otherRefusals.describe() == "memory:3");
    }
    SECTION("No host has the label")
    {
        step.requiredLabel = "elsewhere";
        CHECK(plan().otherRefusals.describe() == "excluded:3");
    }
    SECTION("Fillers are counted by themselves")
    {
        step.fillsLeftover = true;
        step.request.cpuMillis = 5000;
        const WaitingTasks waiting = plan();
        CHECK(waiting.fillerRefusals.describe() == "leftover:3");
        CHECK(waiting.otherRefusals.describe().empty());
        CHECK(waiting.unplacedFillers == 1);
    }
}

TEST_CASE("The completion of a batch job says whether its result is still worth something",
          "[scheduler][observability]")
{
    SchedulerFixture fixture;
    std::vector<std::pair<std::string, Timeliness>> completions;
    fixture.scheduler = std::make_unique<Scheduler>(
        Scheduler::Options{.epoch = fixture.epoch, .onCompletion = [&](const JobCompletion &completion) {
                               completions.emplace_back(completion.job->spec().id, completion.timeliness);
                           }});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.reportAll();
    // The objective of the job is 1.5 times its estimate of a second.
    const auto [took, expected] = GENERATE(table<Milliseconds, Timeliness>({
        {Milliseconds(1400), Timeliness::InTime},
        {Milliseconds(1600), Timeliness::Late},
        {Milliseconds(4600), Timeliness::Expired},
    }));
    fixture.scheduler->submit(SchedulerFixture::quickJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.advance(took);
    fixture.end(starts.front(), RunEnd::Done, 1);
    REQUIRE(completions.size() == 1);
    CHECK(completions.front() == std::pair(std::string("job"), expected));

    SECTION("It is reported once")
    {
        fixture.end(starts.front(), RunEnd::Done, 2);
        CHECK(completions.size() == 1);
    }
}

TEST_CASE("Runs that pacing holds back are counted with the longest time", "[scheduler][observability]")
{
    SchedulerFixture fixture;
    JobSpec job = SchedulerFixture::quickJob("job", 2);
    job.steps.front().fillsLeftover = true;
    fixture.scheduler->submit(job, fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 2);
    const auto report = [&](std::uint32_t firstShare) {
        HostReport first = fixture.reportOf(starts[0].host);
        first.running.push_back({.run = starts[0].run, .share = firstShare});
        HostReport second = fixture.reportOf(starts[1].host);
        second.running.push_back({.run = starts[1].run, .share = 100});
        fixture.scheduler->onReport(first, fixture.now);
        fixture.scheduler->onReport(second, fixture.now);
    };
    report(20);
    fixture.advance(Milliseconds(700));
    CHECK(fixture.scheduler->heldBackRuns(fixture.now).count == 1);
    CHECK(fixture.scheduler->heldBackRuns(fixture.now).longest == Milliseconds(700));
    report(100);
    CHECK(fixture.scheduler->heldBackRuns(fixture.now).count == 0);
}

} // namespace Carobflow::Scheduling
