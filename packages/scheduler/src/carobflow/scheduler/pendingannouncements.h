#pragma once

#include "carobflow/scheduler/workload.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Carobflow::Scheduling
{

/// What an upstream says of itself. `sequence` orders the announcements of one incarnation.
struct UpstreamAnnouncement {
    UpstreamDescription upstream;
    std::uint64_t sequence = 0;
};

/// Announcements of upstreams that have not answered their agent under the announced identity yet. Any program can send
/// an announcement, so they are bounded in number and age. An upstream that is dropped here announces itself again.
class PendingAnnouncements
{
public:
    struct Options {
        /// Identities that are kept at a time; the one that was announced longest ago is dropped for another one.
        std::size_t limit = 8;
        /// Several times the interval between two announcements.
        Duration retention = Seconds(5);
    };

    explicit PendingAnnouncements(Options options)
        : m_options(options)
    {
    }

    /// Adds an announcement. Replaces one of the same identity that is not newer.
    void add(UpstreamAnnouncement announcement, TimePoint now);

    /// The announcement that was not returned for the longest time, in turn.
    std::optional<UpstreamAnnouncement> next(TimePoint now);

    /// Removes and returns the newest announcement of an identity.
    std::optional<UpstreamAnnouncement> take(const UpstreamIdentity &identity);

private:
    struct Entry {
        UpstreamAnnouncement announcement;
        TimePoint addedAt;
    };

    Options m_options;
    std::deque<Entry> m_entries;
};

} // namespace Carobflow::Scheduling
