#pragma once

#include "carobflow/core/types.h"

#include <algorithm>
#include <cstdint>
#include <random>

#include <boost/random/uniform_int_distribution.hpp>

namespace Carobflow
{

/// Exponential back-off with jitter for the retries of a store operation.
class RetryDelay
{
public:
    /// The delay after another failure: doubles from 50 ms up to 2 s, times a random factor between 0.5 and 1.
    Milliseconds next(std::mt19937_64 &random)
    {
        const std::int64_t ceiling = std::min<std::int64_t>(MinDelayMs << std::min(m_failures, MaxDoublings),
                                                            MaxDelayMs);
        ++m_failures;
        return Milliseconds(boost::random::uniform_int_distribution<std::int64_t>(ceiling / 2, ceiling)(random));
    }

    void reset()
    {
        m_failures = 0;
    }

private:
    static constexpr std::int64_t MinDelayMs = 50;
    static constexpr std::int64_t MaxDelayMs = 2000;
    static constexpr std::uint32_t MaxDoublings = 6;

    std::uint32_t m_failures = 0;
};

} // namespace Carobflow
