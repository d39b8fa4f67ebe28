#include "carobflow/scheduler/host.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Consecutive failures after which a host is suspect. With the usual failure rate of tasks (1 in 20), three in a row
/// occur by chance with a probability of about 1 in 8,000.
constexpr std::uint32_t SuspectAfterFailures = 3;
/// Fraction of their reservation that tasks of services leave idle on average; their load is about one half.
constexpr double ServingIdleFraction = 0.45;
/// About the shortest duration of a fault of an upstream in the records of the deployments.
constexpr Milliseconds SuspectTime{4000};
/// About the run time of one task of the longest kind in the deployments.
constexpr Milliseconds ProbationTime{2500};

} // namespace

bool Host::apply(const HostReport &report, TimePoint now)
{
    const bool replaced = report.upstream && m_report.upstream
        && report.upstream->identity != m_report.upstream->identity;
    m_report.host = report.host;
    m_report.address = report.address;
    m_report.dataCentre = report.dataCentre;
    m_report.agentIncarnation = report.agentIncarnation;
    m_report.fencedEpoch = report.fencedEpoch;
    if (report.upstream) {
        m_report.upstream = report.upstream;
    }
    m_report.silence = report.silence;
    m_report.leaseLeft = report.leaseLeft;
    m_report.tailPressure = report.tailPressure;
    m_reportedAt = now;
    m_reported = true;
    if (replaced) {
        m_consecutiveFailures = 0;
        m_suspectUntil = {};
        m_onProbation = false;
    }
    return replaced;
}

bool Host::hasLabel(std::string_view label) const
{
    return m_report.upstream && std::ranges::find(m_report.upstream->labels, label) != m_report.upstream->labels.end();
}

void Host::reserve(const StepSpec &step)
{
    if (step.fillsLeftover) {
        m_fillerCpu += step.request.cpuMillis;
        m_reserved.memoryMiB += step.request.memoryMiB;
        m_reserved.accelerators += step.request.accelerators;
    } else {
        m_reserved += step.request;
    }
    if (step.serves()) {
        ++m_servingTasks;
        ++m_servingImages[step.image];
        m_servingCpu += step.request.cpuMillis;
    }
}

void Host::release(const StepSpec &step)
{
    if (step.fillsLeftover) {
        m_fillerCpu -= step.request.cpuMillis;
        m_reserved.memoryMiB -= step.request.memoryMiB;
        m_reserved.accelerators -= step.request.accelerators;
    } else {
        m_reserved -= step.request;
    }
    if (step.serves()) {
        --m_servingTasks;
        if (const auto image = m_servingImages.find(step.image); --image->second == 0) {
            m_servingImages.erase(image);
        }
        m_servingCpu -= step.request.cpuMillis;
    }
}

void Host::addRecentStart(std::string_view job, bool suspected)
{
    RecentStarts &starts = m_recentStarts[std::string(job)];
    ++starts.count;
    starts.suspected += suspected ? 1 : 0;
}

void Host::removeRecentStart(std::string_view job, bool suspected)
{
    const auto found = m_recentStarts.find(job);
    if (found == m_recentStarts.end()) {
        return;
    }
    found->second.suspected -= suspected ? 1 : 0;
    if (--found->second.count == 0) {
        m_recentStarts.erase(found);
    }
}

bool Host::admitsStart(std::string_view job, bool suspected) const
{
    return std::ranges::all_of(m_recentStarts, [&](const auto &entry) {
        return entry.first == job || (!suspected && entry.second.suspected == 0);
    });
}

bool Host::hasSuspectedStart() const
{
    return std::ranges::any_of(m_recentStarts, [](const auto &entry) { return entry.second.suspected > 0; });
}

std::uint32_t Host::servingTasks(std::string_view image) const
{
    const auto found = m_servingImages.find(image);
    return found == m_servingImages.end() ? 0 : found->second;
}

std::size_t Host::otherServingImages(std::string_view image) const
{
    return m_servingImages.size() - (m_servingImages.contains(image) ? 1 : 0);
}

bool Host::fits(const StepSpec &step) const
{
    if (!m_report.upstream) {
        return false;
    }
    Resources needed = m_reserved;
    needed.memoryMiB += step.request.memoryMiB;
    needed.accelerators += step.request.accelerators;
    if (!step.fillsLeftover) {
        needed.cpuMillis += step.request.cpuMillis;
    }
    return needed.fitsIn(m_report.upstream->capacity);
}

Resources Host::free() const
{
    Resources free = m_report.upstream ? m_report.upstream->capacity : m_reserved;
    free -= m_reserved;
    return free;
}

std::int64_t Host::leftoverCpu() const
{
    if (!m_report.upstream) {
        return 0;
    }
    const auto idle = static_cast<std::int64_t>(static_cast<double>(m_servingCpu) * ServingIdleFraction);
    return m_report.upstream->capacity.cpuMillis - m_reserved.cpuMillis + idle - m_fillerCpu;
}

void Host::recordFailure(TimePoint now)
{
    if (++m_consecutiveFailures >= SuspectAfterFailures) {
        m_suspectUntil = now + SuspectTime;
        m_onProbation = true;
    }
}

void Host::recordPlacement(TimePoint now)
{
    if (m_onProbation) {
        m_suspectUntil = std::max(m_suspectUntil, now + ProbationTime);
    }
}

void Host::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_suspectUntil = {};
    m_onProbation = false;
}

void Host::recordStall(TimePoint now)
{
    m_onProbation = true;
    m_suspectUntil = now + SuspectTime;
}

} // namespace Carobflow::Scheduling
