#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace Carobflow
{

/// Learns how much each job class slows down each service. The logarithm of a window's tail latency is modelled as the
/// sum of the service's own tail at that load and one term for each job class on the host, so that a slowdown is
/// attributed to all classes of a window jointly. Not thread-safe.
class InterferenceModel
{
public:
    struct Options {
        /// Prior for a class that was never observed with the service: the slowdown factor and the standard deviation
        /// of its logarithm.
        double priorFactor = 1.15;
        double priorDeviation = 0.5;
        /// Limit of classes per service; beyond it the least recently observed one is replaced. The time of an update
        /// grows with the square of this number.
        std::uint32_t maxClasses = 32;
        /// Windows with fewer completed requests do not give a usable tail latency and are ignored.
        std::uint32_t minCompleted = 20;
    };

    struct Prediction {
        /// Tail latency with one task of the class, as a multiple of the tail without it; at least 1.
        double factor = 1;
        /// Share of the prior variance that observations have removed, between 0 and 1.
        double confidence = 0;
        /// Standard deviation of the logarithm of the factor.
        double deviation = 0;
    };

    explicit InterferenceModel(Options options);
    ~InterferenceModel();
    InterferenceModel(const InterferenceModel &) = delete;
    InterferenceModel &operator=(const InterferenceModel &) = delete;

    /// Updates the model with a window. `shares` holds, for each entry of the window's jobClasses, the share of its
    /// processor time that its throttle allowed, between 0 and 1; empty when none was throttled.
    void observe(const ServiceWindow &window, std::span<const double> shares = {});

    [[nodiscard]] Prediction predict(std::string_view service, std::string_view jobClass, double load) const;

    /// Serializes the learned parameters for restore().
    [[nodiscard]] boost::json::value toJson() const;

    /// Replaces the learned parameters. Errors: InvalidArgument, with nothing changed, when the value is not one of
    /// toJson().
    Status restore(const boost::json::value &value);

private:
    class Service;

    Options m_options;
    std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
};

} // namespace Carobflow
