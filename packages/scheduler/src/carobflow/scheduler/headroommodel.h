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

/// Learns how much each image of fillers slows down each image of services.
///
/// The headroom of a service task is the ratio of its target to its tail latency. Like the idle part of a queue, it
/// falls in proportion to the processor time that fillers beside the task use, by an amount that differs by pair of
/// images. The load of the services themselves swings over ten seconds and more, so the model learns from changes
/// within a second, in which that load is about constant.
class HeadroomModel
{
public:
    struct Options {
        /// Assumed loss of headroom per core of an unknown image, and its standard deviation.
        double priorEffect = 0.08;
        double priorDeviation = 0.12;
        /// Variance of a change of headroom that fillers do not explain.
        double noiseVariance = 0.5;
        /// Variance by which an effect may move between two figures.
        double drift = 2e-5;
        /// Time between the two figures of a change. Figures cover half a second, so closer ones overlap.
        Milliseconds span{800};
        /// More images than any deployment has are a sign of jobs with random images; estimates are dropped then.
        std::size_t maxImages = 64;
    };

    struct Filler {
        std::string image;
        /// Processor time in use, in cores.
        double cores = 0;
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

    /// Takes the figures of one host.
    void
    observe(std::string_view host, std::span<const Service> services, std::span<const Filler> fillers, TimePoint now);

    /// Headroom that the service loses per core of the filler; not negative.
    [[nodiscard]] double effect(std::string_view service, std::string_view filler) const;

    /// Target over tail; bounded, since a tail near zero or far over its target says little more.
    static double headroom(Milliseconds tailTarget, std::int64_t tailMs);

private:
    struct Figures {
        TimePoint at;
        std::map<RunId, double> headroom;
        std::map<std::string, double, std::less<>> cores;
    };

    struct ServiceState {
        RecursiveRegression regression;
        std::map<std::string, std::size_t, std::less<>> parameters;
    };

    void learn(std::string_view image, const Figures &before, const Figures &after, double change);

    Options m_options;
    std::map<std::string, std::deque<Figures>, std::less<>> m_history;
    std::map<std::string, ServiceState, std::less<>> m_services;
};

} // namespace Carobflow::Scheduling
