#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include <boost/numeric/ublas/symmetric.hpp>
#include <boost/numeric/ublas/vector.hpp>

namespace Carobflow
{

/// Bayesian linear regression with one update per observation (a Kalman filter whose parameters are constant but for a
/// slow drift). It keeps the full covariance, so that parameters that were only ever observed together stay uncertain.
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

    /// Discards what was learned about a parameter and sets a new prior.
    void resetParameter(std::size_t index, double mean, double variance);

    /// Updates the parameters with an observation of `value` for the features, with noise of the given variance.
    /// Deviations from the prediction are clipped to three standard deviations, to limit the effect of an outlier.
    /// `drift` is the variance by which each parameter with a feature may have moved since its last observation.
    void observe(const Features &features, double value, double noiseVariance, double drift);

    [[nodiscard]] Estimate estimate(const Features &features) const;

    [[nodiscard]] double mean(std::size_t index) const
    {
        return m_mean(index);
    }

    [[nodiscard]] std::vector<double> means() const;
    /// Prior variance of each parameter. Drift never raises the variance above it.
    [[nodiscard]] std::vector<double> priorVariances() const;
    /// The lower triangle of the covariance, row by row.
    [[nodiscard]] std::vector<double> covariance() const;

    /// Restores the values that the three functions above returned. Returns false, with nothing changed, when they are
    /// inconsistent.
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
