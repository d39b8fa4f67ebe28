#pragma once

#include "carobflow/scheduler/workload.h"

#include <cstdint>
#include <string_view>

namespace Carobflow::Scheduling
{

/// Bounds of what a job may ask for. Sums over all its tasks fit into 64 bits, and its row fits into the store.
struct JobLimits {
    /// The progress of a job with more tasks, all occurrences counted, does not fit into one write of the store.
    static constexpr std::uint64_t Tasks = 1000;
    /// All texts and numbers of the job. A row of the store takes 65,536 bytes after encoding, which adds a third.
    static constexpr std::size_t Bytes = 45'000;
    static constexpr std::size_t IdBytes = 100;
    static constexpr std::int64_t Amount = 1'000'000'000'000;
    /// Of one task; 30 days.
    static constexpr Milliseconds Estimate{2'592'000'000};
    /// Of a queue.
    static constexpr double Stretch = 1e6;
    /// Between two occurrences; a year.
    static constexpr Milliseconds Interval{31'622'400'000};
    /// The year 2286.
    static constexpr std::int64_t UnixMs = 10'000'000'000'000;
};

/// Why a job cannot be run, whoever submitted or stored it; empty when it can. Everything else in this package relies
/// on jobs without such a fault.
[[nodiscard]] std::string_view findFault(const JobSpec &job);

} // namespace Carobflow::Scheduling
