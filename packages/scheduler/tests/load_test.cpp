#include "loadsimulator.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

/// A multiple of a grown deployment: 60 hosts, jobs with many tasks, and services on most hosts.
LoadSimulator::Options grownDeployment(std::size_t size)
{
    return {.hosts = 60 * size,
            .quickPerSecond = 11.7 * static_cast<double>(size),
            .quickWidth = 10,
            .batchPerSecond = 3.48 * static_cast<double>(size),
            .batchWidth = 20,
            .services = 10 * size,
            .serviceWidth = 14};
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

} // namespace

TEST_CASE("Quick and batch jobs meet their objectives under ordinary load beside services", "[load]")
{
    LoadSimulator simulator({});
    simulator.simulate(Seconds(60));
    const auto &quick = simulator.outcomes().at("quick");
    const auto &batch = simulator.outcomes().at("batch");
    // Guards against quick jobs that wait behind batch jobs, and batch jobs that are not placed despite free resources.
    CHECK(share(quick.inTime, quick.submitted) > 0.85);
    CHECK(share(batch.inTime, batch.submitted) > 0.8);
}

TEST_CASE("Quick jobs meet their objectives in a grown deployment", "[load]")
{
    LoadSimulator simulator(grownDeployment(1));
    simulator.simulate(Seconds(30));
    const auto &quick = simulator.outcomes().at("quick");
    CHECK(share(quick.inTime, quick.submitted) > 0.85);
}

TEST_CASE("The scheduler needs less than a tenth of a core for twice a grown deployment", "[load]")
{
    LoadSimulator simulator(grownDeployment(2));
    // Guards against planning time that grows with the square of jobs and hosts. An agent process has 0.15 of a core,
    // and the calls of a leader need a third of it.
    CHECK(simulator.simulate(Seconds(20)) < 0.1);
}

TEST_CASE("No task runs twice while upstreams crash and starts are late or unanswered", "[load][random]")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    CAPTURE(seed);
    LoadSimulator simulator(
        {.failures = 0.05, .lateStarts = 0.05, .lostAnswers = 0.1, .crashesPerSecond = 0.3, .seed = seed});
    simulator.simulate(Seconds(40));
    // Guards against a second run while the first may still start, after a restart of its upstream, or after an end
    // that was not acknowledged; and against overcommitted hosts.
    CHECK(simulator.violations().empty());
    const auto &quick = simulator.outcomes().at("quick");
    CHECK(share(quick.inTime + quick.late, quick.submitted) > 0.6);
}

} // namespace Carobflow::Scheduling
