#pragma once

#include "carobflow/daemon/httpserver.h"

#include <string_view>

namespace Carobflow
{

class Metrics;

/// Serves /metrics, /healthz (the process runs) and /readyz (it takes new work); 404 for anything else.
HttpServerResponse statusPage(std::string_view target, const Metrics &metrics, bool ready);

} // namespace Carobflow
