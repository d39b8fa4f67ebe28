#include "carobflow/scheduler/termhistory.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Bounds the size of the row. Leaders that fail follow each other 1.8 s apart or later, so that the terms which are
/// removed have usually ended long ago; if not, the next one counts, and the wait is longer than needed.
constexpr std::size_t MaxTerms = 12;

} // namespace

void TermHistory::add(EndedTerm term, Milliseconds expired)
{
    std::erase_if(m_terms, [&](const EndedTerm &known) { return known.lastWrite < expired; });
    m_terms.push_back(term);
    if (m_terms.size() > MaxTerms) {
        m_terms.erase(m_terms.begin());
    }
}

std::optional<Milliseconds> TermHistory::lastGrant(Epoch grantedBy) const
{
    if (m_terms.empty()) {
        return std::nullopt;
    }
    if (grantedBy == 0) {
        return m_terms.back().lastWrite;
    }
    // A term that has been removed is replaced by the next one, which ended later.
    const auto term = std::ranges::lower_bound(m_terms, grantedBy, {}, &EndedTerm::epoch);
    return term == m_terms.end() ? m_terms.back().lastWrite : term->lastWrite;
}

} // namespace Carobflow::Scheduling
