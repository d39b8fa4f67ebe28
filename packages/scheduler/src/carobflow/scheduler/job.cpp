#include "carobflow/scheduler/job.h"

#include "carobflow/scheduler/jobvalue.h"

#include <algorithm>
#include <utility>

namespace Carobflow::Scheduling
{

namespace
{

/// About 30 years; several times this still fits into a duration.
constexpr std::chrono::hours LongestObjective{24 * 365 * 30};

Milliseconds estimateOf(const StepSpec &step)
{
    return step.estimate;
}

/// Core-milliseconds of one task.
double workOf(const StepSpec &step)
{
    return step.longRunning
        ? 0
        : static_cast<double>(step.estimate.count()) * static_cast<double>(step.request.cpuMillis) / 1000;
}

} // namespace

Job::Job(JobSpec spec, Queue queue, TimePoint acceptedAt)
    : m_spec(std::move(spec))
    , m_queue(std::move(queue))
    , m_acceptedAt(acceptedAt)
{
    std::size_t count = 0;
    for (const StepSpec &step : m_spec.steps) {
        m_offsets.push_back(count);
        count += step.count;
    }
    m_offsets.push_back(count);
    m_tasks.resize(count * m_spec.occurrences);
    m_remaining = m_tasks.size();
    for (std::uint32_t occurrence = 0; occurrence < m_spec.occurrences; ++occurrence) {
        for (const StepSpec &step : m_spec.steps) {
            m_unfinished.push_back(step.count);
            m_totalWork += workOf(step) * step.count;
        }
    }
    m_remainingWork = m_totalWork;
    m_isService = std::ranges::any_of(m_spec.steps, &StepSpec::longRunning);
    m_totalCriticalPath = m_remainingCriticalPath = criticalPath(false, estimateOf);
    m_likelyPath = m_remainingLikelyPath = criticalPath(false, likelyStepLength);
}

std::size_t Job::firstIndex(std::uint32_t occurrence, std::uint32_t step) const
{
    return occurrence * m_offsets.back() + m_offsets[step];
}

const Task *Job::findTask(const TaskId &id) const
{
    if (id.occurrence >= m_spec.occurrences || id.step >= m_spec.steps.size()
        || id.index >= m_spec.steps[id.step].count) {
        return nullptr;
    }
    return &m_tasks[firstIndex(id.occurrence, id.step) + id.index];
}

Task *Job::findTask(const TaskId &id)
{
    return const_cast<Task *>(std::as_const(*this).findTask(id));
}

std::span<Task> Job::stepTasks(std::uint32_t occurrence, std::uint32_t step)
{
    return std::span(m_tasks).subspan(firstIndex(occurrence, step), m_spec.steps[step].count);
}

std::span<const Task> Job::stepTasks(std::uint32_t occurrence, std::uint32_t step) const
{
    return std::span(m_tasks).subspan(firstIndex(occurrence, step), m_spec.steps[step].count);
}

bool Job::isStepReady(std::uint32_t occurrence, std::uint32_t step, std::int64_t unixMs) const
{
    if (m_spec.scheduled && unixMs < m_spec.firstDueUnixMs + m_spec.interval.count() * occurrence) {
        return false;
    }
    return std::ranges::all_of(m_spec.steps[step].after, [&](std::uint32_t earlier) {
        return std::ranges::all_of(stepTasks(occurrence, earlier), &Task::succeeded);
    });
}

JobPhase Job::phase() const
{
    if (m_remaining == 0) {
        return JobPhase::Completed;
    }
    if (m_cancelled) {
        return JobPhase::Cancelled;
    }
    if (m_failed) {
        return JobPhase::Failed;
    }
    return m_started ? JobPhase::Running : JobPhase::Queued;
}

void Job::addAttempt(Task &task, Attempt attempt)
{
    task.attempts.push_back(std::move(attempt));
    ++m_attempts;
}

void Job::removeAttempt(Task &task, std::vector<Attempt>::iterator attempt)
{
    task.attempts.erase(attempt);
    --m_attempts;
}

void Job::recordSuccess(const TaskId &id)
{
    const StepSpec &spec = step(id);
    const std::span<Task> members = stepTasks(id.occurrence, id.step);
    for (Task &task : spec.gang ? members : members.subspan(id.index, 1)) {
        task.succeeded = true;
        if (spec.longRunning) {
            // The next run begins anew; from the last checkpoint it would end again at once.
            task.checkpoint.clear();
        } else if (!std::exchange(task.done, true)) {
            --m_remaining;
            noteFinished(id.occurrence, id.step);
        }
    }
}

void Job::noteFinished(std::uint32_t occurrence, std::uint32_t step)
{
    m_remainingWork = std::max(0.0, m_remainingWork - workOf(m_spec.steps[step]));
    if (--m_unfinished[occurrence * m_spec.steps.size() + step] == 0) {
        m_remainingCriticalPath = criticalPath(true, estimateOf);
        m_remainingLikelyPath = criticalPath(true, likelyStepLength);
    }
}

Milliseconds Job::criticalPath(bool unfinishedOnly, StepLength lengthOf) const
{
    // Steps depend on earlier ones only, so one pass in order is enough.
    std::vector<Milliseconds> ends(m_spec.steps.size(), Milliseconds(0));
    Milliseconds longest{0};
    for (std::uint32_t step = 0; step < m_spec.steps.size(); ++step) {
        Milliseconds begin{0};
        for (const std::uint32_t earlier : m_spec.steps[step].after) {
            begin = std::max(begin, ends[earlier]);
        }
        const bool counts = !unfinishedOnly || m_unfinished[step] > 0;
        ends[step] = begin + (counts ? lengthOf(m_spec.steps[step]) : Milliseconds(0));
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

Duration Job::objectiveFor(Milliseconds criticalPath) const
{
    const std::chrono::duration<double, std::milli> work = std::min(
        std::chrono::duration<double, std::milli>(criticalPath) * m_queue.stretch,
        std::chrono::duration<double, std::milli>(LongestObjective));
    return std::chrono::duration_cast<Duration>(work) + m_queue.latencyAllowance;
}

TimePoint Job::objectiveEnd() const
{
    return m_acceptedAt + objectiveFor(totalCriticalPath());
}

std::size_t Job::runCount() const
{
    std::size_t runs = 0;
    for (const Task &task : m_tasks) {
        runs += task.lastRun;
    }
    return runs;
}

JobProgress Job::progress() const
{
    JobProgress progress{.cancelled = m_cancelled,
                         .failed = m_failed,
                         .started = m_started,
                         .completed = m_remaining == 0,
                         .queue = m_queue,
                         .tasks = {}};
    const_cast<Job *>(this)->forEachTask([&](const TaskId &id, const Task &task) {
        if (task.lastRun == 0) {
            return;
        }
        TaskProgress entry{.id = id,
                           .lastRun = task.lastRun,
                           .failures = task.failures,
                           .failedRun = task.failedRun,
                           .succeeded = task.succeeded,
                           .checkpoint = task.done ? std::string() : task.checkpoint,
                           .crashedOn = task.crashedOn,
                           .suspected = task.suspected,
                           .placements = {}};
        for (const Attempt &attempt : task.attempts) {
            entry.placements.emplace_back(attempt.host, attempt.run);
        }
        progress.tasks.push_back(std::move(entry));
    });
    return progress;
}

void Job::restore(const JobProgress &progress, TimePoint now)
{
    m_cancelled = progress.cancelled;
    m_failed = progress.failed;
    m_started = progress.started;
    if (m_queue.service.empty() && progress.queue) {
        m_queue = *progress.queue;
    }
    if (progress.completed) {
        forEachTask([](const TaskId & /*id*/, Task &task) { task.succeeded = task.done = true; });
        m_remaining = 0;
        m_remainingWork = 0;
        m_remainingCriticalPath = m_remainingLikelyPath = Milliseconds(0);
        std::ranges::fill(m_unfinished, 0);
    }
    for (const TaskProgress &entry : progress.tasks) {
        if (entry.succeeded && findTask(entry.id) != nullptr) {
            recordSuccess(entry.id);
        }
    }
    for (const TaskProgress &entry : progress.tasks) {
        Task *task = findTask(entry.id);
        if (task == nullptr) {
            continue;
        }
        // A placement alone does not imply a start: its order may never have been sent.
        m_started = m_started || entry.succeeded || entry.failures > 0 || !entry.checkpoint.empty();
        task->lastRun = entry.lastRun;
        task->failures = entry.failures;
        task->failedRun = entry.failedRun;
        task->checkpoint = entry.checkpoint;
        task->crashedOn = entry.crashedOn;
        task->suspected = entry.suspected;
        for (const auto &[host, run] : entry.placements) {
            addAttempt(*task,
                       {.run = run,
                        .host = host,
                        .upstream = {},
                        .phase = AttemptPhase::Sent,
                        .restored = true,
                        .suspected = entry.suspected,
                        .isCopy = !task->attempts.empty(),
                        .since = now,
                        .startedAt = now,
                        .progressedAt = now});
        }
    }
}

} // namespace Carobflow::Scheduling
