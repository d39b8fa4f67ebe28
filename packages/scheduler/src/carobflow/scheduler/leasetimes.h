#pragma once

#include "carobflow/core/types.h"

#include <algorithm>

namespace Carobflow::Scheduling
{

/// The times that bound how long a host which nobody hears may still run its tasks.
///
/// The answer to a report says until when the leases of the host's upstream may last. A leader sets that limit by its
/// own last confirmed write, too. So every lease has ended a fixed time after the last report that was answered, and a
/// fixed time after the last write of the leader that answered it, whichever comes first.
struct LeaseTimes {
    /// Longest lease that an agent asks its upstream for. Longer than an outage of the store in the deployments'
    /// records (5.3 s). Together with the other times it has to stay below nine seconds, within which callers expect
    /// the tasks of a lost host to run again.
    Milliseconds lease{6000};
    /// Time without contact to the leader for which an agent still asks for leases of full length.
    Milliseconds contactGap{1500};
    /// Age of the leader's last confirmed write up to which it allows full leases. A leader that is not overloaded
    /// writes every 0.6 s. Longer ages leave a successor too little of the nine seconds to start the tasks.
    Milliseconds fullLeaseAge{600};

    /// Longest lease that upstreams grant. An upstream that has restarted grants it to calls for its former
    /// incarnation: its clock has started anew, so the time at which their lease ends is far ahead.
    Milliseconds longestGranted{6000};

    /// Lease times for upstreams that shorten longer leases to `upstreamMaximum`.
    static LeaseTimes within(Milliseconds upstreamMaximum)
    {
        LeaseTimes times;
        times.lease = std::min(times.lease, upstreamMaximum);
        times.longestGranted = upstreamMaximum;
        return times;
    }

    /// How long from an answered report on the leases of its upstream may last when the leader's last confirmed write
    /// was sent `age` ago; 0 for no renewal. Leases get shorter with that age rather than ending at once, so that an
    /// overloaded leader, whose writes take seconds, still keeps tasks running.
    [[nodiscard]] Milliseconds leaseAfterReport(Duration age) const
    {
        const Milliseconds longest = contactGap + lease;
        return std::clamp(fullLeaseAge + longest - std::chrono::ceil<Milliseconds>(age), Milliseconds(0), longest);
    }

    /// Time after an answered report by which every lease on its host has ended unless there is a further one.
    [[nodiscard]] Duration untilFreeAfterReport() const
    {
        return contactGap + std::chrono::duration_cast<Duration>(lease * ClockFactor) + Slack;
    }

    /// Time after a leader's last write by which every lease that it allowed has ended.
    [[nodiscard]] Duration untilFreeAfterWrite() const
    {
        return fullLeaseAge + untilFreeAfterReport();
    }

    /// Time after the restart of an upstream has been noticed by which the leases have ended that calls for its former
    /// incarnation may have given it.
    [[nodiscard]] Duration untilFreeAfterRestart() const
    {
        return std::chrono::duration_cast<Duration>(longestGranted * ClockFactor) + CallTimeout + Slack;
    }

    /// Upstream clocks may be 2% slow; the slack covers the delay of messages.
    static constexpr double ClockFactor = 1.03;
    static constexpr Milliseconds Slack{300};
    /// A call in progress when a restart is noticed may still be executed until its time-out.
    static constexpr Milliseconds CallTimeout{500};
};

} // namespace Carobflow::Scheduling
