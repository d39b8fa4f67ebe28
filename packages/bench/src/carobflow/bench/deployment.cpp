#include "carobflow/bench/deployment.h"

#include <cmath>
#include <stdexcept>

namespace Carobflow::Bench
{
namespace
{

/// Sigma of the log-normal distribution of the upstream stand-in's service times.
constexpr double ServiceTimeSigma = 0.4;

} // namespace

Deployment coopDeployment()
{
    return {.name = "coop",
            .service = "repair-desk",
            .dataCentres = {"hanoi", "haiphong", "namdinh"},
            .hosts = 11,
            .cpuMillis = 32000,
            .memoryMiB = 125000,
            .objective = "latency",
            .dataCentreMilliseconds = 1,
            .clientMilliseconds = 1};
}

Deployment cartaAndinaDeployment()
{
    return {.name = "carta-andina",
            .service = "menu-desk",
            .dataCentres = {"quito", "ambato", "riobamba"},
            .hosts = 11,
            .cpuMillis = 16000,
            .memoryMiB = 62000,
            .objective = "throughput",
            .dataCentreMilliseconds = 0.5,
            .clientMilliseconds = 1};
}

Deployment deploymentByName(std::string_view name)
{
    for (auto &deployment : {coopDeployment(), cartaAndinaDeployment()}) {
        if (deployment.name == name) {
            return deployment;
        }
    }
    throw std::invalid_argument("unknown deployment '" + std::string(name) + "'; expected coop or carta-andina");
}

double serviceCapacity(const Deployment &deployment)
{
    const double meanSeconds = deployment.serviceMilliseconds * std::exp(ServiceTimeSigma * ServiceTimeSigma / 2)
        / 1000;
    return deployment.hosts * deployment.slots / meanSeconds;
}

std::string baseSheet(const Deployment &deployment)
{
    std::string sheet;
    for (const std::string &dataCentre : deployment.dataCentres) {
        sheet += "datacentre," + dataCentre + ",in\n";
    }
    sheet += "service," + deployment.service + "," + std::to_string(deployment.serviceDeadlineMilliseconds)
        + ",0.99,no," + deployment.objective + "\n";
    const auto hosts = static_cast<std::int64_t>(deployment.hosts);
    sheet += "team,workshop," + std::to_string(hosts * deployment.cpuMillis) + ","
        + std::to_string(hosts * deployment.memoryMiB) + ",0\n";
    return sheet;
}

} // namespace Carobflow::Bench
