#pragma once

#include "carobflow/scheduler/workload.h"

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Carobflow::Scheduling
{

/// Phases of an attempt.
enum class AttemptPhase {
    /// Chosen, but not yet part of a write to the store.
    Planned,
    /// Part of a write to the store that is in progress.
    Committing,
    /// The start order was sent, or, according to the store, may have been sent by a previous leader.
    Sent,
    /// The upstream has confirmed the start.
    Running,
    /// A stop was ordered. The resources stay reserved until the end of the run is reported.
    Stopping,
};

/// A run of a task that is running on an upstream or may still be started there.
struct Attempt {
    std::uint32_t run = 0;
    std::string host;
    UpstreamIdentity upstream;
    AttemptPhase phase = AttemptPhase::Planned;
    /// Restored from the store after a change of leader. The first report of the host shows whether it runs.
    bool restored = false;
    /// The upstream has been replaced by an incarnation with the same id, which executes orders that were meant for the
    /// previous one. Whether it runs is not known until the new incarnation lists it or refuses its start.
    bool mayRunOnSuccessor = false;
    /// The upstream has listed the run.
    bool listed = false;
    /// The upstream has listed the run for long enough that its start did not crash it.
    bool survivedStart = false;
    /// The task was suspected when it was placed; see Task::suspected.
    bool suspected = false;
    /// Another attempt of the task ran when this one was placed, and how much earlier this one was expected to end; see
    /// CopyPlanner.
    bool isCopy = false;
    Duration expectedGain{};
    /// The start order has to be sent again, because it was not delivered or not answered.
    bool resend = false;
    /// The agent has not replied to the last order in time, so it is not known whether it has executed any.
    bool noReply = false;
    /// Number of times that this leader has sent the start order.
    std::uint32_t sends = 0;
    /// Time at which the phase was entered or the order was last sent.
    TimePoint since;
    TimePoint startedAt;
    std::uint32_t percent = 0;
    /// Percentage of its full speed to which pacing limits the run.
    std::uint32_t share = 100;
    /// Time at which the reported percentage last changed.
    TimePoint progressedAt;
    /// Time since which pacing has limited the run to a low share; see Relocation.
    std::optional<TimePoint> slowSince;
};

/// A task and the state of its runs.
struct Task {
    std::vector<Attempt> attempts;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    /// The last run that counts among the failures. The members of a gang share their runs.
    std::uint32_t failedRun = 0;
    /// No further run is needed. Never true for a task that runs until its job is cancelled.
    bool done = false;
    /// A run has succeeded, so that the steps which wait for the task may start.
    bool succeeded = false;
    /// Number of successive runs that ended by themselves soon after their start.
    std::uint32_t shortRuns = 0;
    std::string checkpoint;
    /// Hosts on which runs of this task have failed, each once.
    std::vector<std::string> failedOn;
    /// Hosts whose upstream has crashed right after a start for which only this job can be responsible; one entry a
    /// crash.
    std::vector<std::string> crashedOn;
    /// The upstream of the last run crashed before it had survived the start. Starts of other jobs keep away from the
    /// next one, so that a further crash has one possible cause.
    bool suspected = false;
    /// How often a run was stopped to continue on another host, and the hosts that it has left.
    std::uint32_t moves = 0;
    std::vector<std::string> movedFrom;
    /// Number of copies that this leader has started.
    std::uint32_t copies = 0;
    /// The run that finished the task, and its run time, as far as this leader knows them; else 0.
    std::uint32_t finishedBy = 0;
    Duration took{};
    /// How long the task took on a host when it ran from its beginning to its end at full speed; otherwise 0.
    Duration fullSpeedTime{};
    std::string fullSpeedHost;
    /// When a run was last stopped for other work. Only this leader knows it.
    std::optional<TimePoint> preemptedAt;
    /// Earliest time of the next start, after a rejected one or a short run.
    TimePoint notBefore;
};

/// The state of a task that is kept in the store.
struct TaskProgress {
    TaskId id;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    std::uint32_t failedRun = 0;
    bool succeeded = false;
    std::string checkpoint;
    std::vector<std::string> crashedOn;
    bool suspected = false;
    /// Hosts and runs that may be running.
    std::vector<std::pair<std::string, std::uint32_t>> placements;
};

/// The mutable state of a job that is kept in the store.
struct JobProgress {
    bool cancelled = false;
    bool failed = false;
    /// An upstream has started one of the tasks.
    bool started = false;
    /// Every task has finished. The tasks need not be known then.
    bool completed = false;
    /// The settings of the job's queue, for a leader in whose configuration the queue has been removed.
    std::optional<Queue> queue;
    std::vector<TaskProgress> tasks;
};

/// A job with its tasks. It decides which tasks may start; Placement decides where they run.
class Job
{
public:
    Job(JobSpec spec, Queue queue, TimePoint acceptedAt);

    [[nodiscard]] const JobSpec &spec() const
    {
        return m_spec;
    }

    [[nodiscard]] const Queue &queue() const
    {
        return m_queue;
    }

    void setQueue(Queue queue)
    {
        m_queue = std::move(queue);
    }

    [[nodiscard]] TimePoint acceptedAt() const
    {
        return m_acceptedAt;
    }

    [[nodiscard]] const StepSpec &step(const TaskId &id) const
    {
        return m_spec.steps[id.step];
    }

    /// Null when the job has no such task.
    [[nodiscard]] Task *findTask(const TaskId &id);
    [[nodiscard]] const Task *findTask(const TaskId &id) const;

    /// The tasks of one step of one occurrence.
    [[nodiscard]] std::span<Task> stepTasks(std::uint32_t occurrence, std::uint32_t step);
    [[nodiscard]] std::span<const Task> stepTasks(std::uint32_t occurrence, std::uint32_t step) const;

    /// True when every task of the steps that this one depends on has succeeded and the occurrence is due.
    [[nodiscard]] bool isStepReady(std::uint32_t occurrence, std::uint32_t step, std::int64_t unixMs) const;

    /// True when no task of the step has to run any more.
    [[nodiscard]] bool isStepFinished(std::uint32_t occurrence, std::uint32_t step) const
    {
        return m_unfinished[occurrence * m_spec.steps.size() + step] == 0;
    }

    /// Calls `visit(const TaskId &, Task &)` for each task. The identifier is valid during the call.
    template<typename Visitor>
    void forEachTask(Visitor &&visit)
    {
        // One identifier for all tasks: each copy of the job's identifier allocates memory.
        TaskId id{.job = m_spec.id};
        for (id.occurrence = 0; id.occurrence < m_spec.occurrences; ++id.occurrence) {
            for (id.step = 0; id.step < m_spec.steps.size(); ++id.step) {
                id.index = 0;
                for (Task &task : stepTasks(id.occurrence, id.step)) {
                    visit(std::as_const(id), task);
                    ++id.index;
                }
            }
        }
    }

    /// False when as many runs of the task have failed as its queue allows.
    [[nodiscard]] bool allowsRun(const StepSpec &step, const Task &task) const
    {
        return step.longRunning || task.failures < m_queue.maxAttempts;
    }

    /// The state that clients see.
    [[nodiscard]] JobPhase phase() const;

    /// True when no more tasks will be started.
    [[nodiscard]] bool isOver() const
    {
        return m_cancelled || m_failed || m_remaining == 0;
    }

    /// True when no attempt of any task reserves resources.
    [[nodiscard]] bool isIdle() const
    {
        return m_attempts == 0;
    }

    /// Adds an attempt of a task of this job.
    void addAttempt(Task &task, Attempt attempt);

    /// Removes an attempt of a task of this job.
    void removeAttempt(Task &task, std::vector<Attempt>::iterator attempt);

    [[nodiscard]] bool isCancelled() const
    {
        return m_cancelled;
    }

    void cancel()
    {
        m_cancelled = true;
    }

    void fail()
    {
        m_failed = true;
    }

    [[nodiscard]] bool hasStarted() const
    {
        return m_started;
    }

    void markStarted()
    {
        m_started = true;
    }

    /// Records the success of a run, which finishes its task unless the step is long-running. The members of a gang
    /// succeed together. Idempotent.
    void recordSuccess(const TaskId &id);

    /// Estimated length of the critical path through those steps of the first occurrence that have unfinished tasks.
    [[nodiscard]] Milliseconds remainingCriticalPath() const
    {
        return m_remainingCriticalPath;
    }

    /// Estimated length of the critical path through all steps.
    [[nodiscard]] Milliseconds totalCriticalPath() const
    {
        return m_totalCriticalPath;
    }

    /// Likely length of the critical path, with the slowest task of each step, and of its part that is not finished.
    [[nodiscard]] Milliseconds likelyPath() const
    {
        return m_likelyPath;
    }

    [[nodiscard]] Milliseconds remainingLikelyPath() const
    {
        return m_remainingLikelyPath;
    }

    /// Estimated work of all tasks that end, and of those among them that are not finished, in core-milliseconds.
    [[nodiscard]] double totalWork() const
    {
        return m_totalWork;
    }

    [[nodiscard]] double remainingWork() const
    {
        return m_remainingWork;
    }

    [[nodiscard]] std::size_t taskCount() const
    {
        return m_tasks.size();
    }

    [[nodiscard]] std::size_t attemptCount() const
    {
        return m_attempts;
    }

    /// Number of runs that were decided for all tasks so far.
    [[nodiscard]] std::size_t runCount() const;

    /// True for a job with tasks that run until it is cancelled.
    [[nodiscard]] bool isService() const
    {
        return m_isService;
    }

    /// Latency objective of a job of this queue with this critical path.
    [[nodiscard]] Duration objectiveFor(Milliseconds criticalPath) const;

    /// Time until which the job has to complete to meet its latency objective.
    [[nodiscard]] TimePoint objectiveEnd() const;

    [[nodiscard]] JobProgress progress() const;

    /// Restores what progress() returned. Tasks that the job does not have are ignored.
    void restore(const JobProgress &progress, TimePoint now);

private:
    [[nodiscard]] std::size_t firstIndex(std::uint32_t occurrence, std::uint32_t step) const;
    using StepLength = Milliseconds (*)(const StepSpec &step);
    [[nodiscard]] Milliseconds criticalPath(bool unfinishedOnly, StepLength lengthOf) const;
    /// Updates what is known of the remaining work after a task has finished.
    void noteFinished(std::uint32_t occurrence, std::uint32_t step);

    JobSpec m_spec;
    Queue m_queue;
    TimePoint m_acceptedAt;
    std::vector<Task> m_tasks;
    /// Index of the first task of each step within an occurrence; the last element is the number of tasks.
    std::vector<std::size_t> m_offsets;
    std::size_t m_remaining = 0;
    /// Number of attempts of all tasks.
    std::size_t m_attempts = 0;
    /// Unfinished tasks of each step in all occurrences; by occurrence, then step.
    std::vector<std::size_t> m_unfinished;
    Milliseconds m_totalCriticalPath{0};
    Milliseconds m_remainingCriticalPath{0};
    Milliseconds m_likelyPath{0};
    Milliseconds m_remainingLikelyPath{0};
    double m_totalWork = 0;
    double m_remainingWork = 0;
    bool m_isService = false;
    bool m_cancelled = false;
    bool m_failed = false;
    bool m_started = false;
};

} // namespace Carobflow::Scheduling
