#include "carobflow/core/internal/supervisedtask.h"

#include "carobflow/core/invariant.h"

#include <utility>

namespace Carobflow
{
namespace
{

using Kind = WorkerAction::Kind;

} // namespace

SupervisedTask::SupervisedTask(TaskStart start, StartGate::Order order)
    : m_ref{.job = start.job, .fence = start.fence}
    , m_start(std::move(start))
    , m_startOrder(order)
    , m_checkpoint(m_start.checkpoint)
{
}

SupervisedTask::SupervisedTask(TaskRef ref, TimePoint conclusiveFrom)
    : m_ref(std::move(ref))
    , m_executionState(ExecutionState::Unresolved)
    , m_conclusiveFrom(conclusiveFrom)
    , m_appliedPercent(std::nullopt)
{
}

void SupervisedTask::onListed(TimePoint requestedAt, const TaskInfo &info)
{
    if (m_executionState == ExecutionState::Gone && m_outcome) {
        // The start call took effect after the task was reported as lost.
        m_goal = Goal::Stop;
    }
    m_start.jobClass = info.jobClass;
    m_start.reserved = maxOf(m_start.reserved, info.reserved);
    m_usage = info.usage;
    m_progress = info.progress;
    m_runTime = info.runTime;
    if (!info.checkpoint.empty()) {
        m_checkpoint = info.checkpoint;
    }
    switch (info.state) {
    case TaskState::Running:
    case TaskState::Stopping:
        m_executionState = ExecutionState::Running;
        m_workerStopping = info.state == TaskState::Stopping;
        m_seenRunningAt = requestedAt;
        m_conclusiveFrom = std::max(m_conclusiveFrom, requestedAt);
        return;
    case TaskState::Finished:
        m_result = info.result;
        setOutcome(ReportedState::Finished, info.reason);
        break;
    case TaskState::Failed:
        setOutcome(ReportedState::Failed, info.reason);
        break;
    case TaskState::Stopped:
        if (wasMade(Kind::Stop)) {
            setOutcome(ReportedState::Stopped, info.reason);
        } else {
            setOutcome(ReportedState::Lost, info.reason.empty() ? "the lease lapsed" : info.reason);
        }
        break;
    }
    m_executionState = ExecutionState::Ended;
}

void SupervisedTask::onNotListed(TimePoint requestedAt)
{
    switch (m_executionState) {
    case ExecutionState::Queued:
    case ExecutionState::Starting:
    case ExecutionState::Gone:
        return;
    case ExecutionState::Unresolved:
        if (requestedAt >= m_conclusiveFrom) {
            markLost("the worker does not list the task");
        }
        return;
    case ExecutionState::Running:
        if (requestedAt >= m_conclusiveFrom) {
            markLost("the worker no longer lists the task");
        }
        return;
    case ExecutionState::Ended:
        m_executionState = ExecutionState::Gone;
        return;
    }
}

void SupervisedTask::setOutcome(ReportedState outcome, std::string reason)
{
    // The first outcome is kept: the leader may have committed it already.
    if (!m_outcome) {
        m_outcome = outcome;
        m_reason = std::move(reason);
    }
}

void SupervisedTask::markLost(std::string reason)
{
    m_executionState = ExecutionState::Gone;
    setOutcome(ReportedState::Lost, std::move(reason));
}

void SupervisedTask::refuse(std::string reason)
{
    requireInvariant(m_executionState == ExecutionState::Queued || m_executionState == ExecutionState::Starting,
                     "refused-task-never-ran",
                     m_ref.job);
    m_executionState = ExecutionState::Gone;
    setOutcome(m_startOrder.mayHaveRun ? ReportedState::Lost : ReportedState::Refused, std::move(reason));
}

void SupervisedTask::requestGoal(Goal goal)
{
    if (isEnded()) {
        reportAgain();
    } else if (m_executionState == ExecutionState::Queued) {
        refuse("a stop order came before the start");
    } else if (m_goal != Goal::Stop) {
        m_goal = goal;
    }
}

void SupervisedTask::throttle(std::uint32_t percent)
{
    m_percent = percent;
}

void SupervisedTask::acknowledge()
{
    if (isEnded()) {
        m_acknowledged = true;
    } else {
        // The leader has no record of the task running here.
        requestGoal(Goal::Stop);
    }
}

SupervisedTask::Call &SupervisedTask::call(Kind kind)
{
    return m_calls.at(static_cast<std::size_t>(kind));
}

const SupervisedTask::Call &SupervisedTask::call(Kind kind) const
{
    return m_calls.at(static_cast<std::size_t>(kind));
}

bool SupervisedTask::wasMade(Kind kind) const
{
    return call(kind).lastMade != TimePoint::min();
}

bool SupervisedTask::isDue(Kind kind, const Context &context) const
{
    static constexpr std::array Rules{&SupervisedTask::isStartDue,
                                      &SupervisedTask::isRenewDue,
                                      &SupervisedTask::isCheckpointDue,
                                      &SupervisedTask::isThrottleDue,
                                      &SupervisedTask::isStopDue,
                                      &SupervisedTask::isRemoveDue};
    const Call &previous = call(kind);
    const bool isIdle = previous.inFlight == 0
        && (!wasMade(kind) || context.now - previous.lastMade >= context.retryInterval);
    return isIdle && (this->*Rules.at(static_cast<std::size_t>(kind)))(context);
}

bool SupervisedTask::isStartDue(const Context & /*context*/) const
{
    return m_executionState == ExecutionState::Queued;
}

bool SupervisedTask::isRenewDue(const Context &context) const
{
    return m_executionState == ExecutionState::Running && !m_workerStopping && m_goal != Goal::Stop
        && context.isGrantValid;
}

bool SupervisedTask::isCheckpointDue(const Context & /*context*/) const
{
    return m_executionState == ExecutionState::Running && !m_workerStopping && m_goal == Goal::CheckpointThenStop
        && !call(Kind::Checkpoint).succeeded;
}

bool SupervisedTask::isThrottleDue(const Context & /*context*/) const
{
    return m_executionState == ExecutionState::Running && !m_workerStopping && m_goal == Goal::Run && m_percent
        && m_percent != m_appliedPercent;
}

bool SupervisedTask::isStopDue(const Context & /*context*/) const
{
    // Repeated only when a list that was requested after the previous stop shows that the task still runs.
    return m_executionState == ExecutionState::Running && !m_workerStopping && m_goal == Goal::Stop
        && (!wasMade(Kind::Stop) || m_seenRunningAt > call(Kind::Stop).lastResult);
}

bool SupervisedTask::isRemoveDue(const Context & /*context*/) const
{
    // The worker keeps the result until the leader has committed it.
    return m_executionState == ExecutionState::Ended && m_acknowledged;
}

void SupervisedTask::updateGoal(const Context &context)
{
    if (m_goal != Goal::CheckpointThenStop || m_executionState != ExecutionState::Running) {
        return;
    }
    if (!m_checkpointRequestedAt) {
        m_checkpointRequestedAt = context.now;
        m_checkpointBeforeRequest = m_checkpoint;
    } else if (m_checkpoint != m_checkpointBeforeRequest
               || context.now - *m_checkpointRequestedAt >= context.checkpointTimeout) {
        m_goal = Goal::Stop;
    }
}

void SupervisedTask::onCallMade(TimePoint now, Kind kind, std::uint64_t id)
{
    if (kind == Kind::Start) {
        requireInvariant(!wasMade(Kind::Start), "start-call-once-per-fence", m_ref.job);
        m_executionState = ExecutionState::Starting;
    }
    call(kind).inFlight = id;
    call(kind).lastMade = now;
}

void SupervisedTask::onCallResult(TimePoint now,
                                  const WorkerAction &action,
                                  const Status &status,
                                  Milliseconds startSettleTime)
{
    Call &made = call(action.kind);
    made.inFlight = 0;
    made.lastResult = now;
    made.succeeded = isOk(status);
    if (action.kind == Kind::Throttle && made.succeeded) {
        m_appliedPercent = action.percent;
    }
    if (action.kind != Kind::Start || m_executionState != ExecutionState::Starting) {
        return;
    }
    if (made.succeeded) {
        m_executionState = ExecutionState::Running;
        m_conclusiveFrom = now;
        return;
    }
    const Error &error = errorOf(status);
    if (error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::ResourceExhausted
        || error.kind == ErrorKind::InvalidArgument) {
        refuse("the worker refused the start: " + error.message);
        return;
    }
    // A conflict does not prove a refusal either: the worker may have seen the fence through this very call.
    m_executionState = ExecutionState::Unresolved;
    m_conclusiveFrom = now + startSettleTime;
}

bool SupervisedTask::isReserved() const
{
    return m_executionState != ExecutionState::Ended && m_executionState != ExecutionState::Gone;
}

Resources SupervisedTask::demand() const
{
    return maxOf(m_start.reserved, m_usage);
}

bool SupervisedTask::isEnded() const
{
    return m_outcome.has_value();
}

bool SupervisedTask::isForgettable() const
{
    return m_acknowledged && m_executionState == ExecutionState::Gone;
}

bool SupervisedTask::isAcknowledged() const
{
    return m_acknowledged;
}

TaskReport SupervisedTask::report() const
{
    const bool isStopping = m_goal != Goal::Run || m_workerStopping;
    return {.job = m_ref.job,
            .fence = m_ref.fence,
            .state = m_outcome.value_or(isStopping ? ReportedState::Stopping : ReportedState::Running),
            .reason = m_reason,
            .usage = m_usage,
            .checkpoint = m_checkpoint,
            .progress = m_progress,
            .result = m_result,
            .runTime = m_runTime};
}

void SupervisedTask::setReported(const TaskReport &report)
{
    m_reported = report;
}

void SupervisedTask::reportAgain()
{
    m_reported.reset();
}

const std::optional<TaskReport> &SupervisedTask::reported() const
{
    return m_reported;
}

SupervisedTask::ExecutionState SupervisedTask::executionState() const
{
    return m_executionState;
}

const TaskRef &SupervisedTask::ref() const
{
    return m_ref;
}

const TaskStart &SupervisedTask::start() const
{
    return m_start;
}

const StartGate::Order &SupervisedTask::startOrder() const
{
    return m_startOrder;
}

std::uint32_t SupervisedTask::percent() const
{
    return m_percent.value_or(100);
}

} // namespace Carobflow
