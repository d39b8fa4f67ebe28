#include "carobflow/core/interference.h"

#include "carobflow/core/recursiveregression.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include <boost/describe/class.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow
{

namespace
{

/// The tail without neighbours is learned at this number of loads (0, 1/4, … 1) and interpolated between them.
constexpr std::size_t BaseKnots = 5;
constexpr double BasePriorMilliseconds = 50;
constexpr double BasePriorVariance = 9;
/// Each class has two parameters: its effect at the reference load and the slope of that effect over the load.
constexpr std::size_t ParametersPerClass = 2;
constexpr double ReferenceLoad = 0.5;
/// Variance of the logarithm of a measured tail: a constant part, and a part that is divided by the number of requests,
/// because only a few of them determine the 99th percentile.
constexpr double NoiseVariance = 0.01;
constexpr double NoiseVariancePerRequest = 5;
/// Lets the estimates follow changes. With the noise above, their standard deviation stays at about 0.03.
constexpr double DriftVariance = 1e-5;

/// Serialized parameters of one service. The field names are the keys in the snapshot.
struct StoredService {
    std::string name;
    std::vector<std::string> classes;
    std::vector<std::uint64_t> lastSeen;
    std::uint64_t observations = 0;
    std::vector<double> means;
    std::vector<double> priorVariances;
    std::vector<double> covariance;
};
BOOST_DESCRIBE_STRUCT(StoredService, (), (name, classes, lastSeen, observations, means, priorVariances, covariance))

struct StoredModel {
    std::vector<StoredService> services;
};
BOOST_DESCRIBE_STRUCT(StoredModel, (), (services))

double clampLoad(double load)
{
    return std::clamp(load, 0.0, 1.0);
}

} // namespace

class InterferenceModel::Service
{
public:
    using Features = RecursiveRegression::Features;

    explicit Service(const Options &options)
        : m_options(options)
    {
        for (std::size_t knot = 0; knot < BaseKnots; ++knot) {
            m_regression.addParameter(std::log(BasePriorMilliseconds), BasePriorVariance);
        }
    }

    void observe(const ServiceWindow &window, std::span<const double> shares)
    {
        ++m_observations;
        const double load = clampLoad(window.load);
        std::map<std::size_t, double> amounts;
        for (std::size_t index = 0; index < window.jobClasses.size(); ++index) {
            amounts[findOrAddClass(window.jobClasses[index])] += index < shares.size() ? shares[index] : 1;
        }
        Features features = baseFeatures(load);
        for (const auto &[jobClass, amount] : amounts) {
            std::ranges::copy(classFeatures(jobClass, amount, load), std::back_inserter(features));
        }
        const double noise = NoiseVariance + NoiseVariancePerRequest / window.completed;
        m_regression.observe(features, std::log(window.p99Milliseconds), noise, DriftVariance);
    }

    [[nodiscard]] std::optional<RecursiveRegression::Estimate> estimate(std::string_view jobClass, double load) const
    {
        const auto found = std::ranges::find(m_classes, jobClass);
        if (found == m_classes.end()) {
            return std::nullopt;
        }
        const auto index = static_cast<std::size_t>(found - m_classes.begin());
        return m_regression.estimate(classFeatures(index, 1, load));
    }

    [[nodiscard]] StoredService store(const std::string &name) const
    {
        return {.name = name,
                .classes = m_classes,
                .lastSeen = m_lastSeen,
                .observations = m_observations,
                .means = m_regression.means(),
                .priorVariances = m_regression.priorVariances(),
                .covariance = m_regression.covariance()};
    }

    bool restore(const StoredService &stored)
    {
        m_classes = stored.classes;
        m_lastSeen = stored.lastSeen;
        m_observations = stored.observations;
        return m_classes.size() == m_lastSeen.size()
            && stored.means.size() == BaseKnots + ParametersPerClass * m_classes.size()
            && m_regression.restore(stored.means, stored.priorVariances, stored.covariance);
    }

private:
    static Features baseFeatures(double load)
    {
        const double position = load * (BaseKnots - 1);
        const auto lower = std::min(static_cast<std::size_t>(position), BaseKnots - 2);
        const double weight = position - static_cast<double>(lower);
        return {{lower, 1 - weight}, {lower + 1, weight}};
    }

    static Features classFeatures(std::size_t index, double amount, double load)
    {
        const std::size_t first = BaseKnots + ParametersPerClass * index;
        return {{first, amount}, {first + 1, amount * (load - ReferenceLoad)}};
    }

    std::size_t findOrAddClass(const std::string &jobClass)
    {
        const auto found = std::ranges::find(m_classes, jobClass);
        auto index = static_cast<std::size_t>(found - m_classes.begin());
        const double mean = std::log(m_options.priorFactor);
        const double variance = m_options.priorDeviation * m_options.priorDeviation;
        if (found == m_classes.end() && m_classes.size() < std::max(1U, m_options.maxClasses)) {
            m_classes.push_back(jobClass);
            m_lastSeen.push_back(0);
            m_regression.addParameter(mean, variance);
            m_regression.addParameter(0, variance);
        } else if (found == m_classes.end()) {
            index = static_cast<std::size_t>(std::ranges::min_element(m_lastSeen) - m_lastSeen.begin());
            m_classes[index] = jobClass;
            m_regression.resetParameter(BaseKnots + ParametersPerClass * index, mean, variance);
            m_regression.resetParameter(BaseKnots + ParametersPerClass * index + 1, 0, variance);
        }
        m_lastSeen[index] = m_observations;
        return index;
    }

    const Options &m_options;
    std::vector<std::string> m_classes;
    /// For each class the number of the last observation that contained it.
    std::vector<std::uint64_t> m_lastSeen;
    std::uint64_t m_observations = 0;
    RecursiveRegression m_regression;
};

InterferenceModel::InterferenceModel(Options options)
    : m_options(options)
{
}

InterferenceModel::~InterferenceModel() = default;

void InterferenceModel::observe(const ServiceWindow &window, std::span<const double> shares)
{
    const bool isUsable = window.completed >= std::max(1U, m_options.minCompleted)
        && std::isfinite(window.p99Milliseconds) && window.p99Milliseconds > 0 && std::isfinite(window.load);
    if (!isUsable) {
        return;
    }
    auto &service = m_services[window.service];
    if (!service) {
        service = std::make_unique<Service>(m_options);
    }
    service->observe(window, shares);
}

InterferenceModel::Prediction
InterferenceModel::predict(std::string_view service, std::string_view jobClass, double load) const
{
    const double effectiveLoad = clampLoad(load);
    const double offset = effectiveLoad - ReferenceLoad;
    const double priorVariance = m_options.priorDeviation * m_options.priorDeviation * (1 + offset * offset);
    RecursiveRegression::Estimate estimate{.mean = std::log(m_options.priorFactor), .variance = priorVariance};
    if (const auto found = m_services.find(service); found != m_services.end()) {
        estimate = found->second->estimate(jobClass, effectiveLoad).value_or(estimate);
    }
    return {.factor = std::max(1.0, std::exp(estimate.mean)),
            .confidence = std::clamp(1 - estimate.variance / priorVariance, 0.0, 1.0),
            .deviation = std::sqrt(estimate.variance)};
}

boost::json::value InterferenceModel::toJson() const
{
    StoredModel model;
    for (const auto &[name, service] : m_services) {
        model.services.push_back(service->store(name));
    }
    return boost::json::value_from(model);
}

Status InterferenceModel::restore(const boost::json::value &value)
{
    const auto model = boost::json::try_value_to<StoredModel>(value);
    if (!model) {
        return Error{.kind = ErrorKind::InvalidArgument,
                     .message = "the stored interference model cannot be parsed (" + model.error().message()
                         + "); start with an empty model"};
    }
    decltype(m_services) services;
    for (const auto &stored : model->services) {
        auto service = std::make_unique<Service>(m_options);
        if (!service->restore(stored)) {
            return Error{.kind = ErrorKind::InvalidArgument,
                         .message = "the stored interference model of service " + stored.name
                             + " is inconsistent; start with an empty model"};
        }
        services[stored.name] = std::move(service);
    }
    m_services = std::move(services);
    return std::monostate{};
}

} // namespace Carobflow
