#include "carobflow/scheduler/copyplanner.h"

#include <algorithm>
#include <utility>

namespace Carobflow::Scheduling
{
namespace
{

bool allowsCopies(const StepSpec &step)
{
    return step.speculative && !step.gang && !step.longRunning;
}

/// The next failure must not be the last allowed one, and a crash of an upstream must have one possible cause.
bool mayBeCopied(const Job &job, const Task &task, TimePoint now)
{
    if (task.attempts.size() != 1 || task.copies > 0 || task.suspected || !task.crashedOn.empty()
        || task.notBefore > now || task.failures + 1 >= job.queue().maxAttempts) {
        return false;
    }
    const Attempt &attempt = task.attempts.front();
    return attempt.phase == AttemptPhase::Running && attempt.listed && attempt.survivedStart && !attempt.restored
        && !attempt.mayRunOnSuccessor;
}

CopyPlanner::Sibling siblingOf(const Job &job, const Task &task, std::uint32_t index, TimePoint now)
{
    CopyPlanner::Sibling sibling{.index = index, .done = task.done, .took = task.took};
    if (!task.done && !task.attempts.empty() && task.attempts.front().phase == AttemptPhase::Running) {
        const Attempt &attempt = task.attempts.front();
        sibling.elapsed = now - attempt.startedAt;
        sibling.progressedAfter = attempt.progressedAt - attempt.startedAt;
        sibling.percent = std::min(100U, attempt.percent);
        sibling.running = true;
        sibling.mayBeCopied = mayBeCopied(job, task, now);
    }
    return sibling;
}

Duration median(std::vector<Duration> times)
{
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

} // namespace

struct CopyPlanner::Candidate {
    Copy copy;
    std::int64_t cpuMillis = 0;
};

std::optional<Duration> CopyPlanner::expectedTime(std::span<const Sibling> step) const
{
    std::vector<Duration> times;
    for (const Sibling &sibling : step) {
        if (sibling.done && sibling.took > Duration(0)) {
            times.push_back(sibling.took);
        }
    }
    if (times.size() < m_options.minimumSiblings) {
        for (const Sibling &sibling : step) {
            // Without the lag of the percentage, so that a copy is rather expected to take too long.
            if (sibling.running && sibling.percent > 0) {
                times.push_back(sibling.progressedAfter * 100 / sibling.percent);
            }
        }
    }
    return times.size() < m_options.minimumSiblings ? std::nullopt : std::optional(median(std::move(times)));
}

std::optional<Duration> CopyPlanner::remainingTime(const Sibling &sibling, Duration expected) const
{
    // Time for which a change of the percentage is overdue. One report that is late shows nothing yet.
    const Duration overdue = sibling.elapsed - sibling.progressedAfter - m_options.progressInterval;
    if (overdue >= expected / 2) {
        // The next percent takes at least as long.
        return overdue * (100 - sibling.percent);
    }
    if (sibling.percent == 0 || sibling.elapsed < expected / 2) {
        return std::nullopt;
    }
    const Duration total = (sibling.progressedAfter - m_options.progressLag) * 100 / (sibling.percent + 1);
    return std::max(Duration(0), total - sibling.elapsed);
}

std::vector<CopyPlanner::SlowTask> CopyPlanner::slowTasks(std::span<const Sibling> step) const
{
    const std::optional<Duration> expected = expectedTime(step);
    std::vector<SlowTask> slow;
    if (!expected) {
        return slow;
    }
    const auto limit = std::chrono::duration_cast<Duration>(*expected * m_options.gainFactor) + m_options.startCost;
    for (const Sibling &sibling : step) {
        if (!sibling.mayBeCopied) {
            continue;
        }
        if (const auto remaining = remainingTime(sibling, *expected); remaining && *remaining > limit) {
            slow.push_back({.index = sibling.index,
                            .remaining = *remaining,
                            .gain = *remaining - *expected - m_options.startCost});
        }
    }
    return slow;
}

std::int64_t CopyPlanner::examine(Job &job, const TaskId &first, std::vector<Candidate> &candidates, TimePoint now)
{
    const StepSpec &step = job.step(first);
    const std::span<const Task> tasks = job.stepTasks(first.occurrence, first.step);
    std::size_t attempts = 0;
    std::size_t copies = 0;
    for (const Task &task : tasks) {
        attempts += task.attempts.size();
        copies += task.attempts.size() > 1 ? task.attempts.size() - 1 : 0;
    }
    if (attempts == 0) {
        return 0;
    }
    ++m_examinedSteps;
    std::vector<Sibling> siblings;
    siblings.reserve(tasks.size());
    for (const Task &task : tasks) {
        siblings.push_back(siblingOf(job, task, static_cast<std::uint32_t>(siblings.size()), now));
    }
    for (const SlowTask &slow : slowTasks(siblings)) {
        TaskId id = first;
        id.index = slow.index;
        candidates.push_back({.copy = {.task = std::move(id), .gain = slow.gain}, .cpuMillis = step.request.cpuMillis});
    }
    return static_cast<std::int64_t>(copies) * step.request.cpuMillis;
}

std::vector<CopyPlanner::Copy>
CopyPlanner::plan(std::span<Job *const> jobs, std::span<Host *const> hosts, TimePoint now)
{
    std::vector<Copy> chosen;
    if (now - m_plannedAt < m_options.interval) {
        return chosen;
    }
    m_plannedAt = now;
    std::vector<Candidate> candidates;
    std::int64_t reserved = 0;
    for (Job *job : jobs) {
        // Most jobs have no such step.
        if (job->isIdle() || job->queue().needsPermit || std::ranges::none_of(job->spec().steps, allowsCopies)) {
            continue;
        }
        TaskId id{.job = job->spec().id};
        for (id.occurrence = 0; id.occurrence < job->spec().occurrences; ++id.occurrence) {
            for (id.step = 0; id.step < job->spec().steps.size(); ++id.step) {
                reserved += allowsCopies(job->step(id)) ? examine(*job, id, candidates, now) : 0;
            }
        }
    }
    std::int64_t free = 0;
    for (const Host *host : hosts) {
        free += host->isSuspect(now) ? 0 : std::max<std::int64_t>(0, host->leftoverCpu());
    }
    // What the copies reserve was free without them.
    const auto allowed = static_cast<std::int64_t>(m_options.freeShare * static_cast<double>(free + reserved));
    std::ranges::sort(candidates, std::ranges::greater(), [](const Candidate &next) { return next.copy.gain; });
    for (Candidate &candidate : candidates) {
        if (chosen.size() >= m_options.copiesPerInterval) {
            break;
        }
        if (reserved + candidate.cpuMillis <= allowed) {
            reserved += candidate.cpuMillis;
            chosen.push_back(std::move(candidate.copy));
        }
    }
    return chosen;
}

} // namespace Carobflow::Scheduling
