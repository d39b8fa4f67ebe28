#include "carobflow/scheduler/joborder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Carobflow::Scheduling
{
namespace
{

/// Multiple of its latency objective after which the result of a job is worthless to the client.
constexpr int WorthlessAfterObjectives = 3;
/// Rates are compared in steps of a quarter, so that jobs which have progressed about as far are ordered by slack.
constexpr double RateStep = 0.25;

} // namespace

JobOrder::Rank JobOrder::rankOf(const Job &job) const
{
    if (job.isService()) {
        // A service has no completion time to miss, and every second without its tasks is an outage.
        return {
            .priority = job.queue().priority, .lateness = -1, .slack = Duration::min(), .acceptedAt = job.acceptedAt()};
    }
    return m_rule == Rule::Value ? rankByValue(job) : rankBySlack(job);
}

JobOrder::Rank JobOrder::rankBySlack(const Job &job) const
{
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

JobOrder::Rank JobOrder::rankByValue(const Job &job) const
{
    return {.priority = job.queue().priority,
            .cost = -std::floor(m_value.rate(job, m_now) / RateStep),
            .slack = JobValue::objectiveEnd(job) - (m_now + job.remainingLikelyPath()),
            .acceptedAt = job.acceptedAt()};
}

void JobOrder::sort(std::vector<Job *> &jobs) const
{
    std::vector<std::pair<Rank, Job *>> ranked;
    ranked.reserve(jobs.size());
    for (Job *job : jobs) {
        ranked.emplace_back(rankOf(*job), job);
    }
    std::ranges::stable_sort(ranked, [](const auto &left, const auto &right) { return left.first < right.first; });
    std::ranges::transform(ranked, jobs.begin(), &std::pair<Rank, Job *>::second);
}

double JobOrder::workBefore(const Job &job, std::span<const Job *const> jobs) const
{
    const Rank rank = rankOf(job);
    double work = 0;
    for (const Job *other : jobs) {
        work += rankOf(*other) < rank ? other->remainingWork() : 0;
    }
    return work;
}

} // namespace Carobflow::Scheduling
