#pragma once

#include "carobflow/core/result.h"
#include "carobflow/daemon/requestexecutor.h"

#include <string_view>

namespace Carobflow
{

/// Parses what an upstream says about itself. A leaving upstream needs to name its service only. Errors:
/// InvalidArgument with the field and what to write.
Result<LocalAnnouncement> parseLocalAnnouncement(std::string_view body, bool leaving);

} // namespace Carobflow
