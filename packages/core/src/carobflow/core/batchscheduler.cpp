#include "carobflow/core/batchscheduler.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace Carobflow
{

namespace
{

constexpr std::int64_t PermilleScale = 1000;

std::int64_t divideUp(std::int64_t amount, std::int64_t divisor)
{
    return (amount + divisor - 1) / divisor;
}

std::int64_t sharePermille(std::int64_t used, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : used * PermilleScale / capacity;
}

/// The share of the most used resource, in permille. Spreading tasks by it limits the slowdown of services on the host.
std::int64_t dominantShare(const Resources &used, const Resources &capacity)
{
    return std::max({sharePermille(used.cpuMillis, capacity.cpuMillis),
                     sharePermille(used.memoryMiB, capacity.memoryMiB),
                     sharePermille(used.accelerators, capacity.accelerators)});
}

std::string describe(const Resources &amount)
{
    return "cpu_millis=" + std::to_string(amount.cpuMillis) + " memory_mib=" + std::to_string(amount.memoryMiB)
        + " accelerators=" + std::to_string(amount.accelerators);
}

bool canHold(const SchedulableHost &host, const Resources &amount)
{
    return (host.reserved + amount).fitsIn(host.info.capacity) && !(host.onTrial && host.tasks > 0);
}

} // namespace

BatchScheduler::BatchScheduler(Options options)
    : m_options(options)
{
}

std::int64_t BatchScheduler::slackSeconds(const ShardState &state, const JobRecord &job, std::int64_t unixSeconds)
{
    if (job.spec.deadlineUnixSeconds == 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    const ClassRunTime *measured = state.runTime(job.spec.jobClass);
    const std::int64_t fullSeconds = measured != nullptr ? measured->milliseconds / 1000 : job.spec.runSeconds;
    const std::int64_t remainingSeconds = fullSeconds * (PermilleScale - job.progressPermille) / PermilleScale;
    return job.spec.deadlineUnixSeconds - unixSeconds - remainingSeconds;
}

void BatchScheduler::sortByPriority(const ShardState &state,
                                    std::vector<WaitingJob> &waiting,
                                    std::int64_t unixSeconds) const
{
    using Rank = std::tuple<bool, std::int64_t, std::uint64_t>;
    std::vector<std::pair<Rank, WaitingJob>> ranked;
    ranked.reserve(waiting.size());
    for (WaitingJob &entry : waiting) {
        const JobRecord &job = *entry.job;
        const Rank rank = m_options.adaptivePolicy
            ? Rank{job.spec.urgency != Urgency::Urgent, slackSeconds(state, job, unixSeconds), job.order}
            : Rank{false, 0, job.order};
        ranked.emplace_back(rank, std::move(entry));
    }
    std::ranges::sort(ranked, {}, &std::pair<Rank, WaitingJob>::first);
    waiting.clear();
    for (auto &[rank, entry] : ranked) {
        waiting.push_back(std::move(entry));
    }
}

SchedulableHost *BatchScheduler::chooseHost(const WaitingJob &waiting,
                                            std::vector<SchedulableHost> &hosts,
                                            PlacementGuide *guide,
                                            bool overrides) const
{
    const JobSpec &spec = waiting.job->spec;
    const Resources &amount = spec.declared;
    SchedulableHost *best = nullptr;
    std::tuple<bool, int, std::int64_t> bestCost;
    for (SchedulableHost &host : hosts) {
        if (!canHold(host, amount)
            || std::ranges::find(waiting.avoidedHosts, host.info.name) != waiting.avoidedHosts.end()) {
            continue;
        }
        if (!m_options.adaptivePolicy) {
            return &host;
        }
        const bool wastesAccelerators = amount.accelerators == 0 && host.info.capacity.accelerators > 0;
        if (guide != nullptr && !overrides && !guide->mayPlace(host.info.name, spec)) {
            continue;
        }
        const std::tuple cost(wastesAccelerators,
                              guide == nullptr ? 0 : guide->cost(host.info.name, spec),
                              dominantShare(host.reserved + amount, host.info.capacity));
        if (best == nullptr || cost < bestCost) {
            best = &host;
            bestCost = cost;
        }
    }
    return best;
}

Resources BatchScheduler::quotaShare(const TeamEntry &team) const
{
    const std::int64_t shards = std::max<std::int64_t>(m_options.shardCount, 1);
    return {.cpuMillis = divideUp(team.quota.cpuMillis, shards),
            .memoryMiB = divideUp(team.quota.memoryMiB, shards),
            .accelerators = divideUp(team.quota.accelerators, shards)};
}

std::vector<Placement> BatchScheduler::place(const ShardState &state,
                                             std::vector<WaitingJob> waiting,
                                             std::vector<SchedulableHost> hosts,
                                             const Sheet *sheet,
                                             std::int64_t unixSeconds,
                                             std::size_t limit,
                                             PlacementGuide *guide) const
{
    std::map<std::string, Resources, std::less<>> used;
    for (const std::string &id : state.active()) {
        const JobSpec &spec = state.find(id)->spec;
        used[spec.team] += spec.declared;
    }
    sortByPriority(state, waiting, unixSeconds);
    std::vector<Placement> placements;
    for (const WaitingJob &entry : waiting) {
        if (placements.size() >= limit) {
            break;
        }
        const JobSpec &spec = entry.job->spec;
        const TeamEntry *team = sheet == nullptr ? nullptr : sheet->findTeam(spec.team);
        Resources &teamUse = used[spec.team];
        if (!isWithinQuota(team, teamUse, spec)) {
            continue;
        }
        SchedulableHost *host = chooseHost(entry, hosts, guide, false);
        if (host == nullptr && guide != nullptr) {
            SchedulableHost *fallback = chooseHost(entry, hosts, guide, true);
            if (fallback != nullptr && guide->mayOverride(spec, slackSeconds(state, *entry.job, unixSeconds))) {
                host = fallback;
            }
        }
        if (host == nullptr) {
            continue;
        }
        if (guide != nullptr) {
            guide->placed(host->info.name, spec);
        }
        host->reserved += spec.declared;
        ++host->tasks;
        teamUse += spec.declared;
        placements.push_back({.job = spec.id, .host = host->info.name});
    }
    return placements;
}

bool BatchScheduler::isWithinQuota(const TeamEntry *team, const Resources &used, const JobSpec &spec) const
{
    // A job larger than the shard's share of the quota may run when its team runs nothing else in the shard.
    return team == nullptr || used == Resources{} || (used + spec.declared).fitsIn(quotaShare(*team));
}

bool BatchScheduler::isWithinQuota(const ShardState &state, const JobSpec &spec, const Sheet *sheet) const
{
    Resources used;
    for (const std::string &id : state.active()) {
        const JobSpec &other = state.find(id)->spec;
        used += other.team == spec.team ? other.declared : Resources{};
    }
    return isWithinQuota(sheet == nullptr ? nullptr : sheet->findTeam(spec.team), used, spec);
}

std::string
BatchScheduler::unrunnableReason(const JobSpec &spec, std::span<const Resources> capacities, const Sheet *sheet)
{
    const TeamEntry *team = sheet == nullptr ? nullptr : sheet->findTeam(spec.team);
    if (team != nullptr && !spec.declared.fitsIn(team->quota)) {
        return "needs " + describe(spec.declared) + " but the quota of team " + team->name + " is "
            + describe(team->quota) + ": correct the job or the quota in the sheet";
    }
    Resources largest;
    for (const Resources &capacity : capacities) {
        if (spec.declared.fitsIn(capacity)) {
            return {};
        }
        largest = maxOf(largest, capacity);
    }
    return "needs " + describe(spec.declared) + " but no host has that; the largest amounts of any host are "
        + describe(largest) + ": correct the job's sizes";
}

} // namespace Carobflow
