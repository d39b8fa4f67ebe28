#include "carobflow/daemon/internal/logthrottle.h"

#include <utility>

namespace Carobflow
{
namespace
{

constexpr Milliseconds LogInterval{1000};

} // namespace

std::optional<std::uint64_t> LogThrottle::record(TimePoint now)
{
    ++m_unlogged;
    if (m_loggedAt && now - *m_loggedAt < LogInterval) {
        return std::nullopt;
    }
    m_loggedAt = now;
    return std::exchange(m_unlogged, 0);
}

} // namespace Carobflow
