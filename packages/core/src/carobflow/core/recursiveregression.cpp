// The debug checks of uBLAS make an update several times slower.
#define BOOST_UBLAS_NDEBUG

#include "carobflow/core/recursiveregression.h"

#include <algorithm>
#include <cmath>

#include <boost/numeric/ublas/matrix_expression.hpp>

namespace Carobflow
{

namespace
{

constexpr double OutlierDeviations = 3;

template<typename VectorType>
double dot(const RecursiveRegression::Features &features, const VectorType &vector)
{
    double sum = 0;
    for (const auto &[index, value] : features) {
        sum += value * vector(index);
    }
    return sum;
}

bool areFinite(const std::vector<double> &values)
{
    return std::ranges::all_of(values, [](double value) { return std::isfinite(value); });
}

} // namespace

std::size_t RecursiveRegression::size() const
{
    return m_mean.size();
}

std::size_t RecursiveRegression::addParameter(double mean, double variance)
{
    const std::size_t index = size();
    m_mean.resize(index + 1);
    m_covariance.resize(index + 1);
    m_priorVariances.push_back(variance);
    resetParameter(index, mean, variance);
    return index;
}

void RecursiveRegression::resetParameter(std::size_t index, double mean, double variance)
{
    m_mean(index) = mean;
    m_priorVariances[index] = variance;
    for (std::size_t other = 0; other < size(); ++other) {
        m_covariance(std::max(index, other), std::min(index, other)) = other == index ? variance : 0;
    }
}

RecursiveRegression::Vector RecursiveRegression::project(const Features &features) const
{
    Vector result(size(), 0);
    for (const auto &[index, value] : features) {
        for (std::size_t row = 0; row < size(); ++row) {
            result(row) += value * m_covariance(row, index);
        }
    }
    return result;
}

void RecursiveRegression::observe(const Features &features, double value, double noiseVariance, double drift)
{
    for (const auto &feature : features) {
        double &variance = m_covariance(feature.first, feature.first);
        variance = std::max(variance, std::min(variance + drift, m_priorVariances[feature.first]));
    }
    const Vector projected = project(features);
    const double variance = dot(features, projected) + noiseVariance;
    const double limit = OutlierDeviations * std::sqrt(variance);
    const double innovation = std::clamp(value - dot(features, m_mean), -limit, limit);
    m_mean += projected * (innovation / variance);
    for (std::size_t row = 0; row < size(); ++row) {
        for (std::size_t column = 0; column <= row; ++column) {
            m_covariance(row, column) -= projected(row) * projected(column) / variance;
        }
    }
}

RecursiveRegression::Estimate RecursiveRegression::estimate(const Features &features) const
{
    return {.mean = dot(features, m_mean), .variance = std::max(0.0, dot(features, project(features)))};
}

std::vector<double> RecursiveRegression::means() const
{
    return {m_mean.begin(), m_mean.end()};
}

std::vector<double> RecursiveRegression::priorVariances() const
{
    return m_priorVariances;
}

std::vector<double> RecursiveRegression::covariance() const
{
    std::vector<double> result;
    result.reserve(size() * (size() + 1) / 2);
    for (std::size_t row = 0; row < size(); ++row) {
        for (std::size_t column = 0; column <= row; ++column) {
            result.push_back(m_covariance(row, column));
        }
    }
    return result;
}

bool RecursiveRegression::restore(const std::vector<double> &means,
                                  const std::vector<double> &priorVariances,
                                  const std::vector<double> &covariance)
{
    const std::size_t count = means.size();
    if (priorVariances.size() != count || covariance.size() != count * (count + 1) / 2 || !areFinite(means)
        || !areFinite(priorVariances) || !areFinite(covariance)) {
        return false;
    }
    Matrix matrix(count);
    auto next = covariance.begin();
    for (std::size_t row = 0; row < count; ++row) {
        for (std::size_t column = 0; column <= row; ++column) {
            matrix(row, column) = *next++;
        }
        if (matrix(row, row) < 0) {
            return false;
        }
    }
    m_mean.resize(count);
    std::ranges::copy(means, m_mean.begin());
    m_covariance = matrix;
    m_priorVariances = priorVariances;
    return true;
}

} // namespace Carobflow
