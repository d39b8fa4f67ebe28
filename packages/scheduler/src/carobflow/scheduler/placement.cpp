#include "carobflow/scheduler/placement.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Larger than any other part of a score. It orders the hosts where suspect ones are taken at all.
constexpr double SuspectPenalty = 1000;
/// The same for a host on which this very task has failed.
constexpr double FailedHerePenalty = 500;
/// A task on a far rack runs up to three times as long, which outweighs any difference in free room.
constexpr double FarRackPenalty = 10;

/// Taking the whole headroom of a service outweighs the free part of a host, which is at most 1.
constexpr double LossPenalty = 5;
/// Counted where a filler takes more headroom than there is.
constexpr double LargestLoss = 10;
/// Outweighs the free part of a host, which is at most 1.
constexpr double ServingHostBonus = 2;
constexpr std::uint32_t MostServingCounted = 4;

std::uint32_t countOnHost(std::span<const Task> tasks, const Host &host)
{
    std::uint32_t count = 0;
    for (const Task &task : tasks) {
        count += std::ranges::count(task.attempts, host.name(), &Attempt::host);
    }
    return count;
}

} // namespace

bool Placement::isEligible(const Host &host, const Job &job, const TaskId &id) const
{
    const UpstreamDescription *upstream = host.upstream();
    const StepSpec &step = job.step(id);
    if (upstream == nullptr || upstream->draining || upstream->service != job.queue().service
        || m_view.isEvacuated(upstream->dataCentre)) {
        return false;
    }
    if (!step.requiredLabel.empty() && !host.isLabelled(step.requiredLabel)) {
        return false;
    }
    if (!host.fits(step)) {
        return false;
    }
    if (step.fillsLeftover && m_options.acceptsLoss) {
        // Other fillers may share what is left over; only what is reserved counts.
        if (!host.fits({.request = step.request})) {
            return false;
        }
    } else if (step.fillsLeftover
               && (host.leftoverCpu() < step.request.cpuMillis || host.freeMemory() < m_options.fillerMemoryReserve)) {
        return false;
    }
    const auto tasks = job.stepTasks(id.occurrence, id.step);
    if (step.maxPerUpstream > 0 && countOnHost(tasks, host) >= step.maxPerUpstream) {
        return false;
    }
    // A second copy of a task is only of use on another host.
    return std::ranges::find(tasks[id.index].attempts, host.name(), &Attempt::host) == tasks[id.index].attempts.end();
}

double Placement::score(const Host &host, const Job &job, const TaskId &id, double fillerLoss, TimePoint now) const
{
    const StepSpec &step = job.step(id);
    const Resources &capacity = host.upstream()->capacity;
    double score = static_cast<double>(host.leftoverCpu())
        / static_cast<double>(std::max<std::int64_t>(1, capacity.cpuMillis));
    if (step.fillsLeftover) {
        score -= fillerLoss * LossPenalty;
    } else {
        // Services share hosts with each other and with short work, so that fillers find hosts without services.
        score += std::min(host.servingTasks(), MostServingCounted) * ServingHostBonus;
    }
    if (!step.dataRack.empty() && host.rack() != step.dataRack) {
        score -= FarRackPenalty;
    }
    if (step.tightlyCoupled) {
        for (const Task &task : job.stepTasks(id.occurrence, id.step)) {
            const bool elsewhere = std::ranges::any_of(task.attempts, [&](const Attempt &attempt) {
                const auto other = std::ranges::find(m_hosts, attempt.host, &Host::name);
                return other != m_hosts.end() && (*other)->rack() != host.rack();
            });
            score -= elsewhere ? FarRackPenalty : 0;
        }
    }
    if (host.isSuspect(now)) {
        score -= SuspectPenalty;
    }
    const auto &failedOn = job.findTask(id)->failedOn;
    if (std::ranges::find(failedOn, host.name()) != failedOn.end()) {
        score -= FailedHerePenalty;
    }
    return score;
}

bool Placement::avoidsSuspects(TimePoint now) const
{
    const auto suspects = std::ranges::count_if(m_hosts, [&](const Host *host) { return host->isSuspect(now); });
    return static_cast<std::size_t>(suspects) * 2 <= m_hosts.size();
}

Host *Placement::choose(const Job &job, const TaskId &id, TimePoint now) const
{
    const bool avoidsSuspect = avoidsSuspects(now);
    const StepSpec &step = job.step(id);
    Host *best = nullptr;
    double bestScore = 0;
    for (Host *host : m_hosts) {
        if ((avoidsSuspect && host->isSuspect(now)) || !isEligible(*host, job, id)) {
            continue;
        }
        const std::optional<double> fillerLoss = step.fillsLeftover
            ? m_guide.lossOn(host->name(), step.image, coresOf(step.request.cpuMillis), now)
            : 0;
        if (!fillerLoss && !m_options.acceptsLoss) {
            continue;
        }
        const double value = score(*host, job, id, fillerLoss.value_or(LargestLoss), now);
        if (best == nullptr || value > bestScore) {
            best = host;
            bestScore = value;
        }
    }
    return best;
}

} // namespace Carobflow::Scheduling
