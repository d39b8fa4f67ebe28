#pragma once

#include "carobflow/core/shardstate.h"
#include "carobflow/core/sheet.h"
#include "carobflow/core/types.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Carobflow
{

/// A host as the scheduler sees it.
struct SchedulableHost {
    HostInfo info;
    /// What its tasks take, those that are stopping included.
    Resources reserved;
    std::size_t tasks = 0;
    /// True when it gets one task at a time until a job finishes there.
    bool onTrial = false;
};

/// A job that waits and the hosts that it is not to be placed on for now.
struct WaitingJob {
    const JobRecord *job = nullptr;
    std::vector<std::string> avoidedHosts;
};

struct Placement {
    std::string job;
    std::string host;
};

/// Decides on the order of waiting jobs and on the host of each. It keeps no state between calls.
class BatchScheduler
{
public:
    struct Options {
        /// False selects the baseline: order of submission and first fit.
        bool adaptivePolicy = true;
        /// Team quotas are divided by the number of shards, because each leader sees the jobs of its shard only.
        std::uint32_t shardCount = 1;
    };

    explicit BatchScheduler(Options options);

    /// Seconds that are left when the rest of the work starts at `unixSeconds`, by the measured run time of the class
    /// or else by the declared one; the largest value for a job without a deadline.
    static std::int64_t slackSeconds(const ShardState &state, const JobRecord &job, std::int64_t unixSeconds);

    /// The placements to make now, at most `limit`. No host gets more than it can hold, and no team more than its
    /// quota.
    std::vector<Placement> place(const ShardState &state,
                                 std::vector<WaitingJob> waiting,
                                 std::vector<SchedulableHost> hosts,
                                 const Sheet *sheet,
                                 std::int64_t unixSeconds,
                                 std::size_t limit) const;

    /// Why the job can run on no host of these capacities even when it is idle; empty when it can.
    static std::string whyUnrunnable(const JobSpec &spec, std::span<const Resources> capacities, const Sheet *sheet);

private:
    void sortByPriority(const ShardState &state, std::vector<WaitingJob> &waiting, std::int64_t unixSeconds) const;
    [[nodiscard]] SchedulableHost *chooseHost(const WaitingJob &waiting, std::vector<SchedulableHost> &hosts) const;
    [[nodiscard]] Resources quotaShare(const TeamEntry &team) const;

    Options m_options;
};

} // namespace Carobflow
