#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Measures useful answers a second, those within the deadline, at 1, 2 and 3 times the capacity of the service, under
/// both policies.
int runOverload(const MeasurementOptions &options);

} // namespace Carobflow::Bench
