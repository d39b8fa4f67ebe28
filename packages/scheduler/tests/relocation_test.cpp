#include "carobflow/scheduler/relocation.h"
#include "schedulerfixture.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

/// A batch job of one task with checkpoints, and the reports of the host that runs it.
class RelocationFixture : public SchedulerFixture
{
public:
    explicit RelocationFixture(SchedulingFeatures features)
    {
        scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = epoch, .features = features});
        scheduler->setOperatorView(view);
        reportAll();
    }

    static JobSpec batchJob(const std::string &id, bool checkpointing = true)
    {
        return {.id = id,
                .queue = "batch",
                .payload = "payload",
                .steps = {{.count = 1,
                           .request = {.cpuMillis = 2000, .memoryMiB = 500},
                           .estimate = Milliseconds(4000),
                           .checkpointing = checkpointing,
                           .image = "image",
                           .fillsLeftover = true}}};
    }

    /// Reports the run every 400 ms as paced to this share, and returns the stop orders.
    std::vector<StopOrder> reportPaced(const StartOrder &start, std::uint32_t share, Milliseconds time)
    {
        std::vector<StopOrder> all;
        for (Milliseconds passed{0}; passed <= time; passed += Milliseconds(400)) {
            reportAll();
            HostReport report = reportOf(start.host);
            report.running.push_back({.run = start.run, .checkpoint = "saved", .percent = percent++, .share = share});
            scheduler->onReport(report, now);
            step(Milliseconds(400));
            std::ranges::move(stops(), std::back_inserter(all));
        }
        return all;
    }

    std::uint32_t percent = 10;
};

} // namespace

TEST_CASE("A task that services hold back continues on another host", "[relocation]")
{
    RelocationFixture fixture({.relocation = true});
    fixture.scheduler->submit(RelocationFixture::batchJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    const StartOrder &first = starts.front();

    SECTION("It is stopped after a second at a low share")
    {
        const auto stops = fixture.reportPaced(first, 20, Milliseconds(1600));
        REQUIRE(stops.size() == 1);
        CHECK(stops.front().reason == "moved");
        CHECK(stops.front().run == first.run);

        SECTION("It does not start again before its end is reported")
        {
            // Guards against two runs of one task while the answer to the stop is lost.
            CHECK(fixture.step(Milliseconds(400)).empty());
        }
        SECTION("It starts once, elsewhere, from its last checkpoint")
        {
            HostReport report = fixture.reportOf(first.host);
            report.ended.push_back(
                {.number = 1, .run = first.run, .end = RunEnd::Stopped, .checkpoint = "at the stop"});
            fixture.scheduler->onReport(report, fixture.now);
            const auto next = fixture.step();
            REQUIRE(next.size() == 1);
            CHECK(next.front().host != first.host);
            CHECK(next.front().run.run == 2);
            CHECK(next.front().checkpoint == "at the stop");
            CHECK(fixture.step(Milliseconds(400)).empty());
        }
    }
    SECTION("It stays while the share is high, or low for a moment only")
    {
        // Guards against moves for the usual swings of pacing.
        CHECK(fixture.reportPaced(first, 70, Milliseconds(3000)).empty());
        CHECK(fixture.reportPaced(first, 20, Milliseconds(400)).empty());
        CHECK(fixture.reportPaced(first, 70, Milliseconds(1200)).empty());
    }
}

TEST_CASE("A run that pacing holds back does not wait for a task that needs other resources", "[relocation]")
{
    // Guards against long jobs that end late: one task of a service that no host took kept every paced run in place.
    RelocationFixture fixture({.relocation = true});
    const auto fillAllHosts = [&](const std::string &id, bool checkpointing = true) {
        JobSpec job = RelocationFixture::batchJob(id, checkpointing);
        job.steps.front().count = 3;
        job.steps.front().request.cpuMillis = 4000;
        fixture.scheduler->submit(job, fixture.now);
        return fixture.step();
    };
    const bool checkpointing = GENERATE(true, false);
    const auto starts = fillAllHosts("held-back", checkpointing);
    REQUIRE(starts.size() == 3);

    SECTION("A service waits, and no host has room for more batch work")
    {
        JobSpec service = RelocationFixture::quickJob("service");
        service.steps.front().request.cpuMillis = 5000;
        service.steps.front().longRunning = true;
        fixture.scheduler->submit(service, fixture.now);
        const std::uint32_t share = GENERATE(0U, 20U);
        CAPTURE(share, checkpointing);

        SECTION("The run moves when its job comes before the batch work that waits")
        {
            fillAllHosts("waiting");
            CHECK(fixture.reportPaced(starts.front(), share, Milliseconds(1600)).size() == 1);
        }
        SECTION("Otherwise it moves only from a standstill, which costs nothing")
        {
            fixture.view->queues["urgent"] = {
                .name = "urgent", .service = "desk", .priority = 1, .maxAttempts = 2, .stretch = 2};
            fixture.scheduler->setOperatorView(fixture.view);
            JobSpec urgent = RelocationFixture::batchJob("urgent");
            urgent.queue = "urgent";
            fixture.scheduler->submit(urgent, fixture.now);
            CHECK(fixture.reportPaced(starts.front(), share, Milliseconds(1600)).size()
                  == (share == 0 && checkpointing ? 1 : 0));
        }
    }
}

TEST_CASE("A task stays where moves are switched off", "[relocation]")
{
    RelocationFixture fixture({});
    fixture.scheduler->submit(RelocationFixture::batchJob("job"), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    CHECK(fixture.reportPaced(starts.front(), 20, Milliseconds(3000)).empty());
}

TEST_CASE("A task without checkpoints moves only where it is done earlier all the same", "[relocation]")
{
    // Guards against work that is thrown away for nothing: from its beginning, the task takes four seconds.
    const bool checkpointing = GENERATE(true, false);
    RelocationFixture fixture({.relocation = true});
    fixture.scheduler->submit(RelocationFixture::batchJob("job", checkpointing), fixture.now);
    const auto starts = fixture.step();
    REQUIRE(starts.size() == 1);
    fixture.percent = 60;
    CHECK(fixture.reportPaced(starts.front(), 35, Milliseconds(1600)).size() == (checkpointing ? 1 : 0));
}

TEST_CASE("Moves are bounded", "[relocation]")
{
    const TimePoint now{Seconds(100)};
    Relocation relocation({.movesPerInterval = 2});
    const auto candidate = [](const std::string &job, Seconds gain) {
        return Relocation::Candidate{.run = {.task = {.job = job}, .run = 1}, .gain = gain};
    };
    const std::vector<Relocation::Candidate> candidates{candidate("small", Seconds(2)),
                                                        candidate("large", Seconds(9)),
                                                        candidate("middle", Seconds(5)),
                                                        candidate("without-place", Seconds(30))};
    const auto hasPlace = [](const RunId &run) { return run.task.job != "without-place"; };
    SECTION("The largest gains go first, and the rest waits for the next interval")
    {
        const auto moves = relocation.select(candidates, hasPlace, now);
        REQUIRE(moves.size() == 2);
        CHECK(moves[0].task.job == "large");
        CHECK(moves[1].task.job == "middle");
        CHECK(relocation.select(candidates, hasPlace, now + Milliseconds(50)).empty());
        CHECK(relocation.select(candidates, hasPlace, now + Milliseconds(100)).size() == 2);
    }
    SECTION("Places are looked for a few times only")
    {
        // Guards against a plan that compares all hosts for each of hundreds of slow runs.
        std::size_t looks = 0;
        const auto hasNone = [&](const RunId & /*run*/) {
            ++looks;
            return false;
        };
        const std::vector<Relocation::Candidate> many(300, candidate("slow", Seconds(5)));
        CHECK(relocation.select(many, hasNone, now).empty());
        CHECK(relocation.select(many, hasNone, now + Milliseconds(50)).empty());
        CHECK(looks == 8);
    }
    SECTION("A task moves at most three times")
    {
        const StepSpec step{.count = 1, .estimate = Milliseconds(4000), .checkpointing = true, .fillsLeftover = true};
        const Attempt attempt{.run = 4,
                              .phase = AttemptPhase::Running,
                              .listed = true,
                              .percent = 10,
                              .share = 10,
                              .slowSince = now - Seconds(2)};
        Task task{.attempts = {attempt}, .moves = 2};
        CHECK(relocation.gain(step, task, attempt, now));
        task.moves = 3;
        CHECK_FALSE(relocation.gain(step, task, attempt, now));
    }
}

} // namespace Carobflow::Scheduling
