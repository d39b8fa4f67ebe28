#include "carobflow/bench/deployment.h"

namespace Carobflow::Bench
{

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
