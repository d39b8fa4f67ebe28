#pragma once

#include "carobflow/core/types.h"

#include <string>
#include <vector>

namespace Carobflow
{

/// The state of a task as reported by its agent. Lost: the lease expired or the worker no longer lists the task.
/// Refused: the agent refused the start order and the task never ran.
enum class ReportedState { Running, Stopping, Stopped, Finished, Failed, Lost, Refused };
BOOST_DESCRIBE_ENUM(ReportedState, Running, Stopping, Stopped, Finished, Failed, Lost, Refused)

/// Status of one task of a host. All states other than Running and Stopping are final; the agent repeats a final state
/// until the leader acknowledges it.
struct TaskReport {
    std::string job;
    Fence fence = 0;
    ReportedState state = ReportedState::Running;
    std::string reason;
    Resources usage;
    std::string checkpoint;
    double progress = 0;
    std::string result;
    Milliseconds runTime{0};

    bool operator==(const TaskReport &) const = default;
};

/// Request statistics of a host's upstream over one window, from which the slowdown by batch jobs is estimated.
struct ServiceWindow {
    std::string service;
    std::uint32_t completed = 0;
    double p99Milliseconds = 0;
    /// Requests in progress as a fraction of the slots, averaged over the window.
    double load = 0;
    Milliseconds length{0};
    /// Classes of the tasks that ran on the host throughout the window, one entry per task.
    std::vector<std::string> jobClasses;
};

/// Periodic report of an agent to its shard's leader.
struct HostReport {
    HostInfo host;
    /// Random number chosen at each start of the agent.
    std::uint64_t bootId = 0;
    /// Increases with each report of the same boot; the leader ignores reports that arrive out of order.
    std::uint64_t sequence = 0;
    /// The highest epoch that the agent has seen; a leader with a lower epoch steps down.
    Epoch epoch = 0;
    SheetVersion sheetVersion = 0;
    /// True when `tasks` lists every task of the host; otherwise it lists the changes since the previous report.
    bool full = true;
    std::vector<TaskReport> tasks;
    std::vector<ServiceWindow> windows;
    bool leaving = false;
};

struct StartOrder {
    std::string job;
    Fence fence = 0;
    std::string jobClass;
    Resources reserved;
    std::string checkpoint;
    /// Time since the leader decided on the assignment, measured by the leader's clock.
    Milliseconds age{0};
    std::int64_t runSeconds = 0;
};

struct StopOrder {
    std::string job;
    Fence fence = 0;
    /// True when the task should write a checkpoint before it stops.
    bool checkpoint = false;
};

struct ThrottleOrder {
    std::string job;
    Fence fence = 0;
    /// Processor time that the task may use, in percent of its unthrottled share.
    std::uint32_t percent = 100;
};

struct TaskRef {
    std::string job;
    Fence fence = 0;

    bool operator==(const TaskRef &) const = default;

    /// By job, then by fence.
    bool operator<(const TaskRef &other) const;
};

/// The leader's reply to a report.
struct HostOrders {
    /// False when the process does not lead the shard; all other fields are then empty.
    bool leading = false;
    Epoch epoch = 0;
    SheetVersion sheetVersion = 0;
    /// Period in which the agent may renew task leases, counted from before it sent the report; 0 for no grant.
    Milliseconds grant{0};
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> throttles;
    /// Ended tasks whose outcome is committed; the agent stops reporting them.
    std::vector<TaskRef> acknowledged;
    /// True when the leader requests a full report next.
    bool wantFull = false;

    /// True when the reply contains nothing that the agent has to act on at once.
    [[nodiscard]] bool isIdle() const;
};

} // namespace Carobflow
