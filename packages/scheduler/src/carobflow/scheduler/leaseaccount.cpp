#include "carobflow/scheduler/leaseaccount.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Covers the delay of a message.
constexpr Milliseconds LeaseMargin{200};
/// Leases are not renewed when the upstream has not answered for this long. Longer than one call for lists with its
/// time-out, 0.8 s.
constexpr Milliseconds RenewalSilenceLimit{1200};

} // namespace

LeaseAccount::LeaseAccount(const LeaseTimes &times, TimePoint now)
    : m_times(times)
{
    onRequested(now, m_times.lease);
}

void LeaseAccount::allowUntil(TimePoint limit)
{
    m_allowedUntil = std::max(m_allowedUntil, limit);
}

void LeaseAccount::onAnswered(TimePoint sentAt, TimePoint receivedAt)
{
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
    m_answeredAt = std::max(m_answeredAt, receivedAt);
}

void LeaseAccount::onUnanswered(TimePoint now)
{
    m_unansweredAt = std::max(m_unansweredAt, now);
}

void LeaseAccount::onAnnounced()
{
    m_confirmedAt = {};
}

void LeaseAccount::onRestarted(TimePoint now)
{
    m_formerExpireBy = std::max(m_formerExpireBy, now + m_times.untilFreeAfterRestart());
}

bool LeaseAccount::isConfirmed() const
{
    return m_confirmedAt > m_unansweredAt;
}

Milliseconds LeaseAccount::allowedLease(TimePoint now) const
{
    // A call without an answer may still renew the lease. A silent upstream therefore gets no renewals; otherwise its
    // runs could never be considered ended.
    if (!isConfirmed() || now - m_answeredAt > RenewalSilenceLimit) {
        return Milliseconds(0);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(m_allowedUntil - now);
    return std::clamp(left, Milliseconds(0), m_times.lease);
}

void LeaseAccount::onRequested(TimePoint now, Milliseconds lease)
{
    const auto longest = std::chrono::duration_cast<Duration>(lease * LeaseTimes::ClockFactor);
    m_requestedExpireBy = std::max(m_requestedExpireBy, now + longest + LeaseMargin);
}

TimePoint LeaseAccount::expireBy() const
{
    return std::max(m_requestedExpireBy, m_formerExpireBy);
}

} // namespace Carobflow::Scheduling
