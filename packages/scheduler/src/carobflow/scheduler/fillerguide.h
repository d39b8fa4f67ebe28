#pragma once

#include "carobflow/scheduler/headroommodel.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Says on which hosts fillers disturb the services there too much, by what a model has learned of each pair of images.
class FillerGuide
{
public:
    struct Options {
        /// Headroom that a service keeps beside a new filler: a tail of half its target. The load of the services
        /// swings by half, and the figures lag by half a second.
        double leastHeadroom = 2.0;
        /// A loss of headroom below this is no reason to keep a filler away, however little headroom there is.
        double negligibleLoss = 0.15;
        /// Until the figures show a new filler, its expected effect counts in full.
        Milliseconds figureLag{1200};
    };

    explicit FillerGuide(Options options);

    /// Takes a host's figures.
    void observe(std::string_view host,
                 std::vector<HeadroomModel::Service> services,
                 std::span<const HeadroomModel::Filler> fillers,
                 TimePoint now);

    /// A filler that asks for this many cores was placed on a host.
    void onPlaced(std::string_view host, std::string_view image, double cores, TimePoint now);

    /// The part of its headroom that one more filler is expected to take from the service on the host that loses most.
    /// None when it would leave too little headroom to a service that it slows down.
    [[nodiscard]] std::optional<double>
    lossOn(std::string_view host, std::string_view image, double cores, TimePoint now) const;

    /// Headroom that the service loses per core of the filler.
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
    };

    [[nodiscard]] double
    expectedHeadroom(const HostState &host, const HeadroomModel::Service &service, TimePoint now) const;

    Options m_options;
    HeadroomModel m_model;
    std::map<std::string, HostState, std::less<>> m_hosts;
};

} // namespace Carobflow::Scheduling
