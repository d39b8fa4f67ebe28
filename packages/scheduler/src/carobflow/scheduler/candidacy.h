#pragma once

#include "carobflow/core/types.h"

#include <cstdint>

namespace Carobflow::Scheduling
{

/// Decides when a process takes over leadership. It sees the leader's row only through the store, so time counts only
/// while the store answers: after an outage an old row says nothing about its leader.
class Candidacy
{
public:
    struct Options {
        /// The leader renews its row every 0.6 s; two renewals may be late.
        Milliseconds renewalTimeout{1800};
        /// Differs between processes, so that not all of them try at once.
        Milliseconds delay{0};
        /// A row that has not been read for this long is old news.
        Milliseconds freshness{1700};
    };

    explicit Candidacy(Options options)
        : m_options(options)
    {
    }

    /// The store has shown the leader's row. `version` is 0 when there is none.
    void onRow(std::uint64_t version, bool resigned, TimePoint now);

    /// The store has not answered.
    void onStoreUnavailable();

    /// This process has tried, has led or must not lead for a while.
    void deferUntil(TimePoint until)
    {
        m_notBefore = until;
    }

    [[nodiscard]] bool shouldTakeOver(TimePoint now) const;

private:
    Options m_options;
    bool m_known = false;
    std::uint64_t m_version = 0;
    bool m_resigned = false;
    TimePoint m_unchangedSince;
    TimePoint m_readAt;
    TimePoint m_notBefore;
};

} // namespace Carobflow::Scheduling
