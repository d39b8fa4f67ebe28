#include "carobflow/scheduler/host.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Three failures without a success in between: with the usual share of failing tasks (1 in 20) this is a chance of
/// about 1 in 8,000.
constexpr std::uint32_t SuspectAfterFailures = 3;
/// Part of their reservation that tasks that serve leave unused on average: their load is about one half.
constexpr double ServingIdlePart = 0.45;
/// About the shortest time for which a faulty upstream stays faulty in the sites' records.
constexpr Milliseconds SuspectTime{4000};
/// About the time of one task of the sites' longest kind.
constexpr Milliseconds TrialTime{2500};

} // namespace

bool Host::apply(const HostReport &report, TimePoint now)
{
    const bool replaced = report.upstream && m_report.upstream
        && report.upstream->identity != m_report.upstream->identity;
    std::optional<UpstreamDescription> known = std::move(m_report.upstream);
    m_report = report;
    if (!m_report.upstream) {
        m_report.upstream = std::move(known);
    }
    m_reportedAt = now;
    m_reported = true;
    if (replaced) {
        m_failuresInARow = 0;
        m_suspectUntil = {};
        m_onTrial = false;
    }
    return replaced;
}

bool Host::isLabelled(std::string_view label) const
{
    return m_report.upstream && std::ranges::find(m_report.upstream->labels, label) != m_report.upstream->labels.end();
}

void Host::hold(const StepSpec &step)
{
    if (step.fillsLeftover) {
        m_fillerCpu += step.request.cpuMillis;
        m_reserved.memoryMiB += step.request.memoryMiB;
        m_reserved.accelerators += step.request.accelerators;
    } else {
        m_reserved += step.request;
    }
    if (step.serves()) {
        ++m_serving;
        m_servingCpu += step.request.cpuMillis;
    }
}

void Host::free(const StepSpec &step)
{
    if (step.fillsLeftover) {
        m_fillerCpu -= step.request.cpuMillis;
        m_reserved.memoryMiB -= step.request.memoryMiB;
        m_reserved.accelerators -= step.request.accelerators;
    } else {
        m_reserved -= step.request;
    }
    if (step.serves()) {
        --m_serving;
        m_servingCpu -= step.request.cpuMillis;
    }
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

std::int64_t Host::leftoverCpu() const
{
    if (!m_report.upstream) {
        return 0;
    }
    const auto idle = static_cast<std::int64_t>(static_cast<double>(m_servingCpu) * ServingIdlePart);
    return m_report.upstream->capacity.cpuMillis - m_reserved.cpuMillis + idle - m_fillerCpu;
}

void Host::noteFailure(TimePoint now)
{
    if (++m_failuresInARow >= SuspectAfterFailures) {
        m_suspectUntil = now + SuspectTime;
        m_onTrial = true;
    }
}

void Host::notePlaced(TimePoint now)
{
    if (m_onTrial) {
        m_suspectUntil = std::max(m_suspectUntil, now + TrialTime);
    }
}

void Host::noteSuccess()
{
    m_failuresInARow = 0;
    m_suspectUntil = {};
    m_onTrial = false;
}

void Host::noteStall(TimePoint now)
{
    m_onTrial = true;
    m_suspectUntil = now + SuspectTime;
}

} // namespace Carobflow::Scheduling
