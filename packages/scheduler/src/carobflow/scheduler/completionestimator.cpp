#include "carobflow/scheduler/completionestimator.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Weight of a new sample of the slowdown; about the last 50 tasks count.
constexpr double SampleWeight = 0.02;

} // namespace

void CompletionEstimator::onTaskDone(std::uint32_t priority, double work, double slowdown, TimePoint now)
{
    m_firstEndAt = m_firstEndAt.value_or(now);
    Ends &ends = m_ends[priority];
    const std::int64_t slice = now.time_since_epoch() / sliceLength();
    Bucket &bucket = ends.buckets[static_cast<std::size_t>(slice) % Buckets];
    if (bucket.slice != slice) {
        bucket = {.slice = slice};
    }
    bucket.work += work;
    ++bucket.ends;
    ends.slowdown += SampleWeight * (std::clamp(slowdown, 1.0, m_options.longestSample) - ends.slowdown);
}

std::optional<double> CompletionEstimator::finishRate(std::uint32_t priority, std::uint32_t highest, TimePoint now)
{
    if (!m_firstEndAt || now - *m_firstEndAt < m_options.window) {
        return std::nullopt;
    }
    const std::int64_t slice = now.time_since_epoch() / sliceLength();
    double work = 0;
    std::size_t count = 0;
    for (auto ends = m_ends.upper_bound(highest); ends != m_ends.end() && ends->first <= priority; ++ends) {
        for (const Bucket &bucket : ends->second.buckets) {
            const bool inWindow = bucket.slice > slice - static_cast<std::int64_t>(Buckets);
            work += inWindow ? bucket.work : 0;
            count += inWindow ? bucket.ends : 0;
        }
    }
    if (count < m_options.minimumEnds) {
        return std::nullopt;
    }
    // The current slice has only begun, so the window is up to a slice shorter than its nominal length.
    const std::chrono::duration<double, std::milli> length = now.time_since_epoch()
        - (slice - static_cast<std::int64_t>(Buckets) + 1) * sliceLength();
    const double rate = work / length.count();
    Peak &peak = m_peaks[priority];
    if (rate >= peak.rate || now - peak.at > m_options.peakRetention) {
        peak = {.rate = rate, .at = now};
    }
    return peak.rate;
}

double CompletionEstimator::slowdown(std::uint32_t priority) const
{
    const auto ends = m_ends.find(priority);
    return ends == m_ends.end() ? 1 : ends->second.slowdown;
}

Duration CompletionEstimator::estimate(const QueueState &state, const Job &job)
{
    using Millis = std::chrono::duration<double, std::milli>;
    const Millis wait(state.workAhead / state.finishRate);
    const Millis path = Millis(job.likelyPath()) * state.slowdown;
    return std::chrono::duration_cast<Duration>(wait + path);
}

} // namespace Carobflow::Scheduling
