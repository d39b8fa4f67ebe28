#pragma once

#include "carobflow/core/types.h"

namespace Carobflow
{

/// The time since boot, including time spent suspended. Leases and grants are measured with it: the steady clock stops
/// during suspend, so that after a resume an expired grant would appear to be valid.
TimePoint suspendAwareNow();

} // namespace Carobflow
