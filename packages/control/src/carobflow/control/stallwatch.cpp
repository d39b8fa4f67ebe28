#include "carobflow/control/stallwatch.h"

namespace Carobflow
{

StallWatch::StallWatch(Options options, TimePoint now)
    : m_options(options)
    , m_tickedAt(now)
{
}

void StallWatch::tick(TimePoint now)
{
    if (now - m_tickedAt.load() > m_options.limit) {
        m_suspectUntil = now + m_options.catchUp;
    }
    m_tickedAt = now;
}

bool StallWatch::isSuspect(TimePoint now) const
{
    // The first requests may be read before the first tick.
    return now - m_tickedAt.load() > m_options.limit || now < m_suspectUntil.load();
}

} // namespace Carobflow
