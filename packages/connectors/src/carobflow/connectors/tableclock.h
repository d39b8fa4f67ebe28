#pragma once

#include "carobflow/core/types.h"

#include <mutex>
#include <optional>

namespace Carobflow
{

/// The steady clock of a table service, estimated from its replies. Processes use it to compare times with each other,
/// since their own steady clocks start at different times. Thread-safe.
class TableClock
{
public:
    /// Notes that the clock showed `reading` at some time between the sending of a call and the arrival of its reply.
    void observe(Milliseconds reading, TimePoint sentAt, TimePoint repliedAt);

    /// Lower and upper bound of the clock at a local time; empty before the first reply.
    [[nodiscard]] std::optional<Milliseconds> earliest(TimePoint at) const;
    [[nodiscard]] std::optional<Milliseconds> latest(TimePoint at) const;

private:
    struct Observation {
        Milliseconds reading{0};
        TimePoint sentAt;
        TimePoint repliedAt;

        [[nodiscard]] Duration uncertainty() const
        {
            return repliedAt - sentAt;
        }

        /// True when no steady clock can have shown both readings.
        [[nodiscard]] bool contradicts(const Observation &later) const;
    };

    mutable std::mutex m_mutex;
    std::optional<Observation> m_observation;
};

} // namespace Carobflow
