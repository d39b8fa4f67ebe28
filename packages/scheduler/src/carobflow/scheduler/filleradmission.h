#pragma once

#include "carobflow/scheduler/headroommodel.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Decides on which hosts a filler would degrade the services too much, based on the effect that a model has learned
/// for each pair of images.
class FillerAdmission
{
public:
    struct Options {
        /// Headroom that a service must keep beside a new filler; 2 is a tail latency of half the target. The load of
        /// services varies by half, and measurements lag by half a second.
        double minHeadroom = 2.0;
        /// A loss of headroom up to this never prevents a placement, however little headroom there is.
        double negligibleLoss = 0.15;
        /// A host that limits an image to a lower percentage takes no further filler of the image: the limit would
        /// apply to it from its start.
        std::uint32_t minShare = 60;
        /// Time until measurements show the effect of a new filler; until then its expected effect is subtracted.
        Milliseconds measurementLag{1200};
    };

    explicit FillerAdmission(Options options);

    /// Records the measurements of one host.
    void observe(std::string_view host,
                 std::vector<HeadroomModel::Service> services,
                 std::span<const HeadroomModel::Filler> fillers,
                 TimePoint now);

    /// Records that a filler that requests this many cores was placed on a host.
    void onPlaced(std::string_view host, std::string_view image, double cores, TimePoint now);

    /// The largest fraction of its headroom that a service on the host is expected to lose to one more filler. None
    /// when a service that it slows down would be left with too little headroom, or the host already limits its image.
    [[nodiscard]] std::optional<double>
    expectedLoss(std::string_view host, std::string_view image, double cores, TimePoint now) const;

    /// Headroom that a service of one image loses per core of fillers of the other.
    [[nodiscard]] double effect(std::string_view service, std::string_view filler) const
    {
        return m_model.effect(service, filler);
    }

private:
    struct RecentFiller {
        std::string image;
        double cores = 0;
        TimePoint placedAt;
    };

    struct HostState {
        std::vector<HeadroomModel::Service> services;
        std::vector<RecentFiller> recent;
        /// Images of fillers that the host limits to a low share.
        std::set<std::string, std::less<>> limitedImages;
    };

    [[nodiscard]] double
    expectedHeadroom(const HostState &host, const HeadroomModel::Service &service, TimePoint now) const;

    Options m_options;
    HeadroomModel m_model;
    std::map<std::string, HostState, std::less<>> m_hosts;
};

} // namespace Carobflow::Scheduling
