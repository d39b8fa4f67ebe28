#pragma once

#include "carobflow/scheduler/workload.h"

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Carobflow::Scheduling
{

/// How far an attempt has come.
enum class AttemptPhase {
    /// Chosen, and part of no write to the store yet.
    Planned,
    /// Part of a write whose outcome is awaited.
    Committing,
    /// The start order was sent, or the store says that an earlier leader may have sent it.
    Sent,
    /// The upstream has confirmed the start.
    Running,
    /// A stop was ordered; the attempt holds its room until its end is listed.
    Stopping,
};

/// A run of a task on an upstream that may be running or may still be started there.
struct Attempt {
    std::uint32_t run = 0;
    std::string host;
    UpstreamIdentity upstream;
    AttemptPhase phase = AttemptPhase::Planned;
    /// Taken over from the store after a change of leader; the host's first report settles whether it runs.
    bool restored = false;
    /// The order was not delivered or not answered and has to be sent again.
    bool resend = false;
    /// How often the start order was sent.
    std::uint32_t sends = 0;
    /// When the phase was entered, or the order was last sent.
    TimePoint since;
    TimePoint startedAt;
    std::uint32_t percent = 0;
    /// Share of its work in percent that pacing holds the run to.
    std::uint32_t share = 100;
    /// When the reported percentage last changed.
    TimePoint progressedAt;
};

/// A task and what is known of its runs.
struct Task {
    std::vector<Attempt> attempts;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool done = false;
    std::string checkpoint;
    /// Hosts on which runs of this task have failed.
    std::vector<std::string> failedOn;
    /// Not started before this time, after an upstream has rejected a start.
    TimePoint notBefore;
};

/// The part of a task that lasts in the store.
struct TaskProgress {
    TaskId id;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool done = false;
    std::string checkpoint;
    /// Hosts and runs that may be running.
    std::vector<std::pair<std::string, std::uint32_t>> placements;
};

/// The part of a job that lasts in the store and changes.
struct JobProgress {
    bool cancelled = false;
    bool failed = false;
    /// An upstream has begun one of the tasks.
    bool started = false;
    std::vector<TaskProgress> tasks;
};

/// A job with its tasks. It knows which tasks may start; where they run is decided elsewhere.
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

    /// True when every task of the steps before this one has finished and its due time has come.
    [[nodiscard]] bool isStepOpen(std::uint32_t occurrence, std::uint32_t step, std::int64_t unixMs) const;

    /// Calls `visit(TaskId, Task &)` for each task.
    template<typename Visitor>
    void forEachTask(Visitor &&visit)
    {
        for (std::uint32_t occurrence = 0; occurrence < m_spec.occurrences; ++occurrence) {
            for (std::uint32_t step = 0; step < m_spec.steps.size(); ++step) {
                std::uint32_t index = 0;
                for (Task &task : stepTasks(occurrence, step)) {
                    visit(TaskId{.job = m_spec.id, .occurrence = occurrence, .step = step, .index = index++}, task);
                }
            }
        }
    }

    /// What clients are shown.
    [[nodiscard]] JobPhase phase() const;

    /// True when no task will be started any more.
    [[nodiscard]] bool isOver() const
    {
        return m_cancelled || m_failed || m_remaining == 0;
    }

    /// True when no run holds room any more either.
    [[nodiscard]] bool isIdle() const;

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

    void noteStarted()
    {
        m_started = true;
    }

    /// Marks a task as finished; later calls for the same task change nothing.
    void finish(Task &task);

    /// Estimated time of the longest chain of steps that have unfinished tasks.
    [[nodiscard]] Milliseconds remainingChain() const;

    /// Estimated time of the longest chain of all steps.
    [[nodiscard]] Milliseconds wholeChain() const;

    /// When the latency objective of the job ends.
    [[nodiscard]] TimePoint objectiveEnd() const;

    [[nodiscard]] JobProgress progress() const;

    /// Restores what progress() returned; unknown tasks are left out.
    void restore(const JobProgress &progress, TimePoint now);

private:
    [[nodiscard]] std::size_t firstIndex(std::uint32_t occurrence, std::uint32_t step) const;
    [[nodiscard]] Milliseconds chain(bool unfinishedOnly) const;

    JobSpec m_spec;
    Queue m_queue;
    TimePoint m_acceptedAt;
    std::vector<Task> m_tasks;
    /// Index of the first task of each step within an occurrence, and their number at the end.
    std::vector<std::size_t> m_offsets;
    std::size_t m_remaining = 0;
    bool m_cancelled = false;
    bool m_failed = false;
    bool m_started = false;
};

} // namespace Carobflow::Scheduling
