#pragma once

#include "carobflow/core/types.h"

#include <cstdint>

namespace Carobflow::Scheduling
{

/// What the leader's row says about the leadership.
enum class Vacancy {
    /// There is a leader, or it is gone without notice.
    None,
    /// The leader has resigned.
    Vacant,
    /// The leader has resigned because it hears too few hosts, and this process still hears it. This process is most
    /// likely cut off together with it, so others go first.
    LeftToOthers
};

/// Decides when a process takes over the leadership.
///
/// A process sees the leader's row only through the store. The renewal timeout therefore runs only while the store
/// answers: after an outage, a row that is old does not show that its leader has failed.
class Candidacy
{
public:
    struct Options {
        /// Time without a renewal after which the leader counts as failed. The leader renews its row every 0.6 s, so
        /// two renewals in a row may be late.
        Milliseconds renewalTimeout{1800};
        /// Additional delay that differs between processes, so that they do not all try at once.
        Milliseconds delay{0};
        /// Additional delay of a process that leaves the leadership to others. These need about 0.5 s, and leases end
        /// 2.5 s after such a resignation.
        Milliseconds yieldTime{1000};
        /// Age of the last read of the row from which on it is not relied on.
        Milliseconds maxRowAge{1700};
    };

    explicit Candidacy(Options options)
        : m_options(options)
    {
    }

    /// The leader's row was read from the store. `version` is 0 when there is none.
    void onRow(std::uint64_t version, Vacancy vacancy, TimePoint now);

    /// The store did not answer.
    void onStoreUnavailable();

    /// Rules out a take-over before the given time, after an attempt or a term of leadership of this process.
    void deferUntil(TimePoint until)
    {
        m_notBefore = until;
    }

    [[nodiscard]] bool shouldTakeOver(TimePoint now) const;

private:
    Options m_options;
    bool m_known = false;
    std::uint64_t m_version = 0;
    Vacancy m_vacancy = Vacancy::None;
    TimePoint m_unchangedSince;
    TimePoint m_readAt;
    TimePoint m_notBefore;
};

} // namespace Carobflow::Scheduling
