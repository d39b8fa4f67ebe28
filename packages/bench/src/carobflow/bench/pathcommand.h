#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Measures the overhead that entry and agent add to a direct call of the same upstream stand-in. Direct calls and
/// calls through the system are interleaved.
int runPath(const MeasurementOptions &options);

} // namespace Carobflow::Bench
