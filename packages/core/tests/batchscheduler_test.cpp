#include "carobflow/core/batchscheduler.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

JobSpec makeJob(std::string id, std::int64_t runSeconds, std::int64_t deadline)
{
    return {.id = std::move(id),
            .team = "print",
            .jobClass = "menu",
            .declared = {.cpuMillis = 1000, .memoryMiB = 100, .accelerators = 0},
            .runSeconds = runSeconds,
            .deadlineUnixSeconds = deadline};
}

SchedulableHost makeHost(std::string name, std::int64_t cpuMillis, std::int64_t accelerators = 0)
{
    return {.info = {.name = std::move(name),
                     .dataCentre = {},
                     .rack = {},
                     .capacity = {.cpuMillis = cpuMillis, .memoryMiB = 4000, .accelerators = accelerators}},
            .reserved = {},
            .tasks = 0,
            .onTrial = false};
}

struct Fixture {
    ShardState state;

    void submit(const JobSpec &spec)
    {
        state.apply(JobSubmitted{spec});
    }

    /// Assigns the job to the host and ends the task with this outcome.
    void runTask(const std::string &job, const std::string &host, ReportedState outcome, std::int64_t milliseconds = 0)
    {
        const Fence fence = state.lastFence() + 1;
        state.apply(TaskAssigned{.job = job, .host = host, .fence = fence});
        TaskEnded ended;
        ended.job = job;
        ended.fence = fence;
        ended.outcome = outcome;
        ended.runMilliseconds = milliseconds;
        state.apply(ended);
    }

    std::vector<Placement>
    place(std::vector<SchedulableHost> hosts, const Sheet *sheet = nullptr, BatchScheduler::Options options = {})
    {
        std::vector<WaitingJob> waiting;
        for (const std::string &id : state.pending()) {
            waiting.push_back({.job = state.find(id), .avoidedHosts = {}});
        }
        return BatchScheduler(options).place(state, std::move(waiting), std::move(hosts), sheet, 1000, 100);
    }
};

} // namespace

// Guards against ordering by inaccurate declared run times, or by submission order alone.
TEST_CASE_METHOD(Fixture,
                 "Urgent jobs go first and the rest by least slack from measured run times",
                 "[batchscheduler]")
{
    submit(makeJob("late", 10, 0));
    submit(makeJob("soon", 10, 1100));
    JobSpec slow = makeJob("slow", 10, 1200);
    slow.jobClass = "banner";
    submit(slow);
    CHECK(place({makeHost("a", 1000)}).front().job == "soon");

    SECTION("a job of a class measured as slow has less slack")
    {
        JobSpec measured = slow;
        measured.id = "measured";
        submit(measured);
        runTask("measured", "a", ReportedState::Finished, 190'000);
        CHECK(place({makeHost("a", 1000)}).front().job == "slow");
    }
    SECTION("an urgent job goes before all others")
    {
        JobSpec urgent = makeJob("urgent", 10, 0);
        urgent.urgency = Urgency::Urgent;
        submit(urgent);
        CHECK(place({makeHost("a", 1000)}).front().job == "urgent");
    }
    SECTION("the baseline keeps submission order and takes the first fit")
    {
        const auto placements = place(
            {makeHost("a", 2000, 1), makeHost("b", 9000)}, nullptr, {.adaptivePolicy = false, .shardCount = 1});
        REQUIRE(placements.size() == 3);
        CHECK(placements[0].job == "late");
        CHECK(placements[1].host == "a");
        CHECK(placements[2].host == "b");
    }
}

TEST_CASE_METHOD(Fixture, "Hosts stay within capacity and the least loaded one is chosen", "[batchscheduler]")
{
    for (const char *id : {"j1", "j2", "j3", "j4", "j5"}) {
        submit(makeJob(id, 10, 0));
    }
    SECTION("tasks are spread and hosts with accelerators are used last")
    {
        const auto placements = place({makeHost("a", 2000), makeHost("b", 2000), makeHost("c", 8000, 1)});
        REQUIRE(placements.size() == 5);
        CHECK(placements[0].host == "a");
        CHECK(placements[1].host == "b");
        CHECK(placements[4].host == "c");
    }
    SECTION("a host on trial gets one task")
    {
        SchedulableHost trial = makeHost("a", 8000);
        trial.onTrial = true;
        CHECK(place({trial}).size() == 1);
    }
    SECTION("a team stays within its quota")
    {
        Sheet sheet;
        sheet.teams = {{.name = "print", .quota = {.cpuMillis = 3000, .memoryMiB = 9000, .accelerators = 0}}};
        CHECK(place({makeHost("a", 8000)}, &sheet).size() == 3);
        CHECK(place({makeHost("a", 8000)}, &sheet, {.adaptivePolicy = true, .shardCount = 3}).size() == 1);
    }
}

// Guards against a faulty job that is retried without end, and against a faulty host that fails every task and thereby
// keeps attracting new ones.
TEST_CASE_METHOD(Fixture, "Repeated failures are attributed to jobs and to hosts", "[shardstate]")
{
    submit(makeJob("j1", 10, 0));
    SECTION("a job that failed on three hosts is marked as failed")
    {
        for (const char *host : {"a", "a", "b"}) {
            runTask("j1", host, ReportedState::Failed);
        }
        CHECK(state.find("j1")->state == JobState::Accepted);
        runTask("j1", "c", ReportedState::Failed);
        CHECK(state.find("j1")->state == JobState::Failed);
    }
    SECTION("failures of three jobs put a host on trial until a job finishes there")
    {
        submit(makeJob("j2", 10, 0));
        submit(makeJob("j3", 10, 0));
        for (const char *job : {"j1", "j1", "j2"}) {
            runTask(job, "a", ReportedState::Failed);
        }
        CHECK_FALSE(state.isOnTrial("a"));
        runTask("j3", "a", ReportedState::Failed);
        CHECK(state.isOnTrial("a"));
        runTask("j3", "a", ReportedState::Finished);
        CHECK_FALSE(state.isOnTrial("a"));
    }
}
