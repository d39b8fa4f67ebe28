#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Measures goodput (answers within the deadline per second) at 1, 2 and 3 times the capacity of the service, under
/// both policies.
int runOverload(const MeasurementOptions &options);

} // namespace Carobflow::Bench
