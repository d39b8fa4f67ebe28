#pragma once

#include "carobflow/core/clock.h"
#include "carobflow/core/recursiveregression.h"
#include "carobflow/scheduler/workload.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Estimates how much fillers of each image slow down services of each image.
///
/// The headroom of a service task is the ratio of its tail latency target to its tail latency. Like the idle fraction
/// of a queueing system, it falls in proportion to the processor time that fillers on the same host use; the slope
/// differs by pair of images. The load of a service varies over ten seconds and more, so the model learns from changes
/// within about a second, during which that load is nearly constant.
class HeadroomModel
{
public:
    struct Options {
        /// Assumed loss of headroom per core of an unknown image, and its standard deviation.
        double priorEffect = 0.08;
        double priorDeviation = 0.12;
        /// Variance of the changes of headroom that have other causes than fillers.
        double noiseVariance = 0.5;
        /// Variance by which an effect may drift between two samples.
        double drift = 2e-5;
        /// Time between the two samples of a change. A sample covers half a second, so closer ones overlap.
        Milliseconds sampleSpacing{800};
        /// Limit of the images of either kind; estimates are dropped beyond it. It exceeds the images of any
        /// deployment, so more indicate jobs with random image names.
        std::size_t maxImages = 64;
    };

    struct Filler {
        std::string image;
        /// Processor time in use, in cores.
        double cores = 0;
        /// Percentage of its full speed to which the host limits it.
        std::uint32_t share = 100;
    };

    struct Service {
        RunId run;
        std::string image;
        Milliseconds tailTarget{0};
        std::int64_t tailMs = 0;
    };

    explicit HeadroomModel(Options options)
        : m_options(options)
    {
    }

    /// Records the measurements of one host.
    void
    observe(std::string_view host, std::span<const Service> services, std::span<const Filler> fillers, TimePoint now);

    /// Headroom that a service of one image loses per core of fillers of the other; not negative.
    [[nodiscard]] double effect(std::string_view service, std::string_view filler) const;

    /// Ratio of the target to the tail latency, clamped, because extreme values carry no further information.
    static double headroom(Milliseconds tailTarget, std::int64_t tailMs);

private:
    struct ServiceHeadroom {
        RunId run;
        double headroom = 0;
    };

    struct Sample {
        TimePoint at;
        std::vector<ServiceHeadroom> services;
        std::map<std::string, double, std::less<>> cores;
    };

    /// Changes of the processor time in use, in cores, by image of the fillers.
    using CoreChanges = std::map<std::string_view, double>;

    struct ServiceState {
        RecursiveRegression regression;
        std::map<std::string, std::size_t, std::less<>> parameters;
    };

    static CoreChanges changesBetween(const Sample &before, const Sample &after);
    void learn(std::string_view image, const CoreChanges &changes, double headroomChange);

    Options m_options;
    std::map<std::string, std::deque<Sample>, std::less<>> m_history;
    std::map<std::string, ServiceState, std::less<>> m_services;
};

} // namespace Carobflow::Scheduling
