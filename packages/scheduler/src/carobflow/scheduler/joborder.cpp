#include "carobflow/scheduler/joborder.h"

#include <algorithm>
#include <utility>

namespace Carobflow::Scheduling
{
namespace
{

/// Multiple of its latency objective after which the result of a job is worthless to the client.
constexpr int WorthlessAfterObjectives = 3;

} // namespace

JobOrder::Rank JobOrder::rankOf(const Job &job) const
{
    if (std::ranges::any_of(job.spec().steps, &StepSpec::longRunning)) {
        // A service has no completion time to miss, and every second without its tasks is an outage.
        return {
            .priority = job.queue().priority, .lateness = 0, .slack = Duration::min(), .acceptedAt = job.acceptedAt()};
    }
    const Duration objective = job.objectiveEnd() - job.acceptedAt();
    const TimePoint earliestEnd = m_now + job.remainingCriticalPath();
    const Duration slack = job.objectiveEnd() - earliestEnd;
    int lateness = 0;
    if (earliestEnd > job.acceptedAt() + objective * WorthlessAfterObjectives) {
        lateness = 2;
    } else if (slack.count() < 0) {
        lateness = 1;
    }
    return {.priority = job.queue().priority, .lateness = lateness, .slack = slack, .acceptedAt = job.acceptedAt()};
}

void JobOrder::sort(std::vector<Job *> &jobs) const
{
    std::vector<std::pair<Rank, Job *>> ranked;
    ranked.reserve(jobs.size());
    for (Job *job : jobs) {
        ranked.emplace_back(rankOf(*job), job);
    }
    std::ranges::stable_sort(ranked, {}, &std::pair<Rank, Job *>::first);
    std::ranges::transform(ranked, jobs.begin(), &std::pair<Rank, Job *>::second);
}

} // namespace Carobflow::Scheduling
