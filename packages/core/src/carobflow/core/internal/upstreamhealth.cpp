#include "carobflow/core/internal/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace Carobflow
{

namespace
{

constexpr double NanosecondsPerMillisecond = 1e6;
/// Weight of one sample in the latency estimate.
constexpr double SampleWeight = 0.2;
/// Half-life of the latency estimate of an idle upstream. Without the decay, the slowest upstream of a service would
/// never be chosen and would keep an outdated estimate.
constexpr double IdleHalfLifeMilliseconds = 5000;
/// A load report of an agent is ignored after this time.
constexpr double ReportLifetimeMilliseconds = 1000;
/// Failed probes double the ejection time up to a factor of 2^3.
constexpr std::uint32_t MaxDoublings = 3;
/// Refusals without an answer eject an upstream only from this multiple of the failure limit: an overloaded agent
/// refuses many requests but still answers others.
constexpr std::uint32_t RefusalsPerFailure = 2;

std::int64_t ticks(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

std::int64_t ticks(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
}

double millisecondsBetween(std::int64_t from, std::int64_t until)
{
    return static_cast<double>(until - from) / NanosecondsPerMillisecond;
}

} // namespace

UpstreamHealth::UpstreamHealth(Options options)
    : m_options(options)
{
}

void UpstreamHealth::onAnnounced(TimePoint now)
{
    m_announcedAt.store(ticks(now));
}

bool UpstreamHealth::isAnnouncedSince(TimePoint earliest) const
{
    return m_announcedAt.load() >= ticks(earliest);
}

void UpstreamHealth::onRestart(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_ejectedUntil != Never) {
        m_ejectedUntil = ticks(now);
    }
}

UpstreamHealth::Availability UpstreamHealth::availability(TimePoint now) const
{
    const auto ejectedUntil = m_ejectedUntil.load();
    if (ejectedUntil == Never) {
        return Availability::Available;
    }
    return ticks(now) >= ejectedUntil && !m_probing ? Availability::ProbeDue : Availability::Ejected;
}

UpstreamHealth::Load UpstreamHealth::load(TimePoint time) const
{
    const auto now = ticks(time);
    const std::uint32_t own = m_outstanding;
    Load result;
    result.requests = own;
    if (const auto at = m_otherRequestsAt.load(); at != Never) {
        const double freshness = 1 - millisecondsBetween(at, now) / ReportLifetimeMilliseconds;
        result.requests += m_otherRequests * std::clamp(freshness, 0.0, 1.0);
    }
    result.penalty = 1.0 + m_failures + m_refusals;

    const double latency = m_latency;
    if (latency >= 0) {
        const double idle = own > 0 ? 0 : millisecondsBetween(m_latencyAt, now);
        result.latency = idle <= 0 ? latency : latency * std::exp2(-idle / IdleHalfLifeMilliseconds);
    }
    // An upstream that has stopped answering would appear unloaded once its attempts have timed out.
    if (const auto progressAt = m_progressAt.load(); own > 0 && progressAt != Never) {
        result.stalledMs = std::max(0.0, millisecondsBetween(progressAt, now));
    }
    return result;
}

std::uint32_t UpstreamHealth::outstanding() const
{
    return m_outstanding;
}

void UpstreamHealth::begin(TimePoint now)
{
    if (m_outstanding == 0) {
        m_progressAt = ticks(now);
    }
    ++m_outstanding;
}

bool UpstreamHealth::tryBeginProbe(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (availability(now) != Availability::ProbeDue) {
        return false;
    }
    m_probing = true;
    return true;
}

void UpstreamHealth::settle(TimePoint time, AttemptResult result, Duration latency, std::uint32_t reported, bool probe)
{
    const auto now = ticks(time);
    const double milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    const std::scoped_lock lock(m_mutex);
    const std::uint32_t own = m_outstanding.fetch_sub(1) - 1;
    if (probe) {
        m_probing = false;
    }
    if (result == AttemptResult::Answered || result == AttemptResult::NotRun) {
        m_otherRequests = reported > own ? reported - own : 0;
        m_otherRequestsAt = now;
    }

    switch (result) {
    case AttemptResult::Answered:
        onAnswer(now, milliseconds);
        // An answer to an attempt from before the ejection does not show that the upstream has recovered.
        if (m_ejectedUntil != Never && (probe || now - ticks(latency) > m_ejectedAt)) {
            m_ejectedUntil = Never;
            m_failedProbes = 0;
            // The earlier estimate includes the time of the failed attempts.
            m_latency = milliseconds;
        }
        break;
    case AttemptResult::NotRun:
        ++m_refusals;
        if (probe) {
            onProbeFailed(now);
        } else if (m_refusals >= RefusalsPerFailure * m_options.ejectAfterFailures
                   && (m_answeredAt == Never || now - m_answeredAt >= ticks(m_options.ejectionTime))) {
            eject(now);
        }
        break;
    case AttemptResult::Unknown:
        ++m_failures;
        addLatency(now, std::max(milliseconds, m_latency.load()));
        if (probe) {
            m_failedProbes = std::min(m_failedProbes + 1, MaxDoublings);
            onProbeFailed(now);
        } else if (m_failures >= m_options.ejectAfterFailures) {
            eject(now);
        }
        break;
    case AttemptResult::Cancelled:
        // The upstream took at least this long; nothing else is known.
        if (milliseconds > m_latency) {
            addLatency(now, milliseconds);
        }
        break;
    }
}

void UpstreamHealth::onAnswer(std::int64_t now, double milliseconds)
{
    m_failures = 0;
    m_refusals = 0;
    m_answeredAt = now;
    m_progressAt = now;
    addLatency(now, milliseconds);
}

void UpstreamHealth::addLatency(std::int64_t now, double milliseconds)
{
    const double previous = m_latency;
    m_latency = previous < 0 ? milliseconds : previous + SampleWeight * (milliseconds - previous);
    m_latencyAt = now;
}

void UpstreamHealth::eject(std::int64_t now)
{
    // Attempts from before an ejection do not prolong it.
    if (m_options.canEject && m_ejectedUntil == Never) {
        m_ejectedAt = now;
        m_ejectedUntil = now + ticks(m_options.ejectionTime);
    }
}

void UpstreamHealth::onProbeFailed(std::int64_t now)
{
    m_ejectedAt = now;
    m_ejectedUntil = now + (ticks(m_options.ejectionTime) << m_failedProbes);
}

} // namespace Carobflow
