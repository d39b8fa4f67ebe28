#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Measures how costs grow with the number of agents, the jobs that a leader holds, the lines of a sheet, and the
/// submissions a second.
int runSlopes(const MeasurementOptions &options);

} // namespace Carobflow::Bench
