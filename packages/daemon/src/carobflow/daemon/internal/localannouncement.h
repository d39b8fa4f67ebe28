#pragma once

#include "carobflow/core/result.h"
#include "carobflow/daemon/requestexecutor.h"

#include <string_view>

namespace Carobflow
{

/// Parses the announcement of an upstream. A leaving upstream only needs to specify its service. Errors:
/// InvalidArgument with the invalid field and its expected value.
Result<LocalAnnouncement> parseLocalAnnouncement(std::string_view body, bool leaving);

} // namespace Carobflow
