#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include <boost/numeric/ublas/symmetric.hpp>
#include <boost/numeric/ublas/vector.hpp>

namespace Carobflow
{

/// Bayesian linear regression that takes one observation at a time (a Kalman filter with constant parameters and slow
/// drift). It keeps the full covariance, so that parameters that were only ever seen together stay uncertain.
class RecursiveRegression
{
public:
    /// The non-zero features of an observation, as pairs of parameter index and value.
    using Features = std::vector<std::pair<std::size_t, double>>;

    struct Estimate {
        double mean = 0;
        double variance = 0;
    };

    [[nodiscard]] std::size_t size() const;

    /// Adds a parameter with its prior and returns its index.
    std::size_t addParameter(double mean, double variance);

    /// Forgets all about a parameter and gives it a new prior.
    void resetParameter(std::size_t index, double mean, double variance);

    /// Learns that the features gave `value`, with noise of the given variance. Values more than three standard
    /// deviations off count as three, so that one outlier cannot spoil the estimate. `drift` is the variance by which
    /// each parameter with a feature may have moved since its last observation.
    void observe(const Features &features, double value, double noiseVariance, double drift);

    [[nodiscard]] Estimate estimate(const Features &features) const;

    [[nodiscard]] double mean(std::size_t index) const
    {
        return m_mean(index);
    }

    [[nodiscard]] std::vector<double> means() const;
    /// Prior variance of each parameter: the upper limit of the drift.
    [[nodiscard]] std::vector<double> priorVariances() const;
    /// The lower triangle of the covariance, row by row.
    [[nodiscard]] std::vector<double> covariance() const;

    /// Restores what the three functions above returned; false, without a change, when the values do not fit together.
    bool restore(const std::vector<double> &means,
                 const std::vector<double> &priorVariances,
                 const std::vector<double> &covariance);

private:
    using Matrix = boost::numeric::ublas::symmetric_matrix<double, boost::numeric::ublas::lower>;
    using Vector = boost::numeric::ublas::vector<double>;

    /// The covariance times the features.
    [[nodiscard]] Vector project(const Features &features) const;

    Vector m_mean;
    Matrix m_covariance;
    std::vector<double> m_priorVariances;
};

} // namespace Carobflow
