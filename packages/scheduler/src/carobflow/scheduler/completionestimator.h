#pragma once

#include "carobflow/scheduler/job.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace Carobflow::Scheduling
{

/// What the work before a job and the recent past say about when the job can end.
struct QueueState {
    /// Core-milliseconds of estimated work that is ordered before the job.
    double workAhead = 0;
    /// Core-milliseconds of estimated work that finish per millisecond.
    double finishRate = 0;
    /// Run time of recent tasks relative to their estimates; at least 1.
    double slowdown = 1;
};

/// Predicts when a job would end, from the rate at which work has finished recently.
///
/// Both the work ahead and the rate are in units of the callers' estimates, so estimates that are wrong by a common
/// factor cancel out. The rate is a lower bound of the capacity unless work has waited all the time.
class CompletionEstimator
{
public:
    struct Options {
        /// Length of the sliding window. A batch task takes about 2 s and is paced by services, so shorter windows
        /// hold too few ends to be stable.
        Seconds window{8};
        /// Ends in the window below which there is no rate.
        std::size_t minimumEnds = 40;
        /// How long the highest rate of a window is used. Ends are reported late when the store or a link is slow, and
        /// the rate of such a window is too low.
        Seconds peakRetention{20};
        /// Upper bound of a single sample of the slowdown; 3 of 100 tasks take 7 times as long as estimated.
        double longestSample = 3;
    };

    explicit CompletionEstimator(Options options)
        : m_options(options)
    {
    }

    /// Records the end of a task that succeeded. `work` is in core-milliseconds of its estimate.
    void onTaskDone(std::uint32_t priority, double work, double slowdown, TimePoint now);

    /// The highest recent rate at which work has finished that is of this priority or higher, but not of the highest.
    /// Empty without evidence.
    [[nodiscard]] std::optional<double> finishRate(std::uint32_t priority, std::uint32_t highest, TimePoint now);

    /// Mean run time of recent tasks of this priority relative to their estimates.
    [[nodiscard]] double slowdown(std::uint32_t priority) const;

    /// Time until a job ends that is served after the work ahead of it.
    [[nodiscard]] static Duration estimate(const QueueState &state, const Job &job);

private:
    static constexpr std::size_t Buckets = 16;

    /// Work that finished in one slice of the window.
    struct Bucket {
        std::int64_t slice = 0;
        double work = 0;
        std::size_t ends = 0;
    };

    struct Ends {
        std::array<Bucket, Buckets> buckets;
        double slowdown = 1;
    };

    struct Peak {
        double rate = 0;
        TimePoint at;
    };

    [[nodiscard]] Duration sliceLength() const
    {
        return Duration(m_options.window) / Buckets;
    }

    Options m_options;
    std::map<std::uint32_t, Ends> m_ends;
    std::map<std::uint32_t, Peak> m_peaks;
    std::optional<TimePoint> m_firstEndAt;
};

} // namespace Carobflow::Scheduling
