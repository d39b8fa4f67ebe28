#pragma once

#include "carobflow/core/types.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace Carobflow::Scheduling
{

/// A former leader's term.
struct EndedTerm {
    Epoch epoch = 0;
    /// Upper bound, on the store's clock, of the time at which its last write was sent.
    Milliseconds lastWrite{0};
};

/// The recent terms of leadership, kept in the store. From them a leader derives how long a host that it does not hear
/// may hold leases of former leaders.
class TermHistory
{
public:
    TermHistory() = default;

    /// `terms` in the order of their epochs.
    explicit TermHistory(std::vector<EndedTerm> terms)
        : m_terms(std::move(terms))
    {
    }

    /// Adds the term that has just ended. Removes terms whose last write was before `expired`, and the oldest ones
    /// beyond the limit.
    void add(EndedTerm term, Milliseconds expired);

    [[nodiscard]] std::span<const EndedTerm> terms() const
    {
        return m_terms;
    }

    /// Time on the store's clock at which the last grant of former leaders to a host was given at the latest.
    /// `grantedBy` is the epoch of the last leader that granted leases there; 0 when it is not known. Empty when no
    /// leader is known.
    [[nodiscard]] std::optional<Milliseconds> lastGrant(Epoch grantedBy) const;

private:
    std::vector<EndedTerm> m_terms;
};

} // namespace Carobflow::Scheduling
