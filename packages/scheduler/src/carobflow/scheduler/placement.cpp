#include "carobflow/scheduler/placement.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Exceeds all other terms of a score, so that suspect hosts come last when they are not excluded.
constexpr double SuspectPenalty = 1000;
/// Penalty of a host on which the same task has failed; exceeds all terms but SuspectPenalty.
constexpr double FailedHerePenalty = 500;
/// Penalty of a host on which services held the task back.
constexpr double MovedFromPenalty = 20;
/// A task on a distant rack runs up to three times as long, which outweighs any difference in free capacity.
constexpr double FarRackPenalty = 10;

/// Penalty for the copy of a task in the rack of another attempt, which may be slow for a reason that the rack shares.
/// Exceeds the bonus of hosts with services; the distance to the data weighs more.
constexpr double SameRackPenalty = 9.5;

/// Penalty of a host for each multiple of the usual run time, up to this factor. Outweighs the bonus of hosts with
/// services.
constexpr double SlowHostPenalty = 10;
constexpr double LargestSlowFactor = 3;

/// Weight of the fraction of a service's headroom that is lost. Losing all of it outweighs the free fraction of a host,
/// which is at most 1.
constexpr double LossPenalty = 5;
/// Assumed loss where a filler would leave a service too little headroom.
constexpr double MaxLoss = 10;
/// Score per service task on the host. Outweighs the free fraction of a host, which is at most 1.
constexpr double ServingHostBonus = 2;
constexpr std::uint32_t MaxServingCounted = 4;
/// Score per service task of the same image, and penalty of each other image of services. The penalty outweighs the
/// bonus of a packed host, so that a host without services is preferred to a mixed one.
constexpr double SameImageBonus = 4;
constexpr double OtherImagePenalty = 9;

std::uint32_t countOnHost(std::span<const Task> tasks, const Host &host)
{
    std::uint32_t count = 0;
    for (const Task &task : tasks) {
        count += std::ranges::count(task.attempts, host.name(), &Attempt::host);
    }
    return count;
}

} // namespace

bool Placement::isAllowed(const Host &host, const Job &job, const TaskId &id) const
{
    const UpstreamDescription *upstream = host.upstream();
    const StepSpec &step = job.step(id);
    if (upstream == nullptr || upstream->draining || upstream->service != job.queue().service
        || m_view.isEvacuated(upstream->dataCentre)) {
        return false;
    }
    if (!step.requiredLabel.empty() && !host.hasLabel(step.requiredLabel)) {
        return false;
    }
    if (!host.admitsStart(job.spec().id, job.findTask(id)->suspected)) {
        return false;
    }
    const auto tasks = job.stepTasks(id.occurrence, id.step);
    if (step.maxPerUpstream > 0 && countOnHost(tasks, host) >= step.maxPerUpstream) {
        return false;
    }
    // A speculative copy is only useful on another host.
    return std::ranges::find(tasks[id.index].attempts, host.name(), &Attempt::host) == tasks[id.index].attempts.end();
}

std::optional<Refusal> Placement::refusalOf(const Host &host, const Job &job, const TaskId &id) const
{
    const StepSpec &step = job.step(id);
    if (!host.fits(step)) {
        return host.freeMemory() < step.request.memoryMiB ? Refusal::Memory : Refusal::Processor;
    }
    if (step.fillsLeftover && m_options.allowsInterference) {
        // The left-over processor time may be shared with other fillers, so only reservations are considered.
        if (!host.fits({.request = step.request})) {
            return Refusal::Processor;
        }
    } else if (step.fillsLeftover && host.leftoverCpu() < step.request.cpuMillis) {
        return Refusal::Leftover;
    } else if (step.fillsLeftover && host.freeMemory() < m_options.fillerMemoryReserve) {
        return Refusal::Memory;
    }
    return isAllowed(host, job, id) ? std::nullopt : std::optional(Refusal::Excluded);
}

bool Placement::isSuitable(const Host &host, const Job &job, const TaskId &id, TimePoint now) const
{
    if (host.isSuspect(now) || !isAllowed(host, job, id)) {
        return false;
    }
    const StepSpec &step = job.step(id);
    return !step.fillsLeftover
        || m_fillerAdmission.expectedLoss(host.name(), step.image, coresOf(step.request.cpuMillis), now).has_value();
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
        // Packs services and short tasks onto the same hosts, which leaves hosts without services to fillers.
        score += std::min(host.servingTasks(), MaxServingCounted) * ServingHostBonus;
    }
    if (m_options.groupsServices && step.serves()) {
        score += std::min(host.servingTasks(step.image), MaxServingCounted) * SameImageBonus
            - static_cast<double>(host.otherServingImages(step.image)) * OtherImagePenalty;
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
    if (m_options.hostSpeed != nullptr) {
        score -= SlowHostPenalty * (std::min(LargestSlowFactor, m_options.hostSpeed->factor(host.name(), now)) - 1);
    }
    const Task &task = *job.findTask(id);
    for (const Attempt &attempt : task.attempts) {
        const auto other = std::ranges::find(m_hosts, attempt.host, &Host::name);
        score -= other != m_hosts.end() && (*other)->rack() == host.rack() ? SameRackPenalty : 0;
    }
    if (std::ranges::find(task.movedFrom, host.name()) != task.movedFrom.end()) {
        score -= MovedFromPenalty;
    }
    for (const auto *hosts : {&task.failedOn, &task.crashedOn}) {
        if (std::ranges::find(*hosts, host.name()) != hosts->end()) {
            score -= FailedHerePenalty;
        }
    }
    return score;
}

bool Placement::avoidsSuspects(TimePoint now) const
{
    const auto suspects = std::ranges::count_if(m_hosts, [&](const Host *host) { return host->isSuspect(now); });
    return static_cast<std::size_t>(suspects) * 2 <= m_hosts.size();
}

Host *Placement::choose(const Job &job, const TaskId &id, TimePoint now)
{
    const StepSpec &step = job.step(id);
    if (m_unplaceable.contains(job, step)) {
        return nullptr;
    }
    const bool avoidsSuspect = avoidsSuspects(now);
    m_comparisons += m_hosts.size();
    Refusals refusals;
    Host *best = nullptr;
    double bestScore = 0;
    for (Host *host : m_hosts) {
        const std::optional<Refusal> refusal = avoidsSuspect && host->isSuspect(now) ? Refusal::Suspect
                                                                                     : refusalOf(*host, job, id);
        if (refusal) {
            refusals.add(*refusal);
            continue;
        }
        const std::optional<double> fillerLoss = step.fillsLeftover
            ? m_fillerAdmission.expectedLoss(host->name(), step.image, coresOf(step.request.cpuMillis), now)
            : 0;
        if (!fillerLoss && !m_options.allowsInterference) {
            refusals.add(Refusal::Headroom);
            continue;
        }
        const double value = score(*host, job, id, fillerLoss.value_or(MaxLoss), now);
        if (best == nullptr || value > bestScore) {
            best = host;
            bestScore = value;
        }
    }
    if (best == nullptr) {
        (step.fillsLeftover ? m_fillerRefusals : m_otherRefusals).add(refusals);
    }
    // A host that keeps suspected tasks apart may still take a task of another job.
    if (best == nullptr && !job.findTask(id)->suspected && std::ranges::none_of(m_hosts, &Host::hasSuspectedStart)) {
        m_unplaceable.add(job, step);
    }
    return best;
}

} // namespace Carobflow::Scheduling
