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

/// A call to the worker that the owner of a TaskSupervisor carries out.
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
    /// For Start and Renew: the owner does not send the call after this time, for example after a pause, and reports
    /// it as Unavailable. The grant or the age bound that allowed the call holds no longer.
    TimePoint sendBefore = TimePoint::max();
};

/// Runs the tasks of one host: admits start orders, renews leases while the leader grants it, stops tasks, and keeps
/// results until the leader has acknowledged them. It does no I/O and has no clock; its owner calls it from one thread
/// at a time.
class TaskSupervisor
{
public:
    struct Options {
        HostInfo host;
        std::uint64_t bootId = 0;
        Milliseconds workerLease{5000};
        Milliseconds renewInterval{1000};
        /// Start orders that are older are handed back.
        Milliseconds maxStartAge{2000};
        /// Starts need a sheet version that was confirmed as current within this time.
        Milliseconds maxSheetAge{2000};
        /// Time between asking for a checkpoint and stopping the task without it.
        Milliseconds checkpointTimeout{3000};
        /// After a start without a reply, the list that decides whether the task runs is requested at least this much
        /// later, because the worker may still be working on the call.
        Milliseconds startSettle{1000};
    };

    explicit TaskSupervisor(Options options);
    ~TaskSupervisor();
    TaskSupervisor(const TaskSupervisor &) = delete;
    TaskSupervisor &operator=(const TaskSupervisor &) = delete;

    /// Sets the lowest epoch from which grants and orders are accepted, as read from the shard's row.
    void setMinimumEpoch(Epoch epoch);

    /// `confirmedAt` is a time on this clock at which the version was current; `dataCentreIn` tells whether the sheet
    /// of that version has this host's data centre in service. Older versions are ignored.
    void onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreIn);

    /// The orders that answered the report sent at `sentAt`.
    void onOrders(TimePoint sentAt, TimePoint now, const HostOrders &orders);

    /// The worker's list, requested at `requestedAt`: a start or stop after that may not show in it.
    void onWorkerList(TimePoint requestedAt, TimePoint now, std::span<const TaskInfo> tasks);

    /// The calls that are due now. A call that is in flight is not repeated.
    std::vector<WorkerAction> takeActions(TimePoint now);

    /// The result of a call that was sent at `sentAt`.
    void onActionResult(TimePoint sentAt, TimePoint now, std::uint64_t actionId, const Status &status);

    /// The next report; none is full before the first worker list. After a failed send the owner calls onReportLost, so
    /// that the next report is full.
    HostReport makeReport(TimePoint now);
    void onReportLost();

    /// True when there is a change to report at once.
    [[nodiscard]] bool hasChanges() const;

    /// Refuses further starts; running tasks go on.
    void setLeaving();

    /// True when no task holds resources and the leader has acknowledged the end of each.
    [[nodiscard]] bool isSettled() const;

    /// Reserved resources, stopping tasks included.
    [[nodiscard]] Resources reserved() const;
    /// The tasks that run now, with their classes.
    [[nodiscard]] std::map<TaskRef, std::string> runningTasks() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Carobflow
