#include "loadsimulator.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

/// Fifty hosts of which services reserve most, and more batch work than the rest can do, with a burst.
LoadSimulator::Options overloadedDeployment(std::uint64_t seed)
{
    return {.hosts = 50,
            .hostCpuMillis = 18600,
            .quickPerSecond = 11.8,
            .quickWidth = 10,
            .batchWidth = 20,
            .batchCpuMillis = 2500,
            .workSpread = 0.5,
            .batchBurst = 2.5,
            .services = 17,
            .serviceWidth = 14,
            .serviceCpuMillis = 3200,
            .seed = seed};
}

/// Sums over several days of forty seconds, with other arrivals and run times each.
LoadSimulator::Outcome batchOutcome(SchedulingFeatures features, double batchPerSecond)
{
    LoadSimulator::Outcome sum;
    for (const std::uint64_t seed : {1, 2, 3}) {
        LoadSimulator::Options options = overloadedDeployment(seed);
        options.features = features;
        options.batchPerSecond = batchPerSecond;
        LoadSimulator simulator(options);
        simulator.simulate(Seconds(40));
        const LoadSimulator::Outcome &outcome = simulator.outcomes().at("batch");
        sum.submitted += outcome.submitted;
        sum.inTime += outcome.inTime;
        sum.late += outcome.late;
        sum.work += outcome.work;
        sum.workInTime += outcome.workInTime;
        sum.large += outcome.large;
        sum.largeServed += outcome.largeServed;
    }
    return sum;
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

} // namespace

TEST_CASE("More batch work ends in time under overload when jobs are ordered by value", "[load][overload]")
{
    // Work for about 1.2 and 1.8 times the free processor time, and 2.5 times as much in a burst of six seconds.
    const double batchPerSecond = GENERATE(1.8, 2.7);
    CAPTURE(batchPerSecond);
    const LoadSimulator::Outcome bySlack = batchOutcome({}, batchPerSecond);
    const LoadSimulator::Outcome byValue = batchOutcome({.orderByValue = true}, batchPerSecond);
    CAPTURE(bySlack.submitted, bySlack.inTime, bySlack.late, bySlack.workInTime / bySlack.work);
    CAPTURE(byValue.submitted, byValue.inTime, byValue.late, byValue.workInTime / byValue.work);

    SECTION("Resources do not go to jobs that end late anyway")
    {
        CHECK(byValue.workInTime / byValue.work > 1.15 * bySlack.workInTime / bySlack.work);
    }
    SECTION("Large jobs do not pay for small ones")
    {
        // The deployments require that large jobs are served at least half as often as all.
        CAPTURE(byValue.large, byValue.largeServed);
        CHECK(share(byValue.largeServed, byValue.large)
              > 0.5 * share(byValue.inTime + byValue.late, byValue.submitted));
    }
}

} // namespace Carobflow::Scheduling
