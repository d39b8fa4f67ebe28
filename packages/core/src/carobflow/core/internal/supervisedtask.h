#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/internal/startgate.h"
#include "carobflow/core/result.h"
#include "carobflow/core/tasksupervisor.h"
#include "carobflow/core/worker.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Carobflow
{

/// One task of a host: what the worker is known to do with it, what is wanted, and what the leader was told.
class SupervisedTask
{
public:
    /// Queued: no start call was made. Starting: the call is in flight. Unresolved: it may run, and the worker's list
    /// will tell. Running: it runs or is stopping. Ended: the worker lists it as ended. Gone: not on the worker.
    enum class Presence { Queued, Starting, Unresolved, Running, Ended, Gone };
    enum class Goal { Run, CheckpointThenStop, Stop };

    /// What the calls that are due depend on beside the task itself.
    struct Context {
        TimePoint now;
        bool grantHolds = false;
        Milliseconds retryInterval{0};
        Milliseconds checkpointTimeout{0};
    };

    /// A task of a start order, to be started.
    SupervisedTask(TaskStart start, StartGate::Order order);
    /// A task that this process did not start; a list that was requested at `settledBy` or later tells whether it runs.
    SupervisedTask(TaskRef ref, TimePoint settledBy);

    /// Takes the task's entry of the worker's list.
    void onListed(TimePoint requestedAt, const TaskInfo &info);
    /// Takes a worker's list that does not hold the task.
    void onNotListed(TimePoint requestedAt);

    /// True when the call is to be made now.
    [[nodiscard]] bool isDue(WorkerAction::Kind kind, const Context &context) const;
    /// Moves on from asking for a checkpoint to stopping once the checkpoint is there or its time is over.
    void updateGoal(const Context &context);
    void onCallMade(TimePoint now, WorkerAction::Kind kind, std::uint64_t id);
    /// Takes the result of a call; a certain failure of the start refuses the task.
    void onCallResult(TimePoint now, const WorkerAction &action, const Status &status, Milliseconds startSettle);

    void order(Goal goal);
    void throttle(std::uint32_t percent);
    /// Hands the start order back: refused when the task certainly never ran, else lost.
    void refuse(std::string reason);
    /// Ends a task that is not on the worker.
    void lose(std::string reason);
    void acknowledge();

    /// True while the task may use resources of the host.
    [[nodiscard]] bool isReserved() const;
    /// The larger of the declared and the measured resources.
    [[nodiscard]] Resources demand() const;
    [[nodiscard]] bool isEnded() const;
    /// True when the leader has acknowledged the end and the worker no longer lists the task.
    [[nodiscard]] bool isForgettable() const;
    /// True when the leader has acknowledged the end.
    [[nodiscard]] bool isAcknowledged() const;

    [[nodiscard]] TaskReport report() const;
    void setReported(const TaskReport &report);
    /// Makes the task part of the next report although it did not change.
    void reportAgain();
    [[nodiscard]] const std::optional<TaskReport> &reported() const;

    [[nodiscard]] Presence presence() const;
    [[nodiscard]] const TaskRef &ref() const;
    [[nodiscard]] const TaskStart &start() const;
    [[nodiscard]] const StartGate::Order &startOrder() const;
    [[nodiscard]] std::uint32_t percent() const;

private:
    struct Call {
        std::uint64_t inFlight = 0;
        TimePoint lastMade = TimePoint::min();
        TimePoint lastResult = TimePoint::min();
        bool succeeded = false;
    };

    void end(ReportedState outcome, std::string reason);
    [[nodiscard]] Call &call(WorkerAction::Kind kind);
    [[nodiscard]] const Call &call(WorkerAction::Kind kind) const;
    [[nodiscard]] bool wasMade(WorkerAction::Kind kind) const;

    [[nodiscard]] bool isStartDue(const Context &context) const;
    [[nodiscard]] bool isRenewDue(const Context &context) const;
    [[nodiscard]] bool isCheckpointDue(const Context &context) const;
    [[nodiscard]] bool isThrottleDue(const Context &context) const;
    [[nodiscard]] bool isStopDue(const Context &context) const;
    [[nodiscard]] bool isRemoveDue(const Context &context) const;

    TaskRef m_ref;
    TaskStart m_start;
    StartGate::Order m_order;
    Presence m_presence = Presence::Queued;
    Goal m_goal = Goal::Run;
    bool m_workerStopping = false;
    /// Lists that were requested before this time may lack the task although it runs.
    TimePoint m_settledBy = TimePoint::min();
    /// Request time of the last list that showed the task as running.
    TimePoint m_seenRunningAt = TimePoint::min();
    std::array<Call, 6> m_calls;
    std::optional<TimePoint> m_checkpointAskedAt;
    std::string m_checkpointBefore;
    /// Unset until the leader gives one.
    std::optional<std::uint32_t> m_percent;
    /// Unset for a task that an earlier agent process started and may have throttled.
    std::optional<std::uint32_t> m_appliedPercent = 100;
    Resources m_usage;
    std::optional<ReportedState> m_outcome;
    bool m_acknowledged = false;
    std::string m_reason;
    std::string m_checkpoint;
    double m_progress = 0;
    std::string m_result;
    Milliseconds m_runTime{0};
    std::optional<TaskReport> m_reported;
};

} // namespace Carobflow
