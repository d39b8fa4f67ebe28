#pragma once

#include "carobflow/scheduler/workload.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Maps requests of clients to a queue: the host must be equal, and the longest matching path prefix wins.
struct Route {
    std::string host;
    std::string pathPrefix;
    std::string queue;
};

/// The operators' configuration as one process knows it. The version never decreases.
struct OperatorView {
    std::uint64_t configurationVersion = 0;
    /// Version of the newest row that was read; orders views with the same configuration version.
    std::uint64_t rowVersion = 0;
    std::map<std::string, Queue, std::less<>> queues;
    std::vector<Route> routes;
    /// Services that the configuration names.
    std::set<std::string, std::less<>> services;
    /// Data centres that operators have taken out of service.
    std::set<std::string, std::less<>> evacuated;

    [[nodiscard]] const Queue *findQueue(std::string_view name) const
    {
        const auto found = queues.find(name);
        return found == queues.end() ? nullptr : &found->second;
    }

    [[nodiscard]] bool namesService(std::string_view name) const
    {
        return services.contains(name);
    }

    [[nodiscard]] bool isEvacuated(std::string_view dataCentre) const
    {
        return evacuated.contains(dataCentre);
    }
};

} // namespace Carobflow::Scheduling
