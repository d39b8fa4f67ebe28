#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Measures what entry and agent add to a direct call of the same upstream stand-in, both interleaved.
int runPath(const MeasurementOptions &options);

} // namespace Carobflow::Bench
