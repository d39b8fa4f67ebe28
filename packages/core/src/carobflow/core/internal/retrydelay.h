#pragma once

#include "carobflow/core/types.h"

#include <algorithm>
#include <cstdint>
#include <random>

#include <boost/random/uniform_int_distribution.hpp>

namespace Carobflow
{

/// Growing waits with jitter between tries of an operation of the store.
class RetryDelay
{
public:
    /// The wait after one more failure: doubles from 50 ms to 2 s, times a random factor between one half and one.
    Milliseconds next(std::mt19937_64 &random)
    {
        const std::int64_t ceiling = std::min<std::int64_t>(Shortest << std::min(m_failures, MaxDoublings), Longest);
        ++m_failures;
        return Milliseconds(boost::random::uniform_int_distribution<std::int64_t>(ceiling / 2, ceiling)(random));
    }

    void reset()
    {
        m_failures = 0;
    }

private:
    static constexpr std::int64_t Shortest = 50;
    static constexpr std::int64_t Longest = 2000;
    static constexpr std::uint32_t MaxDoublings = 6;

    std::uint32_t m_failures = 0;
};

} // namespace Carobflow
