#pragma once

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

namespace Carobflow::Testing
{

/// Random number generator for tests. Boost's distribution gives the same values with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// A number from `low` to `high`, both included.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(low, high)(m_engine);
    }

    bool chance(std::int64_t percent)
    {
        return between(1, 100) <= percent;
    }

private:
    std::mt19937_64 m_engine;
};

/// Calls `run(seed)` for the seeds 1 to `count`, or for the range given by the environment variable
/// CAROBFLOW_SEEDS="A..B". A failed assertion prints the seed.
template<typename Run>
void forEachSeed(std::uint64_t count, Run run)
{
    std::uint64_t first = 1;
    std::uint64_t last = count;
    if (const char *range = std::getenv("CAROBFLOW_SEEDS")) {
        const std::string text = range;
        const std::size_t dots = text.find("..");
        first = std::stoull(text);
        last = dots == std::string::npos ? first : std::stoull(text.substr(dots + 2));
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        INFO("seed " << seed << "; repeat with CAROBFLOW_SEEDS=\"" << seed << ".." << seed << "\"");
        run(seed);
    }
}

} // namespace Carobflow::Testing
