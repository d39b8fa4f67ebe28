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

/// A host that may be assigned tasks.
struct SchedulableHost {
    HostInfo info;
    /// Resources that its tasks hold, including tasks that are stopping.
    Resources reserved;
    std::size_t tasks = 0;
    /// True when the host is limited to one task at a time until a job finishes there.
    bool onTrial = false;
};

/// A pending job and the hosts that are excluded for it in this batch.
struct WaitingJob {
    const JobRecord *job = nullptr;
    std::vector<std::string> avoidedHosts;
};

struct Placement {
    std::string job;
    std::string host;
};

/// Filters and ranks the hosts of a job by criteria other than free resources, for the placements of one batch.
class PlacementGuide
{
public:
    virtual ~PlacementGuide() = default;

    /// False when the job should not be placed on the host at present.
    virtual bool mayPlace(const std::string &host, const JobSpec &job) = 0;

    /// The host with the lowest cost is preferred.
    virtual int cost(const std::string &host, const JobSpec &job) = 0;

    /// Called when mayPlace rejected every host that has room. True when the job is placed on one of them all the same.
    virtual bool mayOverride(const JobSpec &job, std::int64_t slackSeconds) = 0;

    /// Called after each placement, so that later decisions of the batch take it into account.
    virtual void placed(const std::string &host, const JobSpec &job) = 0;
};

/// Orders the pending jobs and chooses a host for each. It keeps no state between calls.
class BatchScheduler
{
public:
    struct Options {
        /// False selects the baseline policy: submission order and first fit.
        bool adaptivePolicy = true;
        /// Team quotas are divided by the number of shards, because each leader sees only the jobs of its own shard.
        std::uint32_t shardCount = 1;
    };

    explicit BatchScheduler(Options options);

    /// Seconds between the expected end and the deadline when the remaining work starts at `unixSeconds`. Uses the
    /// measured run time of the job's class, or the declared run time when there is none. Returns the largest value for
    /// a job without a deadline.
    static std::int64_t slackSeconds(const ShardState &state, const JobRecord &job, std::int64_t unixSeconds);

    /// Returns at most `limit` placements. No host is assigned more than its capacity and no team more than its quota.
    /// `guide` may be null.
    std::vector<Placement> place(const ShardState &state,
                                 std::vector<WaitingJob> waiting,
                                 std::vector<SchedulableHost> hosts,
                                 const Sheet *sheet,
                                 std::int64_t unixSeconds,
                                 std::size_t limit,
                                 PlacementGuide *guide = nullptr) const;

    /// True when the job fits into its team's quota beside the assignments of the state.
    bool isWithinQuota(const ShardState &state, const JobSpec &spec, const Sheet *sheet) const;

    /// The reason why the job cannot run on any host of these capacities even when the host is idle; empty when it can.
    static std::string unrunnableReason(const JobSpec &spec, std::span<const Resources> capacities, const Sheet *sheet);

private:
    void sortByPriority(const ShardState &state, std::vector<WaitingJob> &waiting, std::int64_t unixSeconds) const;
    [[nodiscard]] SchedulableHost *chooseHost(const WaitingJob &waiting,
                                              std::vector<SchedulableHost> &hosts,
                                              PlacementGuide *guide,
                                              bool overrides) const;
    [[nodiscard]] bool isWithinQuota(const TeamEntry *team, const Resources &used, const JobSpec &spec) const;
    [[nodiscard]] Resources quotaShare(const TeamEntry &team) const;

    Options m_options;
};

} // namespace Carobflow
