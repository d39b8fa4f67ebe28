#include "schedulerfixture.h"

#include <algorithm>
#include <iterator>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

/// A deployment whose hosts have room for one task of 3000 each.
class PlanFixture : public SchedulerFixture
{
public:
    explicit PlanFixture(std::size_t hosts)
    {
        while (hostNames.size() < hosts) {
            hostNames.push_back("host-" + std::to_string(hostNames.size() + 1));
        }
        reportAll();
    }

    void submit(const std::string &id, StepSpec step, std::int64_t cpuMillis = 3000)
    {
        step.request = {.cpuMillis = cpuMillis, .memoryMiB = 500};
        step.estimate = Milliseconds(1000);
        JobSpec job{.id = id, .queue = "quick", .payload = "payload"};
        job.steps = {std::move(step)};
        scheduler->submit(std::move(job), now);
    }

    std::size_t comparisons() const
    {
        return scheduler->waitingTasks().comparisons;
    }
};

} // namespace

TEST_CASE("A plan compares the hosts once for all waiting tasks of one kind", "[scheduler][plancost]")
{
    // Guards against plans whose cost is the product of waiting jobs and hosts. The leader of a full deployment plans
    // every few milliseconds, and answers reports and clients as much later.
    const std::size_t hosts = GENERATE(80U, 300U);
    const std::size_t jobs = GENERATE(10U, 200U);
    CAPTURE(hosts, jobs);
    PlanFixture fixture(hosts);
    fixture.submit("first", {.count = static_cast<std::uint32_t>(hosts)});
    std::size_t started = 0;
    while (started < hosts) {
        const std::size_t next = fixture.step(Milliseconds(10)).size();
        REQUIRE(next > 0);
        started += next;
    }
    for (std::size_t job = 0; job < jobs; ++job) {
        fixture.submit("waiting-" + std::to_string(job), {.count = 4});
    }
    CHECK(fixture.step(Milliseconds(10)).empty());
    CHECK(fixture.comparisons() == hosts);
    CHECK(fixture.scheduler->waitingTasks().unplaced == jobs);
}

TEST_CASE("A plan starts no more tasks than a slow leader delivers at once", "[scheduler][plancost]")
{
    // Guards against LOST: after the loss of all processes a leader sends hundreds of starts in one round of 0.7 s. The
    // replies that allow leases wait for it, so agents reject starts and leases lapse.
    constexpr std::size_t most = 60;
    const std::size_t hosts = GENERATE(80U, 300U);
    CAPTURE(hosts);
    PlanFixture fixture(hosts);
    fixture.submit("2-large", {.count = 1000});
    SECTION("And places the rest with the next ones")
    {
        std::size_t started = 0;
        for (std::size_t plan = 0; plan < hosts / most + 2; ++plan) {
            const auto starts = fixture.step(Milliseconds(10));
            CHECK(starts.size() <= most);
            started += starts.size();
        }
        CHECK(started == hosts);
    }
    SECTION("Also when many jobs wait")
    {
        for (std::size_t job = 0; job < 100; ++job) {
            fixture.submit("3-small-" + std::to_string(job), {.count = 2});
        }
        CHECK(fixture.step().size() <= most);
    }
    SECTION("And the most urgent job is among the next")
    {
        CHECK(fixture.step().size() == most);
        fixture.submit("1-service", {.count = 10, .longRunning = true});
        const auto starts = fixture.step(Milliseconds(10));
        CHECK(std::ranges::count(starts, "1-service", [](const auto &start) { return start.run.task.job; }) == 10);
    }
    SECTION("But a gang as a whole")
    {
        PlanFixture empty(hosts);
        empty.submit("gang", {.count = 70, .gang = true});
        CHECK(empty.step().size() == 70);
    }
}

TEST_CASE("A write examines the hosts and ends of its own jobs only", "[scheduler][plancost]")
{
    // Guards against writes whose cost is the product of their jobs and the hosts of the deployment. Under load, each
    // write contains the ends of tens of jobs.
    constexpr std::uint32_t tasksPerJob = 10;
    const std::size_t hosts = GENERATE(80U, 300U);
    CAPTURE(hosts);
    PlanFixture fixture(hosts);
    for (std::size_t job = 0; job < hosts / tasksPerJob; ++job) {
        fixture.submit("job-" + std::to_string(job), {.count = tasksPerJob});
    }
    std::vector<StartOrder> started;
    while (started.size() < hosts) {
        std::ranges::move(fixture.step(Milliseconds(10)), std::back_inserter(started));
    }
    SECTION("Starts examine none")
    {
        CHECK(fixture.scheduler->endChecks() == 0);
    }
    SECTION("An end is examined a fixed number of times, with its host")
    {
        for (const StartOrder &start : started) {
            fixture.end(start, RunEnd::Done, 1);
        }
        fixture.step(Milliseconds(10));
        CHECK(fixture.scheduler->endChecks() == 4 * hosts);
        const auto isAcknowledged = [&](const StartOrder &start) {
            return fixture.scheduler->acknowledgedEnd(start.host, start.upstream) == 1;
        };
        CHECK(std::ranges::all_of(started, isAcknowledged));
    }
    SECTION("An end that is reported during the write waits for the next one")
    {
        fixture.end(started[0], RunEnd::Done, 1);
        fixture.scheduler->plan(fixture.now, fixture.unixMs);
        const auto written = fixture.scheduler->takeDirtyJobs(1000);
        REQUIRE(written == std::vector{started[0].run.task.job});
        const auto next = std::ranges::find_if(started, [&](const StartOrder &start) {
            return start.run.task.job == written[0] && start.host != started[0].host;
        });
        REQUIRE(next != started.end());
        fixture.end(*next, RunEnd::Done, 1);
        fixture.scheduler->commitJob(written[0], fixture.now);
        CHECK(fixture.scheduler->acknowledgedEnd(started[0].host, started[0].upstream) == 1);
        CHECK(fixture.scheduler->acknowledgedEnd(next->host, next->upstream) == 0);
        fixture.step(Milliseconds(10));
        CHECK(fixture.scheduler->acknowledgedEnd(next->host, next->upstream) == 1);
    }
}

TEST_CASE("A kind of task that fits nowhere is tried again as soon as it may fit", "[scheduler][plancost]")
{
    PlanFixture fixture(3);
    // Guards against a task that waits on idle hosts because a similar one found no host in the same plan.
    SECTION("After a gang has given back what it could not use")
    {
        fixture.submit("1-gang", {.count = 4, .gang = true});
        fixture.submit("2-task", {.count = 1});
        const auto starts = fixture.step();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.task.job == "2-task");
    }
    SECTION("Beside a step that limits its tasks on each host")
    {
        fixture.submit("1-limited", {.count = 4, .maxPerUpstream = 1}, 1000);
        fixture.submit("2-free", {.count = 1}, 1000);
        const auto starts = fixture.step();
        REQUIRE(starts.size() == 4);
        CHECK(starts[3].run.task.job == "2-free");
    }
    SECTION("In the next plan after an end")
    {
        fixture.submit("1-first", {.count = 3});
        const auto starts = fixture.step();
        REQUIRE(starts.size() == 3);
        fixture.submit("2-next", {.count = 1});
        CHECK(fixture.step(Milliseconds(10)).empty());
        fixture.end(starts[0], RunEnd::Done, 1);
        CHECK(fixture.step(Milliseconds(10)).size() == 1);
    }
}

} // namespace Carobflow::Scheduling
