#include "carobflow/core/batchscheduler.h"

#include <string>

#include <benchmark/benchmark.h>

using namespace Carobflow;

namespace
{

/// Hosts of one shard at the target size.
constexpr int HostCount = 40;
/// Maximum number of jobs that one group commit assigns.
constexpr std::size_t MaxPlacements = 100;

ShardState makeState(int jobs)
{
    ShardState state;
    for (int number = 0; number < jobs; ++number) {
        state.apply(JobSubmitted{{.id = "job-" + std::to_string(number),
                                  .team = "print",
                                  .jobClass = "class-" + std::to_string(number % 10),
                                  .declared = {.cpuMillis = 1000 + 500 * (number % 7), .memoryMiB = 2000},
                                  .runSeconds = 60 + number % 600,
                                  .deadlineUnixSeconds = 100000 + number * 7919 % 50000}});
    }
    return state;
}

std::vector<SchedulableHost> makeHosts()
{
    std::vector<SchedulableHost> result;
    result.reserve(HostCount);
    for (int number = 0; number < HostCount; ++number) {
        result.push_back({.info = {.name = "host-" + std::to_string(number),
                                   .dataCentre = "dc" + std::to_string(number % 7),
                                   .rack = "rack-" + std::to_string(number / 3),
                                   .capacity = {.cpuMillis = 32000, .memoryMiB = 125000}}});
    }
    return result;
}

/// One scheduling round: lists the pending jobs, orders them, and places those that fit.
void scheduleRound(benchmark::State &state)
{
    const ShardState shard = makeState(static_cast<int>(state.range(0)));
    const BatchScheduler scheduler({.adaptivePolicy = state.range(1) != 0});
    std::size_t placed = 0;
    for (auto iteration : state) {
        std::vector<WaitingJob> waiting;
        for (const std::string &id : shard.pending()) {
            waiting.push_back({.job = shard.find(id)});
        }
        placed = scheduler.place(shard, std::move(waiting), makeHosts(), nullptr, 1000, MaxPlacements).size();
        benchmark::DoNotOptimize(placed);
    }
    state.counters["placed"] = static_cast<double>(placed);
}

/// Serialisation of the state as a leader does it for a snapshot.
void writeSnapshot(benchmark::State &state)
{
    const ShardState shard = makeState(static_cast<int>(state.range(0)));
    std::size_t bytes = 0;
    for (auto iteration : state) {
        bytes = shard.snapshot().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(scheduleRound)->ArgNames({"jobs", "adaptive"})->ArgsProduct({{100, 1000, 10000}, {1, 0}});
BENCHMARK(writeSnapshot)->Arg(100)->Arg(1000)->Arg(10000);
