#include "carobflow/bench/overloadcommand.h"

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/load.h"
#include "carobflow/bench/report.h"

#include <algorithm>

namespace Carobflow::Bench
{
namespace
{

/// Long enough that three times the capacity does not saturate the machine, which also generates the load.
constexpr std::uint32_t ServiceMilliseconds = 100;
constexpr Milliseconds Duration{8000};

void measurePolicy(Report &report, const MeasurementOptions &options, const std::string &policy)
{
    Deployment deployment = deploymentByName(options.deployment);
    deployment.serviceMilliseconds = ServiceMilliseconds;
    Cluster cluster({.deployment = deployment,
                     .settings = {{"process.policy", policy}},
                     .daemon = options.daemon,
                     .seed = options.seed});
    cluster.start(baseSheet(deployment));
    const double capacity = serviceCapacity(deployment);
    for (const double multiple : {1.0, 2.0, 3.0}) {
        const auto summary = Load::run(cluster.caller(),
                                       cluster.entries(),
                                       {.requestsPerSecond = capacity * multiple,
                                        .duration = Duration,
                                        .timeout = Milliseconds(deployment.serviceDeadlineMilliseconds),
                                        .seed = options.seed,
                                        .service = deployment.service,
                                        .clientMilliseconds = deployment.clientMilliseconds});
        const auto useful = std::count_if(
            summary.answeredMilliseconds.begin(), summary.answeredMilliseconds.end(), [&](double milliseconds) {
                return milliseconds <= deployment.serviceDeadlineMilliseconds;
            });
        report.add("overload",
                   {{"policy", policy},
                    {"timesCapacity", multiple},
                    {"offeredPerSecond", rounded(static_cast<double>(summary.total()) / summary.seconds)},
                    {"usefulPerSecond", rounded(static_cast<double>(useful) / summary.seconds)},
                    {"answered", summary.answered},
                    {"notRun", summary.notRun},
                    {"unknown", summary.unknown},
                    {"refusedOrCut", summary.refused + summary.cut + summary.wrong},
                    {"p50Ms", rounded(summary.quantile(0.5))},
                    {"p99Ms", rounded(summary.quantile(0.99))},
                    {"load", loadAverage()}});
    }
    cluster.stop();
}

} // namespace

int runOverload(const MeasurementOptions &options)
{
    Report report("overload: useful answers at multiples of the service's capacity, " + options.deployment);
    measurePolicy(report, options, "adaptive");
    measurePolicy(report, options, "baseline");
    report.print(options.json);
    return 0;
}

} // namespace Carobflow::Bench
