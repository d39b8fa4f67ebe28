#pragma once

#include "carobflow/core/types.h"

#include <algorithm>

namespace Carobflow::Scheduling
{

/// The times that bound how long a host which nobody hears may still run its tasks.
///
/// An agent renews the leases of its upstream only under a leader's grant, and a leader shortens its grants when the
/// store has not confirmed its leadership for a while. So every lease has ended a fixed time after the last report that
/// the leader answered, and a fixed time after the last write of the leader that granted it, whichever comes first.
struct LeaseTimes {
    /// Duration of a lease. Longer than an outage of the store in the deployments' records (5.3 s). With the grant it
    /// has to stay below nine seconds, within which callers expect the tasks of a lost host to run again.
    Milliseconds lease{6000};
    /// Time for which an agent may renew the leases of its upstream, from the sending of a report that was answered.
    Milliseconds grant{1500};
    /// Age of the leader's last confirmed write up to which its grants have full length; the leader writes at least
    /// this often.
    Milliseconds fullGrantAge{600};

    /// Lease times for upstreams that shorten longer leases to `upstreamMaximum`.
    static LeaseTimes within(Milliseconds upstreamMaximum)
    {
        LeaseTimes times;
        times.lease = std::min(times.lease, upstreamMaximum);
        return times;
    }

    /// The grant that a leader gives when its last confirmed write was sent `age` ago; 0 for none.
    [[nodiscard]] Milliseconds grantAt(Duration age) const
    {
        const auto left = fullGrantAge + grant - std::chrono::duration_cast<Milliseconds>(age);
        return std::clamp(left, Milliseconds(0), grant);
    }

    /// Time after an answered report by which every lease on its host has ended unless there is a further one.
    [[nodiscard]] Duration untilFreeAfterReport() const
    {
        return grant + std::chrono::duration_cast<Duration>(lease * ClockFactor) + Slack;
    }

    /// Time after a leader's last write by which every lease that it granted has ended.
    [[nodiscard]] Duration untilFreeAfterWrite() const
    {
        return fullGrantAge + untilFreeAfterReport();
    }

    /// Upstream clocks may be 2% slow; the slack covers the delay of messages.
    static constexpr double ClockFactor = 1.03;
    static constexpr Milliseconds Slack{300};
};

} // namespace Carobflow::Scheduling
