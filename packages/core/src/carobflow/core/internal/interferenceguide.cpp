#include "carobflow/core/internal/interferenceguide.h"

#include <algorithm>
#include <cmath>

namespace Carobflow
{

namespace
{

/// A service whose last window is older is assumed to be idle or to have left the host.
constexpr Seconds WindowLifetime{30};
/// Windows with fewer completed requests do not give a usable tail latency.
constexpr std::uint32_t MinCompleted = 20;
/// Weight of a new window in the smoothed tail.
constexpr double NewWindowWeight = 0.4;
/// Costs count in quarters of the deadline, so that noise in the tails does not override an even spread of tasks.
constexpr double CostSteps = 4;
/// Longest wait of a job that the rules keep off every host; it ends earlier when the slack of the job runs out. Equals
/// the cooldown after an eviction.
constexpr Seconds MaxDeferral{60};
constexpr std::int64_t MinSlackSeconds = 30;
/// Time between two placements against the rules, so that the controller sees the effect of one before the next.
constexpr Seconds OverrideInterval{2};

} // namespace

void InterferenceGuide::addWindow(Windows &windows, TimePoint now, const std::string &host, const ServiceWindow &window)
{
    if (window.completed < MinCompleted) {
        return;
    }
    const auto [position, added] = windows[host].try_emplace(window.service);
    RecentWindow &recent = position->second;
    const bool restarted = added || now - recent.at > WindowLifetime;
    const double weight = restarted ? 1 : NewWindowWeight;
    recent.tailMilliseconds += weight * (window.p99Milliseconds - recent.tailMilliseconds);
    recent.load += weight * (window.load - recent.load);
    recent.at = now;
    recent.jobClasses = window.jobClasses;
}

InterferenceGuide::InterferenceGuide(Inputs inputs, DeferralState &deferrals)
    : m_inputs(inputs)
    , m_deferrals(deferrals)
{
    for (const std::string &id : m_inputs.state.active()) {
        const JobRecord &job = *m_inputs.state.find(id);
        m_running[job.host].push_back(job.spec.jobClass);
    }
    std::erase_if(m_deferrals.deferredSince,
                  [this](const auto &deferred) { return !m_inputs.state.pending().contains(deferred.first); });
}

bool InterferenceGuide::isRecent(const RecentWindow &window) const
{
    return m_inputs.now - window.at <= WindowLifetime;
}

double InterferenceGuide::effectOf(std::string_view service, const std::string &jobClass, double load) const
{
    return std::log(m_inputs.model.predict(service, jobClass, load).factor);
}

double InterferenceGuide::predictedTail(std::string_view service,
                                        const RecentWindow &window,
                                        const std::vector<std::string> &running,
                                        const std::string &jobClass) const
{
    // Adjusts the measured tail for tasks that started or ended since the window.
    double effect = effectOf(service, jobClass, window.load);
    for (const std::string &other : running) {
        effect += effectOf(service, other, window.load);
    }
    for (const std::string &measured : window.jobClasses) {
        effect -= effectOf(service, measured, window.load);
    }
    return window.tailMilliseconds * std::exp(effect);
}

InterferenceGuide::Assessment InterferenceGuide::assess(const std::string &host, const std::string &jobClass)
{
    auto &byClass = m_assessments[host];
    if (const auto known = byClass.find(jobClass); known != byClass.end()) {
        return known->second;
    }
    Assessment assessment{.allowed = !m_inputs.controller.isCoolingDown(m_inputs.now, host, jobClass), .cost = 0};
    const auto windows = m_inputs.windows.find(host);
    if (windows != m_inputs.windows.end() && m_inputs.sheet != nullptr) {
        for (const auto &[service, window] : windows->second) {
            const auto entry = std::ranges::find(m_inputs.sheet->services, service, &ServiceEntry::name);
            if (entry == m_inputs.sheet->services.end() || !isRecent(window)) {
                continue;
            }
            const double share = predictedTail(service, window, m_running[host], jobClass)
                / static_cast<double>(entry->deadline.count());
            assessment.cost = std::max(assessment.cost, static_cast<int>(std::min(share, 100.0) * CostSteps));
        }
    }
    byClass.emplace(jobClass, assessment);
    return assessment;
}

bool InterferenceGuide::mayPlace(const std::string &host, const JobSpec &job)
{
    return assess(host, job.jobClass).allowed;
}

int InterferenceGuide::cost(const std::string &host, const JobSpec &job)
{
    return assess(host, job.jobClass).cost;
}

bool InterferenceGuide::mayOverride(const JobSpec &job, std::int64_t slackSeconds)
{
    if (job.urgency == Urgency::Urgent) {
        return true;
    }
    const TimePoint since = m_deferrals.deferredSince.try_emplace(job.id, m_inputs.now).first->second;
    const bool waitedEnough = slackSeconds < MinSlackSeconds || m_inputs.now - since >= MaxDeferral;
    if (!waitedEnough || m_inputs.now - m_deferrals.lastOverrideAt < OverrideInterval) {
        return false;
    }
    m_deferrals.lastOverrideAt = m_inputs.now;
    return true;
}

void InterferenceGuide::placed(const std::string &host, const JobSpec &job)
{
    m_running[host].push_back(job.jobClass);
    m_assessments.erase(host);
}

} // namespace Carobflow
