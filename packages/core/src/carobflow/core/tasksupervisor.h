#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/result.h"
#include "carobflow/core/types.h"
#include "carobflow/core/worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// A call to the worker, to be made by the owner of a TaskSupervisor.
struct WorkerAction {
    enum class Kind { Start, Renew, Checkpoint, Throttle, Stop, Remove };

    std::uint64_t id = 0;
    Kind kind = Kind::Renew;
    TaskRef task;
    /// For Start only.
    TaskStart start;
    /// For Renew only.
    Milliseconds lease{0};
    /// For Throttle only.
    std::uint32_t percent = 100;
    /// For Start and Renew: the call must not be sent after this time, for example after a pause of the process,
    /// because the grant or the age limit that allowed it has expired. The owner then reports it as Unavailable.
    TimePoint sendBefore = TimePoint::max();
};

/// Supervises the tasks of one host: admits start orders, renews leases while the leader's grant is valid, stops
/// tasks, and keeps results until the leader has acknowledged them. It has no clock and does no I/O. Not thread-safe:
/// its owner calls it from one thread at a time.
class TaskSupervisor
{
public:
    struct Options {
        HostInfo host;
        std::uint64_t bootId = 0;
        Milliseconds workerLease{5000};
        Milliseconds renewInterval{1000};
        /// Older start orders are returned to the leader.
        Milliseconds maxStartAge{2000};
        /// Tasks are started only when the sheet version was confirmed as current within this time.
        Milliseconds maxSheetAge{2000};
        /// Time from the request of a checkpoint until the task is stopped without one.
        Milliseconds checkpointTimeout{3000};
        /// After a start with an uncertain result, only a list requested at least this much later shows whether the
        /// task runs, because the worker may still be processing the call.
        Milliseconds startSettleTime{1000};
    };

    explicit TaskSupervisor(Options options);
    ~TaskSupervisor();
    TaskSupervisor(const TaskSupervisor &) = delete;
    TaskSupervisor &operator=(const TaskSupervisor &) = delete;

    /// Sets the lowest epoch from which grants and orders are accepted, as read from the shard's row.
    void setMinimumEpoch(Epoch epoch);

    /// `confirmedAt` is a time, on the clock of this process, at which the version was current; `dataCentreInService`
    /// tells whether that version has this host's data centre in service. Older versions are ignored.
    void onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreInService);

    /// Processes the orders that answered the report sent at `sentAt`.
    void onOrders(TimePoint sentAt, TimePoint now, const HostOrders &orders);

    /// Processes the worker's task list requested at `requestedAt`. It may not reflect later starts and stops.
    void onWorkerList(TimePoint requestedAt, TimePoint now, std::span<const TaskInfo> tasks);

    /// Returns the calls that are due now. A call that is in flight is not repeated.
    std::vector<WorkerAction> takeActions(TimePoint now);

    /// Processes the result of a call that was sent at `sentAt`.
    void onActionResult(TimePoint sentAt, TimePoint now, std::uint64_t actionId, const Status &status);

    /// Returns the next report. No report is full before the first worker list. When a report could not be sent, the
    /// owner calls onReportLost, which makes the next one full.
    HostReport makeReport(TimePoint now);
    void onReportLost();

    /// True when there is a change that should be reported immediately.
    [[nodiscard]] bool hasChanges() const;

    /// Refuses further starts; running tasks continue.
    void setLeaving();

    /// True when no task holds resources and the leader has acknowledged the end of every task.
    [[nodiscard]] bool isSettled() const;

    /// Reserved resources, including those of stopping tasks.
    [[nodiscard]] Resources reserved() const;
    /// The tasks that run now, with their job classes.
    [[nodiscard]] std::map<TaskRef, std::string> runningTasks() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Carobflow
