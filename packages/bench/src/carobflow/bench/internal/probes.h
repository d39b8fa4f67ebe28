#pragma once

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/processusage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carobflow::Bench
{

/// How a process used the processor and memory over an interval.
struct IntervalUsage {
    /// Percent of one core.
    double corePercent = 0;
    double residentMiB = 0;
};

/// Usage of all daemons between the call and the end of the interval: entries first, then agents.
std::vector<IntervalUsage> usageOver(Cluster &cluster, Milliseconds interval);

/// Applies a sheet and waits until it is in force in all daemons, by their metrics. Returns the milliseconds from
/// before the change was sent; the metrics are polled every 20 ms up to 50 agents and every 100 ms with more.
double millisecondsUntilInForce(Cluster &cluster, const std::string &sheet);

/// The epoch of shard 0; it grows with each change of its leader.
std::uint64_t epochOf(Cluster &cluster);

/// Commits that the leaders of shard 0 have made.
std::uint64_t commitsOf(Cluster &cluster);

/// The last snapshot of shard 0; empty when there is none.
std::string lastSnapshot(Cluster &cluster);

/// How submissions at a fixed rate ended.
struct SubmissionSummary {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::vector<double> milliseconds;

    [[nodiscard]] double quantile(double share) const;
};

/// Submits jobs that fill a host for an hour each, so that nearly all of them wait. A rate of 0 submits one after
/// the other.
SubmissionSummary submitJobs(Cluster &cluster, const std::string &prefix, std::uint32_t count, double perSecond);

} // namespace Carobflow::Bench
