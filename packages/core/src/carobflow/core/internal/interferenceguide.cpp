#include "carobflow/core/internal/interferenceguide.h"

#include <algorithm>
#include <cmath>

namespace Carobflow
{

namespace
{

/// Services whose last window is older are taken as idle or gone.
constexpr Seconds WindowLifetime{30};
/// Windows with fewer requests say too little about a tail.
constexpr std::uint32_t MinCompleted = 20;
/// Weight of a new window in the smoothed tail.
constexpr double NewWindowWeight = 0.4;
/// Costs differ by quarters of the deadline, so that noise of the tails does not override an even spread.
constexpr double CostSteps = 4;
/// A job that no host may take waits for this long at most, unless its slack is used up before. It equals the hold-off
/// after an eviction.
constexpr Seconds MaxBlocked{60};
constexpr std::int64_t MinSlackSeconds = 30;
/// Between two such jobs, so that the controller sees the effect of one before the next.
constexpr Seconds InsistInterval{2};

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

InterferenceGuide::InterferenceGuide(Inputs inputs, Patience &patience)
    : m_inputs(inputs)
    , m_patience(patience)
{
    for (const std::string &id : m_inputs.state.active()) {
        const JobRecord &job = *m_inputs.state.find(id);
        m_running[job.host].push_back(job.spec.jobClass);
    }
    std::erase_if(m_patience.blockedSince,
                  [this](const auto &blocked) { return !m_inputs.state.pending().contains(blocked.first); });
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
    // Tasks that started or ended since the window change the tail that it measured.
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
    auto &byClass = m_assessed[host];
    if (const auto known = byClass.find(jobClass); known != byClass.end()) {
        return known->second;
    }
    Assessment assessment{.allowed = !m_inputs.controller.holdsOff(m_inputs.now, host, jobClass), .cost = 0};
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
    const TimePoint since = m_patience.blockedSince.try_emplace(job.id, m_inputs.now).first->second;
    const bool waitedEnough = slackSeconds < MinSlackSeconds || m_inputs.now - since >= MaxBlocked;
    if (!waitedEnough || m_inputs.now - m_patience.insistedAt < InsistInterval) {
        return false;
    }
    m_patience.insistedAt = m_inputs.now;
    return true;
}

void InterferenceGuide::placed(const std::string &host, const JobSpec &job)
{
    m_running[host].push_back(job.jobClass);
    m_assessed.erase(host);
}

} // namespace Carobflow
