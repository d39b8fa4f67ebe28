#include "carobflow/control/roundpace.h"

#include <algorithm>

namespace Carobflow
{

RoundPace::RoundPace(Options options)
    : m_options(options)
{
}

Duration RoundPace::delay(TimePoint now) const
{
    const Duration untilRested = m_restedAt - now;
    return std::max(untilRested - m_options.interval * (m_options.burst - 1), Duration(0));
}

void RoundPace::onRound(TimePoint now)
{
    m_restedAt = std::max(m_restedAt, now) + m_options.interval;
}

} // namespace Carobflow
