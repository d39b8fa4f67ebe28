#include "carobflow/connectors/tableclock.h"

namespace Carobflow
{
namespace
{

/// Age from which on an observation is replaced by a less certain one. Two clocks drift apart by a few milliseconds in
/// this time.
constexpr Seconds MaxObservationAge{5};
/// Difference that drift cannot explain within MaxObservationAge. A clock that differs by more has started anew.
constexpr Milliseconds MaxDrift{200};

} // namespace

void TableClock::observe(Milliseconds reading, TimePoint sentAt, TimePoint repliedAt)
{
    const Observation observation{.reading = reading, .sentAt = sentAt, .repliedAt = repliedAt};
    const std::lock_guard lock(m_mutex);
    if (!m_observation || observation.uncertainty() <= m_observation->uncertainty()
        || repliedAt - m_observation->repliedAt > MaxObservationAge || m_observation->contradicts(observation)) {
        m_observation = observation;
    }
}

bool TableClock::Observation::contradicts(const Observation &later) const
{
    const Duration shown = later.reading - reading;
    return shown + MaxDrift < later.sentAt - repliedAt || shown - MaxDrift > later.repliedAt - sentAt;
}

std::optional<Milliseconds> TableClock::earliest(TimePoint at) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_observation) {
        return std::nullopt;
    }
    return m_observation->reading + std::chrono::duration_cast<Milliseconds>(at - m_observation->repliedAt);
}

std::optional<Milliseconds> TableClock::latest(TimePoint at) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_observation) {
        return std::nullopt;
    }
    return m_observation->reading + std::chrono::ceil<Milliseconds>(at - m_observation->sentAt);
}

} // namespace Carobflow
