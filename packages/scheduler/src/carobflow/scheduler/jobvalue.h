#pragma once

#include "carobflow/scheduler/job.h"

#include <string_view>

namespace Carobflow::Scheduling
{

/// What the result of a job is worth to its client at a time.
enum class Timeliness {
    /// Within the objective: its full worth.
    InTime,
    /// Later: a small part.
    Late,
    /// After several objectives: next to nothing.
    Expired,
};

/// "in-time", "late" or "expired", for the log and the counters.
std::string_view nameOf(Timeliness timeliness);

/// Rates jobs by what their callers lose when the jobs wait.
///
/// The value of a job's result is proportional to the work of the job: its caller waits for all of it. In time it is
/// worth everything, up to three objectives a small part, later next to nothing. The rate is the value that a unit of
/// the remaining work earns, relative to a job that has not begun and will end in time, which has 1. A job that is
/// nearly finished has a high rate, whatever its size, so that resources go to few jobs that end in time instead of
/// many that end late.
class JobValue
{
public:
    struct Options {
        /// Worth of a late result; the deployments state about 0.15 of the worth in time.
        double lateWorth = 0.15;
        /// Worth of a result after three objectives. Not 0, because accepted jobs have to end.
        double expiredWorth = 0.01;
        /// Multiple of its objective after which the result of a job is worthless to the client.
        int expiredAfterObjectives = 3;
    };

    explicit JobValue(Options options)
        : m_options(options)
    {
    }

    /// The rate of a batch job that gets resources from now on. Jobs with long-running tasks have no end to rate.
    [[nodiscard]] double rate(const Job &job, TimePoint now) const;

    /// The rate of a batch job that ends at a time.
    [[nodiscard]] double rateWithEnd(const Job &job, TimePoint end) const;

    /// The fraction of its worth that the job's result has for its caller at a time.
    [[nodiscard]] double worthAt(const Job &job, TimePoint end) const;

    [[nodiscard]] Timeliness timelinessAt(const Job &job, TimePoint end) const;

    /// Time until which the job's result has its full worth, from the likely length of its critical path.
    [[nodiscard]] static TimePoint objectiveEnd(const Job &job);

private:
    Options m_options;
};

/// The likely length of a step: the time of its slowest task. The time grows with the number of tasks, because their
/// run times differ by about half of their mean.
Milliseconds likelyStepLength(const StepSpec &step);

} // namespace Carobflow::Scheduling
