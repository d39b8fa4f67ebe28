#include "carobflow/scheduler/jobvalue.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Carobflow::Scheduling
{
namespace
{

/// Fits the expected maximum of lognormal run times with a spread of a half: 1 for one task, 2.2 for twenty.
constexpr double LengthPerLogTasks = 0.4;
/// Part of a running task's work that counts as done. Its exact progress is not worth a look at every run.
constexpr double RunningWorkDone = 0.5;
/// A job whose work is nearly done would otherwise have an unbounded rate.
constexpr double SmallestRemainder = 0.02;

} // namespace

Milliseconds likelyStepLength(const StepSpec &step)
{
    const double factor = 1 + LengthPerLogTasks * std::log(static_cast<double>(std::max(1U, step.count)));
    return std::chrono::duration_cast<Milliseconds>(step.estimate * factor);
}

TimePoint JobValue::objectiveEnd(const Job &job)
{
    return job.acceptedAt() + job.objectiveFor(job.likelyPath());
}

std::string_view nameOf(Timeliness timeliness)
{
    constexpr std::array<std::string_view, 3> names{"in-time", "late", "expired"};
    return names[static_cast<std::size_t>(timeliness)];
}

Timeliness JobValue::timelinessAt(const Job &job, TimePoint end) const
{
    const Duration objective = objectiveEnd(job) - job.acceptedAt();
    const Duration took = end - job.acceptedAt();
    if (took <= objective) {
        return Timeliness::InTime;
    }
    return took <= objective * m_options.expiredAfterObjectives ? Timeliness::Late : Timeliness::Expired;
}

double JobValue::worthAt(const Job &job, TimePoint end) const
{
    const std::array worths{1.0, m_options.lateWorth, m_options.expiredWorth};
    return worths[static_cast<std::size_t>(timelinessAt(job, end))];
}

double JobValue::rate(const Job &job, TimePoint now) const
{
    return rateWithEnd(job, now + job.remainingLikelyPath());
}

double JobValue::rateWithEnd(const Job &job, TimePoint end) const
{
    const double total = std::max(1.0, job.totalWork());
    const double running = RunningWorkDone * total * static_cast<double>(job.attemptCount())
        / static_cast<double>(std::max<std::size_t>(1, job.taskCount()));
    const double remainder = std::max(SmallestRemainder, (job.remainingWork() - running) / total);
    return worthAt(job, end) / remainder;
}

} // namespace Carobflow::Scheduling
