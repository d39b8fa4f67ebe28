#pragma once

#include "carobflow/core/types.h"

namespace Carobflow
{

/// The time since the machine started, with the time that it was suspended. Leases and grants are measured with it: the
/// steady clock stands still while a machine is suspended, and a process that wakes would believe an old grant.
TimePoint suspendAwareNow();

} // namespace Carobflow
