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

/// Learns by how much each job class slows down each service. The logarithm of a window's tail latency is taken as the
/// sum of the service's own tail at that load and one term for each class beside it, so that the classes of a window
/// are attributed jointly. Called from one thread at a time.
class InterferenceModel
{
public:
    struct Options {
        /// Assumed for a class that was not seen beside the service: the factor, and the standard deviation of its
        /// logarithm.
        double priorFactor = 1.15;
        double priorDeviation = 0.5;
        /// Classes remembered for each service; beyond it the one that was not seen for longest is forgotten. An update
        /// costs a time in the square of this number.
        std::uint32_t maxClasses = 32;
        /// Windows with fewer requests say too little about a tail.
        std::uint32_t minCompleted = 20;
    };

    struct Prediction {
        /// Tail latency with one task of the class as a multiple of the tail without it; at least 1.
        double factor = 1;
        /// Share of the prior uncertainty that measurements have removed, between 0 and 1.
        double confidence = 0;
        /// Standard deviation of the factor's logarithm.
        double deviation = 0;
    };

    explicit InterferenceModel(Options options);
    ~InterferenceModel();
    InterferenceModel(const InterferenceModel &) = delete;
    InterferenceModel &operator=(const InterferenceModel &) = delete;

    /// Learns from a window. `shares` are the shares of its processor time, between 0 and 1, that each entry of the
    /// window's jobClasses could use; empty when none was throttled.
    void observe(const ServiceWindow &window, std::span<const double> shares = {});

    [[nodiscard]] Prediction predict(std::string_view service, std::string_view jobClass, double load) const;

    /// What was learned, for restore().
    [[nodiscard]] boost::json::value toJson() const;

    /// Replaces what was learned. Errors: InvalidArgument, with nothing changed, when the value is not one of toJson().
    Status restore(const boost::json::value &value);

private:
    class Service;

    Options m_options;
    std::map<std::string, std::unique_ptr<Service>, std::less<>> m_services;
};

} // namespace Carobflow
