#pragma once

#include "carobflow/core/types.h"

#include <cstdint>
#include <optional>

namespace Carobflow
{

/// Limits the log lines of one kind of event to one a second.
class LogThrottle
{
public:
    /// Counts an event. Returns the number of events since the last line when a line may be written now.
    std::optional<std::uint64_t> record(TimePoint now);

private:
    std::optional<TimePoint> m_loggedAt;
    std::uint64_t m_unlogged = 0;
};

} // namespace Carobflow
