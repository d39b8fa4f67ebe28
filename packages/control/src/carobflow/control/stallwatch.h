#pragma once

#include "carobflow/core/types.h"

#include <atomic>

namespace Carobflow
{

/// Tells whether a request that this process reads now may have lain in a socket for long, because the process stood
/// still. Safe to call from several threads; times are those of the clock that counts suspension.
class StallWatch
{
public:
    struct Options {
        /// Longest time between two ticks after which requests are not too old. Half of the time for which leaders
        /// remember the cancellations of unknown jobs at least.
        Duration limit = Seconds(60);
        /// Time in which a process that stood still has read what lay in its sockets.
        Duration catchUp = Seconds(5);
    };

    StallWatch(Options options, TimePoint now);

    /// Called every second.
    void tick(TimePoint now);

    /// True when requests may be older than the limit.
    [[nodiscard]] bool isSuspect(TimePoint now) const;

private:
    Options m_options;
    std::atomic<TimePoint> m_tickedAt;
    std::atomic<TimePoint> m_suspectUntil{TimePoint()};
};

} // namespace Carobflow
