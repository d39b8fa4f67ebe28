#pragma once

namespace Carobflow::Bench
{

/// Runs the example workload of the co-op (photo quotes, re-seam orders and zipper bills) and prints the results.
/// Returns the exit code: 0 when all requests were answered, all jobs finished and all daemons exited cleanly.
int runDemo();

} // namespace Carobflow::Bench
