#pragma once

#include "carobflow/core/routing.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/random/taus88.hpp>

namespace Carobflow
{

using RandomEngine = boost::random::taus88;

/// The upstreams of one service that may get requests: none is leaving, drained or in a data centre that is out.
struct ServiceGroup {
    using Members = std::vector<std::shared_ptr<const Upstream>>;

    /// In the data centre of this entry.
    Members local;
    Members remote;
};

/// One choice of an upstream out of a group.
struct ChoiceRequest {
    TimePoint now;
    /// Upstreams whose latest announcement is older are not chosen.
    TimePoint earliestAnnouncement;
    /// Hosts at which this request was tried already; a request with any is not used as a probe.
    std::span<const std::string> excludedHosts;
};

struct Choice {
    const Upstream *upstream = nullptr;
    bool probe = false;
};

/// Compares two random candidates of each data centre group by outstanding work and recent latency, and takes the local
/// one while it is not clearly worse. `randomSeed` decides the candidates.
Choice chooseByLoad(const ServiceGroup &group, const ChoiceRequest &request, RandomEngine &engine);

/// Takes any upstream with equal probability, whatever its load and health.
Choice chooseUniformly(const ServiceGroup &group, const ChoiceRequest &request, RandomEngine &engine);

} // namespace Carobflow
