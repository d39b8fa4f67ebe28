#pragma once

#include "carobflow/core/types.h"

#include <string>
#include <vector>

namespace Carobflow
{

/// What an agent says about a task. Lost: the lease lapsed or the worker no longer lists it. Refused: the agent handed
/// the start order back and the task never ran.
enum class ReportedState { Running, Stopping, Stopped, Finished, Failed, Lost, Refused };
BOOST_DESCRIBE_ENUM(ReportedState, Running, Stopping, Stopped, Finished, Failed, Lost, Refused)

/// The state of one task of a host. All states but Running and Stopping mean that the task runs no more, and the agent
/// repeats them until the leader acknowledges them.
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

/// What the upstream of a host did in one window, for learning how batch jobs slow it down.
struct ServiceWindow {
    std::string service;
    std::uint32_t completed = 0;
    double p99Milliseconds = 0;
    /// Requests in progress as a share of the slots, averaged over the window.
    double load = 0;
    Milliseconds length{0};
    /// The classes of the tasks that ran on the host throughout the window, one entry for each task.
    std::vector<std::string> jobClasses;
};

/// What an agent sends to its shard's leader.
struct HostReport {
    HostInfo host;
    /// Random for each start of the agent.
    std::uint64_t bootId = 0;
    /// Grows with each report of the same boot; the leader ignores older ones.
    std::uint64_t sequence = 0;
    /// The highest epoch that the agent has seen; a leader with a lower one steps down.
    Epoch epoch = 0;
    SheetVersion sheetVersion = 0;
    /// True when `tasks` holds every task of the host; otherwise it holds changes since the previous report.
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
    /// Time since the leader decided on the start, on the leader's clock.
    Milliseconds age{0};
    std::int64_t runSeconds = 0;
};

struct StopOrder {
    std::string job;
    Fence fence = 0;
    /// True when the task is to write a checkpoint before it stops.
    bool checkpoint = false;
};

struct ThrottleOrder {
    std::string job;
    Fence fence = 0;
    /// Share of the task's processor time that it may use, in percent.
    std::uint32_t percent = 100;
};

struct TaskRef {
    std::string job;
    Fence fence = 0;

    bool operator==(const TaskRef &) const = default;

    /// By job, then by fence.
    bool operator<(const TaskRef &other) const;
};

/// What a leader answers to a report.
struct HostOrders {
    /// False when the process does not lead the shard; everything else is then empty.
    bool leading = false;
    Epoch epoch = 0;
    SheetVersion sheetVersion = 0;
    /// How long the agent may renew task leases, counted from before it sent the report; 0 for no grant.
    Milliseconds grant{0};
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> throttles;
    /// Ended tasks whose outcome is committed; the agent forgets them.
    std::vector<TaskRef> acknowledged;
    /// True when the leader wants the next report to be full.
    bool wantFull = false;

    /// True when there is nothing that the agent has to act upon at once.
    [[nodiscard]] bool isIdle() const;
};

} // namespace Carobflow
