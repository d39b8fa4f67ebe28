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

/// What the leader knows of one host from its reports. All of it is a hint but the two times that bound the wait
/// before a reassignment.
struct HostEntry {
    HostInfo info;
    std::uint64_t bootId = 0;
    std::uint64_t lastSequence = 0;
    /// True when `tasks` holds every task of this boot.
    bool complete = false;
    std::map<TaskRef, TaskReport> tasks;
    /// Ended tasks that the agent has reported and that are not acknowledged since.
    std::set<TaskRef> ended;
    /// When stop orders were last given to this boot.
    std::map<TaskRef, TimePoint> stopsSent;
    /// The throttle that each task was ordered last, in percent; a task without an entry has none. 0 stands for an
    /// unknown one: the order may be lost, or an earlier leader or agent process may have left a throttle.
    std::map<TaskRef, std::uint32_t> percentsSent;
    bool leaving = false;
    TimePoint heardAt;
    /// The last report by an agent that had seen this leader's epoch, and thus accepts no grant of an older one.
    std::optional<TimePoint> confirmedAt;
    /// The last time at which a grant was given.
    std::optional<TimePoint> grantedAt;
    /// No task is assigned before this time, because the host handed a start order back.
    TimePoint refusedUntil;
};

/// The hosts that reported to this leader, and how long their tasks may run without another word from them.
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

    /// Forgets everything and counts the waits from a take-over that was confirmed at this time.
    void reset(TimePoint takeOver, Epoch epoch);

    /// Takes a report into account. Returns null for a report that is older than one already seen.
    HostEntry *onReport(TimePoint now, const HostReport &report);

    HostEntry *find(std::string_view host);
    [[nodiscard]] const HostEntry *find(std::string_view host) const;
    [[nodiscard]] const std::map<std::string, HostEntry, std::less<>> &hosts() const;

    /// The time from which tasks of this host can run no more unless it is heard from again (design section 8).
    [[nodiscard]] TimePoint tasksEndBy(std::string_view host) const;

    /// True when the host reported lately, completely, under this epoch, and is not leaving.
    [[nodiscard]] bool isAssignable(TimePoint now, const HostEntry &entry) const;

    /// True once no new host has appeared for a few seconds, so that the list of them is likely whole.
    [[nodiscard]] bool isSettled(TimePoint now) const;

private:
    Options m_options;
    Epoch m_epoch = 0;
    TimePoint m_takeOver;
    std::optional<TimePoint> m_newestHostAt;
    std::map<std::string, HostEntry, std::less<>> m_hosts;
};

/// True when the task runs no more.
bool isEndedReport(ReportedState state);

} // namespace Carobflow
