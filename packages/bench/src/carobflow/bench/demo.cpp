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

constexpr int OrderCount = 12;

void printSummary(const char *label, const LoadSummary &summary)
{
    std::cout << std::fixed << std::setprecision(1) << "  " << label << ": " << summary.answered << " answered, "
              << summary.notRun << " not-run, " << summary.unknown << " unknown, " << summary.cut + summary.wrong
              << " cut or wrong; p50 " << summary.quantile(0.5) << " ms, p99 " << summary.quantile(0.99) << " ms\n";
}

bool allAnswered(const LoadSummary &summary)
{
    return summary.answered == summary.total() && summary.answered > 0;
}

std::string morningSheet(const Deployment &deployment)
{
    std::string sheet = baseSheet(deployment);
    for (int order = 1; order <= OrderCount; ++order) {
        sheet += "job,reseam-" + std::to_string(order) + ",workshop,reseam,4000,8000,0,3,+600,normal\n";
    }
    return sheet;
}

int finishedOrders(Cluster &cluster)
{
    int finished = 0;
    for (int order = 1; order <= OrderCount; ++order) {
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
    const Deployment &deployment = cluster.deployment();
    std::cout << "Starting " << deployment.entries << " entries, " << deployment.hosts
              << " hosts with agents, and stand-ins for the "
              << "platform\n";
    cluster.start(morningSheet(deployment));
    const std::vector<HttpEndpoint> entries{cluster.entry(0), cluster.entry(1), cluster.entry(2)};
    std::cout << "Sending the requests of the co-op\n";
    const auto quotes = Load::run(cluster.caller(),
                                  entries,
                                  {.requestsPerSecond = 200,
                                   .duration = Milliseconds(5000),
                                   .service = deployment.service,
                                   .clientMilliseconds = deployment.clientMilliseconds});
    printSummary("photo quotes", quotes);
    const auto bills = Load::run(cluster.caller(),
                                 entries,
                                 {.requestsPerSecond = 20,
                                  .duration = Milliseconds(3000),
                                  .service = deployment.service,
                                  .charges = true,
                                  .clientMilliseconds = deployment.clientMilliseconds});
    printSummary("zipper bills", bills);
    waitUntil(
        "all re-seam orders are finished", [&] { return finishedOrders(cluster) == OrderCount; }, Milliseconds(60000));
    std::cout << "  re-seam orders: " << OrderCount << " of " << OrderCount << " finished\n";
    std::cout << "Stopping gracefully\n";
    const auto failed = cluster.stop();
    for (const std::string &name : failed) {
        std::cout << "  " << name << " did not exit cleanly\n";
    }
    const bool succeeded = allAnswered(quotes) && allAnswered(bills) && failed.empty();
    std::cout << (succeeded ? "Done: all requests were answered and all daemons exited cleanly.\n"
                            : "Failed: not all requests were answered, or a daemon did not exit cleanly; see above.\n");
    return succeeded ? 0 : 1;
}

} // namespace Carobflow::Bench
