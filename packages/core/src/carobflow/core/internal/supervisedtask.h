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

/// One task of a host: its known state at the worker, the desired state, and the state last reported to the leader.
class SupervisedTask
{
public:
    /// Queued: no start call was made yet. Starting: the call is in flight. Unresolved: the task may run; a worker list
    /// will resolve it. Running: it runs or is stopping. Ended: the worker lists it as ended. Gone: not on the worker.
    enum class ExecutionState { Queued, Starting, Unresolved, Running, Ended, Gone };
    enum class Goal { Run, CheckpointThenStop, Stop };

    /// Conditions outside the task that determine which calls are due.
    struct Context {
        TimePoint now;
        bool isGrantValid = false;
        Milliseconds retryInterval{0};
        Milliseconds checkpointTimeout{0};
    };

    /// A task to be started by a start order.
    SupervisedTask(TaskStart start, StartGate::Order order);
    /// A task that this process did not start. A list requested at `conclusiveFrom` or later shows whether it runs.
    SupervisedTask(TaskRef ref, TimePoint conclusiveFrom);

    /// Processes the task's entry in a worker list.
    void onListed(TimePoint requestedAt, const TaskInfo &info);
    /// Processes a worker list that does not contain the task.
    void onNotListed(TimePoint requestedAt);

    /// True when the call should be made now.
    [[nodiscard]] bool isDue(WorkerAction::Kind kind, const Context &context) const;
    /// Changes the goal from CheckpointThenStop to Stop once the checkpoint has appeared or timed out.
    void updateGoal(const Context &context);
    void onCallMade(TimePoint now, WorkerAction::Kind kind, std::uint64_t id);
    /// Processes the result of a call. A start that has definitely failed refuses the task.
    void onCallResult(TimePoint now, const WorkerAction &action, const Status &status, Milliseconds startSettleTime);

    void requestGoal(Goal goal);
    void throttle(std::uint32_t percent);
    /// Returns the start order to the leader: as refused when the task definitely never ran, else as lost.
    void refuse(std::string reason);
    /// Ends a task that is not on the worker with the outcome Lost.
    void markLost(std::string reason);
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
    /// Includes the task in the next report even if it has not changed.
    void reportAgain();
    [[nodiscard]] const std::optional<TaskReport> &reported() const;

    [[nodiscard]] ExecutionState executionState() const;
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

    void setOutcome(ReportedState outcome, std::string reason);
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
    StartGate::Order m_startOrder;
    ExecutionState m_executionState = ExecutionState::Queued;
    Goal m_goal = Goal::Run;
    bool m_workerStopping = false;
    /// A list requested before this time may lack the task even though it runs.
    TimePoint m_conclusiveFrom = TimePoint::min();
    /// Request time of the last list that showed the task as running or stopping.
    TimePoint m_seenRunningAt = TimePoint::min();
    std::array<Call, 6> m_calls;
    std::optional<TimePoint> m_checkpointRequestedAt;
    std::string m_checkpointBeforeRequest;
    /// Throttle ordered by the leader; unset until the first order.
    std::optional<std::uint32_t> m_percent;
    /// Throttle in force at the worker; unset for a task that an earlier agent process started and may have throttled.
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
