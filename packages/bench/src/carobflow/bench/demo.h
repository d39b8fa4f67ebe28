#pragma once

namespace Carobflow::Bench
{

/// Runs a morning of the co-op: photo quotes, re-seam orders and zipper bills, and prints what was served. Returns the
/// exit code: 0 when everything was answered, finished and stopped as it should.
int runDemo();

} // namespace Carobflow::Bench
