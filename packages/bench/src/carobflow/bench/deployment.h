#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Bench
{

/// The sizes of one user's installation.
struct Deployment {
    std::string name;
    std::string service;
    std::vector<std::string> dataCentres;
    std::uint32_t hosts = 11;
    std::uint32_t hostsPerRack = 3;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::int64_t cpuMillis = 32000;
    std::int64_t memoryMiB = 125000;
    std::uint32_t entries = 3;
    std::uint32_t shards = 1;
    /// What the operators weigh most: latency or throughput.
    std::string objective = "latency";
    std::uint32_t serviceMilliseconds = 20;
    std::uint32_t serviceDeadlineMilliseconds = 500;
    /// One-way distance between data centres and to clients.
    double dataCentreMilliseconds = 1;
    double clientMilliseconds = 1;
};

/// The tent-repair co-op.
Deployment coopDeployment();

/// The menu printers Carta Andina.
Deployment cartaAndinaDeployment();

/// The deployment of that name; throws std::invalid_argument when there is none.
Deployment deploymentByName(std::string_view name);

/// Requests a second that the upstreams can serve without slowdown, by their mean service time.
double serviceCapacity(const Deployment &deployment);

/// The morning sheet of a deployment without jobs: its data centres, its service, and a team that jobs can use.
std::string baseSheet(const Deployment &deployment);

} // namespace Carobflow::Bench
