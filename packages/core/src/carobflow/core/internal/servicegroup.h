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

/// The upstreams of one service that may get requests: none is leaving, drained or in a data centre that is out of
/// service.
struct ServiceGroup {
    using Members = std::vector<std::shared_ptr<const Upstream>>;

    /// In the data centre of this entry.
    Members local;
    Members remote;
};

/// The parameters of one choice of an upstream.
struct ChoiceRequest {
    TimePoint now;
    /// Upstreams whose latest announcement is older are not chosen.
    TimePoint earliestAnnouncement;
    /// Hosts on which this request was tried already; a request with any is not used as a probe.
    std::span<const std::string> excludedHosts;
};

struct Choice {
    const Upstream *upstream = nullptr;
    bool probe = false;
};

/// Compares two random candidates each of the local and the remote members by requests in progress and recent latency,
/// and takes the better local one unless it is clearly worse than the better remote one.
Choice chooseByLoad(const ServiceGroup &group, const ChoiceRequest &request, RandomEngine &engine);

/// Takes any upstream with equal probability, regardless of load and health.
Choice chooseUniformly(const ServiceGroup &group, const ChoiceRequest &request, RandomEngine &engine);

} // namespace Carobflow
