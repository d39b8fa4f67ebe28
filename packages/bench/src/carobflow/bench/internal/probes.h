#pragma once

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/processusage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carobflow::Bench
{

/// Processor and memory use of a process over an interval.
struct IntervalUsage {
    /// Percent of one core.
    double corePercent = 0;
    double residentMiB = 0;
};

/// Measures the usage of all daemons during an interval that begins with the call; blocks until it is over. Entries
/// come first, then agents.
std::vector<IntervalUsage> measureUsage(Cluster &cluster, Milliseconds interval);

/// Applies a sheet and waits until the metrics of all daemons show that it is in force. Returns the milliseconds since
/// before the sheet was sent. The metrics are polled every 20 ms up to 50 agents, and every 100 ms with more.
double millisecondsUntilInForce(Cluster &cluster, const std::string &sheet);

/// The epoch of shard 0, which increases with each change of its leader.
std::uint64_t epochOf(Cluster &cluster);

/// Number of commits made by all leaders of shard 0.
std::uint64_t commitsOf(Cluster &cluster);

/// The last snapshot of shard 0; empty when there is none.
std::string lastSnapshot(Cluster &cluster);

/// Outcomes and latencies of a series of job submissions.
struct SubmissionSummary {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::vector<double> milliseconds;

    [[nodiscard]] double quantile(double share) const;
};

/// Submits jobs that each occupy a whole host for an hour, so that nearly all of them wait. A rate of 0 submits each
/// job after the answer to the previous one.
SubmissionSummary submitJobs(Cluster &cluster, const std::string &prefix, std::uint32_t count, double perSecond);

} // namespace Carobflow::Bench
