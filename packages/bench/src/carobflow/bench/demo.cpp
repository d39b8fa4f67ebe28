#include "carobflow/bench/demo.h"

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/load.h"

#include <iomanip>
#include <iostream>

#include <boost/json/object.hpp>

namespace Carobflow::Bench
{
namespace
{

constexpr int Orders = 12;

void print(const char *what, const LoadSummary &summary)
{
    std::cout << std::fixed << std::setprecision(1) << "  " << what << ": " << summary.answered << " answered, "
              << summary.notRun << " not-run, " << summary.unknown << " unknown, " << summary.cut + summary.wrong
              << " cut or wrong; p50 " << summary.quantile(0.5) << " ms, p99 " << summary.quantile(0.99) << " ms\n";
}

bool allServed(const LoadSummary &summary)
{
    return summary.answered == summary.total() && summary.answered > 0;
}

std::string morningSheet(const Deployment &deployment)
{
    std::string sheet = baseSheet(deployment);
    for (int order = 1; order <= Orders; ++order) {
        sheet += "job,reseam-" + std::to_string(order) + ",workshop,reseam,4000,8000,0,3,+600,normal\n";
    }
    return sheet;
}

int finishedOrders(Cluster &cluster)
{
    int finished = 0;
    for (int order = 1; order <= Orders; ++order) {
        const auto outcome = cluster.caller().call(cluster.entry(0),
                                                   {.target = "/v1/jobs/reseam-" + std::to_string(order)});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        finished += answer != nullptr && answer->body.find("\"state\":\"finished\"") != std::string::npos ? 1 : 0;
    }
    return finished;
}

} // namespace

int runDemo()
{
    Cluster cluster({.deployment = coopDeployment()});
    const Deployment &sizes = cluster.deployment();
    std::cout << "Starting " << sizes.entries << " entries, " << sizes.hosts
              << " hosts with agents, and stand-ins of the "
              << "platform\n";
    cluster.start(morningSheet(sizes));
    const std::vector<HttpEndpoint> entries{cluster.entry(0), cluster.entry(1), cluster.entry(2)};
    std::cout << "Serving a morning of the co-op\n";
    const auto quotes = Load::run(cluster.caller(),
                                  entries,
                                  {.requestsPerSecond = 200,
                                   .duration = Milliseconds(5000),
                                   .service = sizes.service,
                                   .clientMilliseconds = sizes.clientMilliseconds});
    print("photo quotes", quotes);
    const auto bills = Load::run(cluster.caller(),
                                 entries,
                                 {.requestsPerSecond = 20,
                                  .duration = Milliseconds(3000),
                                  .service = sizes.service,
                                  .charges = true,
                                  .clientMilliseconds = sizes.clientMilliseconds});
    print("zipper bills", bills);
    waitUntil(
        "all re-seam orders are finished", [&] { return finishedOrders(cluster) == Orders; }, Milliseconds(60000));
    std::cout << "  re-seam orders: " << Orders << " of " << Orders << " finished\n";
    std::cout << "Stopping gracefully\n";
    const auto failed = cluster.stop();
    for (const std::string &name : failed) {
        std::cout << "  " << name << " did not stop as it should\n";
    }
    const bool good = allServed(quotes) && allServed(bills) && failed.empty();
    std::cout << (good ? "Done: everything was served and stopped.\n" : "Failed: see above.\n");
    return good ? 0 : 1;
}

} // namespace Carobflow::Bench
