#include "loadplayer.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

/// A multiple of the grown co-op: 60 hosts, wide jobs, and services on most hosts.
LoadPlayer::Options grownDeployment(std::size_t size)
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

TEST_CASE("An ordinary load of quick jobs, batch jobs and services is served in time", "[load]")
{
    LoadPlayer player({});
    player.play(Seconds(60));
    const auto &quick = player.outcomes().at("quick");
    const auto &batch = player.outcomes().at("batch");
    // Guards against quick jobs that wait behind batch jobs, and batch jobs that no host takes though there is room.
    CHECK(share(quick.inTime, quick.submitted) > 0.85);
    CHECK(share(batch.inTime, batch.submitted) > 0.8);
}

TEST_CASE("A grown deployment's quick jobs are served in time", "[load]")
{
    LoadPlayer player(grownDeployment(1));
    player.play(Seconds(30));
    const auto &quick = player.outcomes().at("quick");
    CHECK(share(quick.inTime, quick.submitted) > 0.85);
}

TEST_CASE("The decisions for twice a grown deployment fit into a leader's share of a processor", "[load]")
{
    LoadPlayer player(grownDeployment(2));
    // Guards against decisions that grow with the square of jobs and hosts. An agent has 0.15 of a core, and the calls
    // of a leader need a third of it.
    CHECK(player.play(Seconds(20)) < 0.1);
}

TEST_CASE("No task runs twice while upstreams crash and starts are late or unanswered", "[load][random]")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    CAPTURE(seed);
    LoadPlayer player(
        {.failures = 0.05, .lateStarts = 0.05, .lostAnswers = 0.1, .crashesPerSecond = 0.3, .seed = seed});
    player.play(Seconds(40));
    // Guards against a second run while the first may still start, after its upstream has another life, or after an end
    // that was not acknowledged; and against a host that gets more than it can hold.
    CHECK(player.violations().empty());
    const auto &quick = player.outcomes().at("quick");
    CHECK(share(quick.inTime + quick.late, quick.submitted) > 0.6);
}

} // namespace Carobflow::Scheduling
