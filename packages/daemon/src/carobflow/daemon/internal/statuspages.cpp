#include "carobflow/daemon/internal/statuspages.h"

#include "carobflow/daemon/metrics.h"

namespace Carobflow
{

HttpServerResponse statusPage(std::string_view target, const Metrics &metrics, bool ready)
{
    HttpServerResponse response{.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = {}};
    if (target == "/metrics") {
        response.body = metrics.text();
    } else if (target == "/healthz") {
        response.body = "ok\n";
    } else if (target == "/readyz") {
        response.status = ready ? 200 : 503;
        response.body = ready ? "ready\n" : "not ready\n";
    } else {
        response.status = 404;
        response.body = "not found; see docs/callers.md\n";
    }
    return response;
}

} // namespace Carobflow
