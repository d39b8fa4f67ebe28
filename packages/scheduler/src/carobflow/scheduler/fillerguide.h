#pragma once

#include "carobflow/core/interference.h"
#include "carobflow/scheduler/workload.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Says on which hosts fillers disturb the services there too much. It learns the effect of each pair of images from
/// the tails that hosts report, and expects the same of the next filler.
class FillerGuide
{
public:
    /// A task that serves, with its newest figure.
    struct ServingTask {
        std::string image;
        Milliseconds tailTarget{0};
        std::int64_t tailMs = 0;
    };

    struct Options {
        /// Part of a target up to which a tail may be expected to rise. The load of the services swings by half, and
        /// the figures lag by half a second.
        double maxPressure = 0.62;
        /// Fillers are added only where those that run are not held back by more than this share.
        std::uint32_t leastShare = 85;
        /// Until the figures show a new filler, its expected effect counts in full.
        Milliseconds figureLag{1200};
    };

    explicit FillerGuide(Options options);

    /// Takes a host's figures. `share` is the share of their work that its fillers are held to.
    void observe(std::string_view host,
                 std::vector<ServingTask> serving,
                 std::span<const std::string> fillerImages,
                 std::uint32_t share);

    /// A filler was placed on a host.
    void onPlaced(std::string_view host, std::string_view image, TimePoint now);

    /// True when one more filler of this image is expected to leave every tail on the host below its target.
    [[nodiscard]] bool admits(std::string_view host, std::string_view image, TimePoint now) const
    {
        return pressureWith(host, image, now) <= m_options.maxPressure;
    }

    /// The largest expected ratio of tail to target on the host with one more filler of this image.
    [[nodiscard]] double pressureWith(std::string_view host, std::string_view image, TimePoint now) const;

private:
    struct RecentFiller {
        std::string image;
        TimePoint placedAt;
    };

    struct HostState {
        std::vector<ServingTask> serving;
        std::vector<RecentFiller> recent;
        std::uint32_t share = 100;
    };

    Options m_options;
    InterferenceModel m_model;
    std::map<std::string, HostState, std::less<>> m_hosts;
};

} // namespace Carobflow::Scheduling
