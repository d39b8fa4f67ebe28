#pragma once

#include "carobflow/scheduler/leasetimes.h"

namespace Carobflow::Scheduling
{

/// An agent's account of the leases of its upstream: which ones it may ask for, and by when every lease has expired.
///
/// The end of a lease is a time on the upstream's clock. An upstream that restarts under its id starts its clock anew
/// and accepts calls for its former incarnation, so that it reads their leases as very long ones and shortens them to
/// the longest that it grants. That lease applies to everything that the new incarnation runs. Therefore a call asks
/// for a lease only while answers show that the announced incarnation is there, and after a restart the longest lease
/// counts.
class LeaseAccount
{
public:
    /// The process before this one may have asked for leases until `now`.
    LeaseAccount(const LeaseTimes &times, TimePoint now);

    /// The leader allows leases up to this time.
    void allowUntil(TimePoint limit);

    [[nodiscard]] TimePoint allowedUntil() const
    {
        return m_allowedUntil;
    }

    /// The announced incarnation has answered a call for its lists that was sent at `sentAt`.
    void onAnswered(TimePoint sentAt, TimePoint receivedAt);

    /// A call for the lists has no usable answer. The next incarnation may receive the calls after it.
    void onUnanswered(TimePoint now);

    /// Another incarnation has been announced.
    void onAnnounced();

    /// The upstream has restarted under its id.
    void onRestarted(TimePoint now);

    /// True while the latest calls for the lists have been answered by the announced incarnation.
    [[nodiscard]] bool isConfirmed() const;

    /// Duration of the lease to ask for; 0 when none may be.
    [[nodiscard]] Milliseconds allowedLease(TimePoint now) const;

    /// Notes a call that asks for a lease.
    void onRequested(TimePoint now, Milliseconds lease);

    [[nodiscard]] TimePoint answeredAt() const
    {
        return m_answeredAt;
    }

    /// Time by which every lease has expired that this agent has asked for.
    [[nodiscard]] TimePoint expireBy() const;

    /// Time by which the leases have expired that calls for former incarnations may have given the upstream.
    [[nodiscard]] TimePoint formerExpireBy() const
    {
        return m_formerExpireBy;
    }

private:
    LeaseTimes m_times;
    TimePoint m_allowedUntil;
    TimePoint m_answeredAt;
    /// When the last answered call was sent, and when a call was last given up.
    TimePoint m_confirmedAt;
    TimePoint m_unansweredAt;
    TimePoint m_requestedExpireBy;
    TimePoint m_formerExpireBy;
};

} // namespace Carobflow::Scheduling
