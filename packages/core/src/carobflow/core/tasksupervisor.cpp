#include "carobflow/core/tasksupervisor.h"

#include "carobflow/core/internal/startgate.h"
#include "carobflow/core/internal/supervisedtask.h"
#include "carobflow/core/invariant.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Carobflow
{

class TaskSupervisor::Private
{
public:
    using Tasks = std::map<TaskRef, SupervisedTask>;

    explicit Private(Options givenOptions)
        : options(std::move(givenOptions))
        , gate({.maxStartAge = options.maxStartAge, .maxSheetAge = options.maxSheetAge})
    {
    }

    void handleStartOrder(TimePoint sentAt, TimePoint now, SheetVersion sheetVersion, const StartOrder &order);
    void handleStopOrder(TimePoint now, const StopOrder &order);
    void adopt(TimePoint requestedAt, const TaskInfo &info);
    std::optional<WorkerAction> makeAction(TimePoint now, SupervisedTask &task, WorkerAction::Kind kind);
    bool allowStart(TimePoint now, SupervisedTask &task, WorkerAction &action);
    void forget(Tasks::iterator task);
    [[nodiscard]] Resources reserved() const;
    [[nodiscard]] std::string describeShortage(const Resources &demand) const;

    Options options;
    StartGate gate;
    Tasks tasks;
    /// The highest fence seen for each job; an assignment that is not newer is never started. Entries are kept for the
    /// lifetime of the process: about ten are added a day at the target size.
    std::unordered_map<std::string, Fence> fences;
    std::map<std::uint64_t, WorkerAction> calls;
    std::uint64_t lastCallId = 0;
    std::optional<TimePoint> firstListedAt;
    std::optional<TimePoint> listedAt;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    bool nextReportIsFull = true;
    bool reportAtOnce = true;
};

TaskSupervisor::TaskSupervisor(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

TaskSupervisor::~TaskSupervisor() = default;

void TaskSupervisor::setMinimumEpoch(Epoch epoch)
{
    d->epoch = std::max(d->epoch, epoch);
}

void TaskSupervisor::onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreInService)
{
    d->gate.onSheet(confirmedAt, version, dataCentreInService);
}

void TaskSupervisor::setLeaving()
{
    d->gate.setLeaving();
    d->reportAtOnce = true;
}

bool TaskSupervisor::isSettled() const
{
    return std::ranges::all_of(
        d->tasks, [](const auto &entry) { return !entry.second.isReserved() && entry.second.isAcknowledged(); });
}

Resources TaskSupervisor::Private::reserved() const
{
    Resources sum;
    for (const auto &[ref, task] : tasks) {
        if (task.isReserved()) {
            sum += task.demand();
        }
    }
    return sum;
}

std::string TaskSupervisor::Private::describeShortage(const Resources &demand) const
{
    const Resources needed = reserved() + demand;
    const auto describe = [](std::string_view name, std::int64_t need, std::int64_t capacity) {
        return need > capacity
            ? " " + std::string(name) + " " + std::to_string(need) + " of " + std::to_string(capacity)
            : std::string();
    };
    return "does not fit:" + describe("cpuMillis", needed.cpuMillis, options.host.capacity.cpuMillis)
        + describe("memoryMiB", needed.memoryMiB, options.host.capacity.memoryMiB)
        + describe("accelerators", needed.accelerators, options.host.capacity.accelerators);
}

void TaskSupervisor::onOrders(TimePoint sentAt, TimePoint now, const HostOrders &orders)
{
    requireInvariant(sentAt <= now, "orders-answer-an-earlier-report");
    if (!orders.leading || orders.epoch < d->epoch) {
        // The report did not reach the leader.
        d->nextReportIsFull = true;
        return;
    }
    if (orders.epoch > d->epoch) {
        d->epoch = orders.epoch;
        d->nextReportIsFull = true;
    }
    if (orders.wantFull) {
        d->nextReportIsFull = true;
        d->reportAtOnce = true;
    }
    d->gate.onGrant(sentAt + orders.grant);
    for (const TaskRef &ref : orders.acknowledged) {
        if (const auto found = d->tasks.find(ref); found != d->tasks.end()) {
            found->second.acknowledge();
            d->forget(found);
        }
    }
    for (const StopOrder &order : orders.stops) {
        d->handleStopOrder(now, order);
    }
    for (const ThrottleOrder &order : orders.throttles) {
        if (const auto found = d->tasks.find({order.job, order.fence}); found != d->tasks.end()) {
            found->second.throttle(order.percent);
        }
    }
    for (const StartOrder &order : orders.starts) {
        d->handleStartOrder(sentAt, now, orders.sheetVersion, order);
    }
}

void TaskSupervisor::Private::forget(Tasks::iterator task)
{
    if (task->second.isForgettable()) {
        requireInvariant(
            task->second.isEnded() && !task->second.isReserved(), "forgets-ended-tasks-only", task->first.job);
        tasks.erase(task);
    }
}

void TaskSupervisor::Private::handleStopOrder(TimePoint now, const StopOrder &order)
{
    const TaskRef ref{.job = order.job, .fence = order.fence};
    // An unknown task may still run, for example when it was started before a restart of this process.
    const auto task = tasks.try_emplace(ref, ref, now).first;
    Fence &fence = fences[order.job];
    fence = std::max(fence, order.fence);
    task->second.requestGoal(order.checkpoint ? SupervisedTask::Goal::CheckpointThenStop : SupervisedTask::Goal::Stop);
}

void TaskSupervisor::Private::handleStartOrder(TimePoint sentAt,
                                               TimePoint now,
                                               SheetVersion sheetVersion,
                                               const StartOrder &order)
{
    const TaskRef ref{.job = order.job, .fence = order.fence};
    if (const auto known = tasks.find(ref); known != tasks.end()) {
        known->second.reportAgain();
        return;
    }
    if (!firstListedAt) {
        // The task may already run, started before a restart of this process. The leader repeats the order.
        return;
    }
    const TimePoint decidedAt = sentAt - order.age;
    const StartGate::Order startOrder{
        .decidedAt = decidedAt, .sheetVersion = sheetVersion, .mayHaveRun = decidedAt < *firstListedAt};
    SupervisedTask task({.job = order.job,
                         .fence = order.fence,
                         .jobClass = order.jobClass,
                         .reserved = order.reserved,
                         .lease = options.workerLease,
                         .checkpoint = order.checkpoint,
                         .runSeconds = order.runSeconds},
                        startOrder);
    Fence &fence = fences[order.job];
    const StartGate::Verdict verdict = gate.check(now, startOrder);
    const bool runsAlready = std::any_of(tasks.begin(), tasks.end(), [&order](const auto &entry) {
        return entry.first.job == order.job && entry.second.isReserved();
    });
    if (order.fence <= fence) {
        // Lost instead of refused: the job may have run here before under this fence.
        task.markLost("a task with this fencing number or a newer one was here before");
    } else if (verdict.kind == StartGate::Verdict::Kind::Refuse) {
        task.refuse(verdict.reason);
    } else if (runsAlready) {
        task.refuse("an earlier assignment of the job may still run here");
    } else if (!(reserved() + order.reserved).fitsIn(options.host.capacity)) {
        task.refuse(describeShortage(order.reserved));
    }
    fence = std::max(fence, order.fence);
    const bool admitted = task.isReserved();
    tasks.emplace(ref, std::move(task));
    requireInvariant(!admitted || reserved().fitsIn(options.host.capacity), "reserved-fits-capacity", order.job);
}

void TaskSupervisor::Private::adopt(TimePoint requestedAt, const TaskInfo &info)
{
    const TaskRef ref{.job = info.job, .fence = info.fence};
    const auto [task, added] = tasks.try_emplace(ref, ref, requestedAt);
    Fence &fence = fences[info.job];
    if (added && info.fence <= fence) {
        // The start call took effect after its task was forgotten, or the task is an older assignment.
        task->second.requestGoal(SupervisedTask::Goal::Stop);
    }
    fence = std::max(fence, info.fence);
    task->second.onListed(requestedAt, info);
}

void TaskSupervisor::onWorkerList(TimePoint requestedAt, TimePoint now, std::span<const TaskInfo> tasks)
{
    requireInvariant(requestedAt <= now, "list-was-requested-before");
    if (d->listedAt && requestedAt < *d->listedAt) {
        return;
    }
    d->listedAt = requestedAt;
    if (!d->firstListedAt) {
        d->firstListedAt = requestedAt;
        d->reportAtOnce = true;
    }
    std::set<TaskRef> listed;
    for (const TaskInfo &info : tasks) {
        listed.insert({.job = info.job, .fence = info.fence});
        d->adopt(requestedAt, info);
    }
    for (auto task = d->tasks.begin(); task != d->tasks.end();) {
        const auto current = task++;
        if (!listed.contains(current->first)) {
            current->second.onNotListed(requestedAt);
            d->forget(current);
        }
    }
}

std::vector<WorkerAction> TaskSupervisor::takeActions(TimePoint now)
{
    using Kind = WorkerAction::Kind;
    const SupervisedTask::Context context{.now = now,
                                          .isGrantValid = d->gate.isGrantValid(now),
                                          .retryInterval = d->options.renewInterval,
                                          .checkpointTimeout = d->options.checkpointTimeout};
    std::vector<WorkerAction> actions;
    for (auto &[ref, task] : d->tasks) {
        task.updateGoal(context);
        for (const Kind kind : {Kind::Start, Kind::Renew, Kind::Checkpoint, Kind::Throttle, Kind::Stop, Kind::Remove}) {
            if (task.isDue(kind, context)) {
                if (std::optional<WorkerAction> action = d->makeAction(now, task, kind)) {
                    actions.push_back(std::move(*action));
                }
            }
        }
    }
    return actions;
}

std::optional<WorkerAction>
TaskSupervisor::Private::makeAction(TimePoint now, SupervisedTask &task, WorkerAction::Kind kind)
{
    WorkerAction action;
    action.kind = kind;
    action.task = task.ref();
    switch (kind) {
    case WorkerAction::Kind::Start:
        if (!allowStart(now, task, action)) {
            return std::nullopt;
        }
        break;
    case WorkerAction::Kind::Renew:
        requireInvariant(now < gate.grantUntil(), "renews-with-grant-only", task.ref().job);
        action.lease = options.workerLease;
        action.sendBefore = gate.grantUntil();
        break;
    case WorkerAction::Kind::Throttle:
        action.percent = task.percent();
        break;
    case WorkerAction::Kind::Checkpoint:
    case WorkerAction::Kind::Stop:
    case WorkerAction::Kind::Remove:
        break;
    }
    action.id = ++lastCallId;
    task.onCallMade(now, kind, action.id);
    calls.emplace(action.id, action);
    return action;
}

bool TaskSupervisor::Private::allowStart(TimePoint now, SupervisedTask &task, WorkerAction &action)
{
    const StartGate::Verdict verdict = gate.check(now, task.startOrder());
    if (verdict.kind == StartGate::Verdict::Kind::Refuse) {
        task.refuse(verdict.reason);
    }
    if (verdict.kind != StartGate::Verdict::Kind::Allow) {
        return false;
    }
    requireInvariant(
        now - task.startOrder().decidedAt <= options.maxStartAge, "starts-within-age-bound", task.ref().job);
    requireInvariant(now < gate.grantUntil(), "starts-with-grant-only", task.ref().job);
    action.start = task.start();
    action.sendBefore = verdict.validUntil;
    return true;
}

void TaskSupervisor::onActionResult(TimePoint sentAt, TimePoint now, std::uint64_t actionId, const Status &status)
{
    requireInvariant(sentAt <= now, "result-follows-call");
    const auto call = d->calls.extract(actionId);
    if (call.empty()) {
        return;
    }
    if (const auto task = d->tasks.find(call.mapped().task); task != d->tasks.end()) {
        task->second.onCallResult(now, call.mapped(), status, d->options.startSettleTime);
    }
}

HostReport TaskSupervisor::makeReport(TimePoint /*now*/)
{
    HostReport report{.host = d->options.host,
                      .bootId = d->options.bootId,
                      .sequence = ++d->sequence,
                      .epoch = d->epoch,
                      .sheetVersion = d->gate.sheetVersion(),
                      .full = d->nextReportIsFull && d->firstListedAt,
                      .tasks = {},
                      .windows = {},
                      .leaving = d->gate.isLeaving()};
    for (auto &[ref, task] : d->tasks) {
        if (task.isAcknowledged()) {
            continue;
        }
        TaskReport entry = task.report();
        if (report.full || task.isEnded() || task.reported() != entry) {
            task.setReported(entry);
            report.tasks.push_back(std::move(entry));
        }
    }
    d->nextReportIsFull = d->nextReportIsFull && !report.full;
    d->reportAtOnce = false;
    return report;
}

void TaskSupervisor::onReportLost()
{
    d->nextReportIsFull = true;
}

bool TaskSupervisor::hasChanges() const
{
    // Usage and progress change with each list; they are left to the next regular report.
    return d->reportAtOnce || std::any_of(d->tasks.begin(), d->tasks.end(), [](const auto &entry) {
               const SupervisedTask &task = entry.second;
               return !task.isAcknowledged()
                   && (!task.reported() || task.reported()->state != task.report().state
                       || task.reported()->checkpoint != task.report().checkpoint);
           });
}

Resources TaskSupervisor::reserved() const
{
    return d->reserved();
}

std::map<TaskRef, std::string> TaskSupervisor::runningTasks() const
{
    std::map<TaskRef, std::string> running;
    for (const auto &[ref, task] : d->tasks) {
        if (task.executionState() == SupervisedTask::ExecutionState::Running) {
            running.emplace(ref, task.start().jobClass);
        }
    }
    return running;
}

} // namespace Carobflow
