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
    /// Objective of the service: latency or throughput.
    std::string objective = "latency";
    std::uint32_t serviceMilliseconds = 20;
    std::uint32_t serviceDeadlineMilliseconds = 500;
    /// One-way network latency between data centres, and to clients.
    double dataCentreMilliseconds = 1;
    double clientMilliseconds = 1;
};

/// The installation of the tent-repair co-op.
Deployment coopDeployment();

/// The installation of the menu printers Carta Andina.
Deployment cartaAndinaDeployment();

/// Looks a deployment up by name; throws std::invalid_argument when there is none.
Deployment deploymentByName(std::string_view name);

/// Requests per second that the upstreams can serve without slowdown, computed from their mean service time.
double serviceCapacity(const Deployment &deployment);

/// A sheet without jobs: the data centres of the deployment, its service, and a team to which jobs can belong.
std::string baseSheet(const Deployment &deployment);

} // namespace Carobflow::Bench
