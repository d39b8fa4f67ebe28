#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// The leader's view of one host, based on its reports. All fields are hints except `confirmedAt` and `grantedAt`,
/// which determine the wait before a reassignment.
struct HostEntry {
    HostInfo info;
    std::uint64_t bootId = 0;
    std::uint64_t lastSequence = 0;
    /// True when `tasks` lists every task of this boot.
    bool complete = false;
    std::map<TaskRef, TaskReport> tasks;
    /// Ended tasks that the agent has reported and that have not been acknowledged yet.
    std::set<TaskRef> ended;
    /// The time of the last stop order for each task, sent to this boot of the agent.
    std::map<TaskRef, TimePoint> stopsSent;
    /// The last throttle ordered for each task, in percent; a task without an entry has none. 0 means unknown: the
    /// order may have been lost, or a throttle set under an earlier leader or agent process may still be in force.
    std::map<TaskRef, std::uint32_t> percentsSent;
    bool leaving = false;
    TimePoint lastReportAt;
    /// The last report by an agent that had seen this leader's epoch, and so accepts no grant of an older leader.
    std::optional<TimePoint> confirmedAt;
    /// The last time at which a grant was given.
    std::optional<TimePoint> grantedAt;
    /// No task is assigned to the host before this time, because it refused a start order.
    TimePoint refusedUntil;
};

/// Tracks the hosts that have reported to this leader, and how long tasks of a host that stops reporting may still run.
class HostRegistry
{
public:
    struct Options {
        Milliseconds hostGrant{10000};
        Milliseconds workerLease{5000};
        Milliseconds reassignMargin{2000};
        Milliseconds outageGrace{300000};
    };

    explicit HostRegistry(Options options);

    /// Removes all hosts and measures the waits from a take-over confirmed at this time.
    void reset(TimePoint takeOver, Epoch epoch);

    /// Updates the host from a report. Returns null for a report that is older than one already seen.
    HostEntry *onReport(TimePoint now, const HostReport &report);

    HostEntry *find(std::string_view host);
    [[nodiscard]] const HostEntry *find(std::string_view host) const;
    [[nodiscard]] const std::map<std::string, HostEntry, std::less<>> &hosts() const;

    /// The time at which all tasks of this host have ended unless it reports again (design section 8).
    [[nodiscard]] TimePoint tasksEndBy(std::string_view host) const;

    /// True when the host has reported recently, completely and under this epoch, is not leaving, and has not just
    /// refused a start order.
    [[nodiscard]] bool isAssignable(TimePoint now, const HostEntry &entry) const;

    /// True once no new host has appeared for a few seconds, so that the list of hosts is likely complete.
    [[nodiscard]] bool isSettled(TimePoint now) const;

private:
    Options m_options;
    Epoch m_epoch = 0;
    TimePoint m_takeOver;
    std::optional<TimePoint> m_newestHostAt;
    std::map<std::string, HostEntry, std::less<>> m_hosts;
};

/// True when the reported state is final.
bool isEndedReport(ReportedState state);

} // namespace Carobflow
