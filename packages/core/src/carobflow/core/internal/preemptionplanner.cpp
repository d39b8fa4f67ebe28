#include "carobflow/core/internal/preemptionplanner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Carobflow
{

namespace
{

/// A task has 3 s to write its checkpoint before it is stopped. If the job is still pending after this time, another
/// host is tried.
constexpr Milliseconds ReservationTimeout{5000};

} // namespace

void PreemptionPlanner::reset()
{
    m_reservations.clear();
}

void PreemptionPlanner::update(TimePoint now, const ShardState &state)
{
    std::erase_if(m_reservations, [&](const auto &reservation) {
        return now >= reservation.second.until || !state.pending().contains(reservation.first);
    });
}

bool PreemptionPlanner::isReserved(std::string_view host) const
{
    return std::ranges::any_of(m_reservations,
                               [host](const auto &reservation) { return reservation.second.host == host; });
}

PreemptionPlanner::Plan
PreemptionPlanner::planOnHost(const Inputs &inputs, const SchedulableHost &host, const Resources &needed)
{
    Plan plan{.evicted = {}, .slackSeconds = std::numeric_limits<std::int64_t>::max(), .sufficient = false};
    Resources reserved = host.reserved;
    std::vector<std::pair<std::int64_t, const JobRecord *>> candidates;
    for (const std::string &id : inputs.state.active()) {
        const JobRecord &job = *inputs.state.find(id);
        if (job.host != host.info.name) {
            continue;
        }
        if (job.state == JobState::Evicting) {
            // The task is already being evicted, so its resources count as free.
            reserved -= job.spec.declared;
        } else if (job.spec.urgency != Urgency::Urgent && inputs.mayEvict(id)) {
            candidates.emplace_back(BatchScheduler::slackSeconds(inputs.state, job, inputs.unixSeconds), &job);
        }
    }
    std::ranges::stable_sort(candidates, std::ranges::greater(), &std::pair<std::int64_t, const JobRecord *>::first);
    for (const auto &[slack, job] : candidates) {
        if ((reserved + needed).fitsIn(host.info.capacity)) {
            break;
        }
        reserved -= job->spec.declared;
        plan.evicted.push_back(job);
        plan.slackSeconds = slack;
    }
    plan.sufficient = (reserved + needed).fitsIn(host.info.capacity);
    return plan;
}

std::vector<TaskStopRequested>
PreemptionPlanner::planPreemption(const Inputs &inputs, const WaitingJob &waiting, std::size_t limit)
{
    const JobSpec &spec = waiting.job->spec;
    if (m_reservations.contains(spec.id)) {
        return {};
    }
    const SchedulableHost *best = nullptr;
    Plan bestPlan;
    const auto rank = [](const Plan &plan) { return std::pair(plan.evicted.size(), -plan.slackSeconds); };
    for (const SchedulableHost &host : inputs.hosts) {
        const bool avoided = std::ranges::find(waiting.avoidedHosts, host.info.name) != waiting.avoidedHosts.end();
        if (avoided || host.onTrial || isReserved(host.info.name) || !spec.declared.fitsIn(host.info.capacity)) {
            continue;
        }
        Plan plan = planOnHost(inputs, host, spec.declared);
        if (plan.sufficient && plan.evicted.size() <= limit && (best == nullptr || rank(plan) < rank(bestPlan))) {
            best = &host;
            bestPlan = std::move(plan);
        }
    }
    if (best == nullptr) {
        return {};
    }
    m_reservations.emplace(spec.id, Reservation{.host = best->info.name, .until = inputs.now + ReservationTimeout});
    std::vector<TaskStopRequested> stops;
    for (const JobRecord *job : bestPlan.evicted) {
        stops.push_back({.job = job->spec.id, .fence = job->fence, .reason = "room for the urgent job " + spec.id});
    }
    return stops;
}

} // namespace Carobflow
