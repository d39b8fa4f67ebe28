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

/// Rules that limit and rank the hosts of a job beyond their free resources, for the placements of one batch.
class PlacementGuide
{
public:
    virtual ~PlacementGuide() = default;

    /// False when the job is to be kept away from the host for now.
    virtual bool mayPlace(const std::string &host, const JobSpec &job) = 0;

    /// Hosts with a lower cost come first.
    virtual int cost(const std::string &host, const JobSpec &job) = 0;

    /// Asked when mayPlace left no host with room: true when the job is placed in spite of it.
    virtual bool mayOverride(const JobSpec &job, std::int64_t slackSeconds) = 0;

    virtual void placed(const std::string &host, const JobSpec &job) = 0;
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
    /// quota. `guide` may be null.
    std::vector<Placement> place(const ShardState &state,
                                 std::vector<WaitingJob> waiting,
                                 std::vector<SchedulableHost> hosts,
                                 const Sheet *sheet,
                                 std::int64_t unixSeconds,
                                 std::size_t limit,
                                 PlacementGuide *guide = nullptr) const;

    /// True when the job would not exceed its team's quota with the assignments of the state.
    bool isWithinQuota(const ShardState &state, const JobSpec &spec, const Sheet *sheet) const;

    /// Why the job can run on no host of these capacities even when it is idle; empty when it can.
    static std::string whyUnrunnable(const JobSpec &spec, std::span<const Resources> capacities, const Sheet *sheet);

private:
    void sortByPriority(const ShardState &state, std::vector<WaitingJob> &waiting, std::int64_t unixSeconds) const;
    [[nodiscard]] SchedulableHost *chooseHost(const WaitingJob &waiting,
                                              std::vector<SchedulableHost> &hosts,
                                              PlacementGuide *guide,
                                              bool insists) const;
    [[nodiscard]] bool isWithinQuota(const TeamEntry *team, const Resources &used, const JobSpec &spec) const;
    [[nodiscard]] Resources quotaShare(const TeamEntry &team) const;

    Options m_options;
};

} // namespace Carobflow
