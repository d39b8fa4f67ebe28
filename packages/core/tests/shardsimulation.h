#pragma once

#include "carobflow/core/internal/shardrow.h"
#include "carobflow/core/shardleader.h"
#include "carobflow/core/shardstate.h"
#include "randomised.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Carobflow::Testing
{

/// Global time of the simulation in milliseconds. Processes do not see it; they read only their own clocks.
using TrueTime = std::int64_t;

/// A monotonic clock with an offset in microseconds and a rate error in parts per million.
struct DriftingClock {
    std::int64_t offset = 0;
    std::int64_t ratePerMillion = 0;

    [[nodiscard]] TimePoint at(TrueTime now) const
    {
        return TimePoint(std::chrono::microseconds(offset + now * 1000 + now * ratePerMillion / 1000));
    }
};

/// Runs the events of a simulation in time order.
class EventQueue
{
public:
    void at(TrueTime time, std::function<void()> action)
    {
        m_events.push({time, m_added++, std::move(action)});
    }

    void runUntil(TrueTime end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.time);
            event.action();
        }
        m_now = end;
    }

    [[nodiscard]] TrueTime now() const
    {
        return m_now;
    }

private:
    struct Event {
        TrueTime time = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_added = 0;
    TrueTime m_now = 0;
};

/// The table and object store, with a replica of the shard's state to which each ledger row is applied when committed.
class FakeStore
{
public:
    TransactOutcome transact(const Transaction &transaction);
    std::vector<Row> range(const ReadRangeOperation &read) const;
    std::vector<Row> row(const std::string &key) const;
    /// Checks that a leader's snapshot equals the replay of the ledger, then stores it.
    void writeObject(const std::string &key, const std::string &bytes);

    std::map<std::string, std::string> objects;
    ShardState replica;
    /// For each committed assignment, the last checkpoint recorded before it.
    std::map<Fence, std::string> assignments;
    /// True when the host's data centre is in service according to the newest sheet.
    std::function<bool(const std::string &host)> isInService;
    int snapshots = 0;
    /// Number of evictions by the first words of their reason.
    std::map<std::string, int> evictions;

private:
    void applyLedgerRow(const std::string &key, const std::string &value);

    std::map<std::string, Row> m_rows;
    std::vector<std::string> m_ledger;
    /// Tracked independently of the replica, so that a fault in ShardState cannot hide itself.
    std::map<std::string, std::string> m_lastCheckpoint;
    std::uint64_t m_version = 0;
};

/// A worker that runs tasks under leases and survives the death of its agent.
class FakeWorker
{
public:
    struct Task {
        ReportedState state = ReportedState::Running;
        TrueTime startedAt = 0;
        TrueTime leaseEnd = 0;
        TrueTime stopAt = 0;
        /// Work done before this start and total work, in milliseconds.
        std::int64_t workBefore = 0;
        std::int64_t totalWork = 0;
        bool fails = false;
        bool checkpointAtStop = false;
        std::string checkpoint;
        TrueTime checkpointAt = 0;
    };

    /// Updates the tasks to this time: ended tasks, expired leases and checkpoints.
    void update(TrueTime now, std::map<std::string, std::int64_t> &checkpoints);
    [[nodiscard]] bool runs(const std::string &job) const;

    std::map<TaskRef, Task> tasks;
    std::map<std::string, Fence> newestFence;
    std::int64_t ratePerMillion = 0;
};

inline constexpr int HostCount = 6;
inline constexpr int CandidateCount = 3;
/// No faults are injected before this time, so that every host reports at least once: a job is unrunnable by design
/// while no host with sufficient capacity has ever reported to a leader of the shard.
inline constexpr TrueTime FaultsBegin = 5'000;
inline constexpr TrueTime FaultsEnd = 240'000;
inline constexpr Milliseconds MaxStartAge{2000};
inline constexpr Milliseconds MaxSheetAge{2000};

/// Time after a data centre was taken out from which on no task may start there: the maximum ages of the sheet and of
/// the start order, and message delays.
inline constexpr TrueTime NoStartAfter = 4000;

inline std::string hostName(int index)
{
    return "host-" + std::to_string(index);
}

inline std::string dataCentreOf(int index)
{
    return "dc-" + std::to_string(index % 3);
}

/// In-memory state of an agent, lost when its process is killed.
struct FakeAgent {
    std::uint64_t bootId = 0;
    std::uint64_t sequence = 0;
    Epoch epoch = 0;
    bool epochKnown = false;
    SheetVersion sheetVersion = 0;
    TimePoint sheetConfirmedAt;
    TimePoint grantEnd;
    TimePoint lastOrdersSentAt;
    TimePoint syncSentAt;
    bool syncInFlight = false;
    bool full = true;
    int target = 0;
    /// Final states of tasks whose start orders were not passed on to the worker: refused, or lost.
    std::map<TaskRef, ReportedState> notStarted;
};

struct Process {
    bool alive = true;
    TrueTime pausedUntil = 0;
    /// Until these times the process cannot reach the store, or its agent any leader.
    TrueTime storeUnreachableUntil = 0;
    TrueTime leadersUnreachableUntil = 0;
    /// Candidates that its agent cannot reach until `unreachableUntil`.
    std::set<int> unreachable;
    TrueTime unreachableUntil = 0;
    std::uint64_t generation = 0;
    DriftingClock clock;
    std::unique_ptr<ShardLeader> leader;
    FakeAgent agent;
    std::map<std::uint64_t, std::string> submissions;
    std::map<std::uint64_t, std::string> cancellations;
};

/// A shard with candidates, agents and workers, under injected faults. It checks the invariants as it runs.
class Simulation
{
public:
    enum class Scenario { Random, SplitLeaders };

    explicit Simulation(std::uint64_t seed, Scenario scenario = Scenario::Random);
    void run();

    [[nodiscard]] const FakeStore &store() const
    {
        return m_store;
    }

private:
    using Reply = std::function<void(Process &)>;

    // Processes and messages.
    void startProcess(int index);
    void deliver(int index, std::uint64_t generation, TrueTime delay, Reply reply);
    TrueTime delay();
    bool faultOccurs(int percent);
    void tick(int index);
    void pump(int index);
    void execute(int index, const StoreOperation &operation);
    void perform(int index, std::uint64_t generation, const StoreOperation &operation, bool replies);
    void takeReplies(Process &process);
    void pollSheet(int index);

    // Agents and workers.
    HostReport makeReport(int index);
    void sync(int index);
    void onOrders(int index, TimePoint sentAt, const HostOrders &orders);
    void startTask(int index, TimePoint sentAt, const HostOrders &orders, const StartOrder &order);
    void checkStart(int index, const StartOrder &order);
    void renew(int index);

    // Workload and faults.
    void submitJobs();
    void changeSheet();
    void injectFaults();
    /// Partitions the leader from the table and from all agents but two, which in turn reach no other candidate.
    void splitLeaders();
    void checkFinalState();

    [[nodiscard]] TrueTime now() const
    {
        return m_events.now();
    }

    Random m_random;
    EventQueue m_events;
    FakeStore m_store;
    TrueTime m_storeDownUntil = 0;
    Milliseconds m_outageGrace{0};
    std::vector<Process> m_processes{HostCount};
    std::vector<FakeWorker> m_workers{HostCount};
    std::map<std::string, std::int64_t> m_checkpoints;
    std::vector<std::shared_ptr<const Sheet>> m_sheets{nullptr};
    std::map<std::string, TrueTime> m_outSince;
    std::set<Fence> m_started;
    std::set<std::string> m_submitted;
    std::set<std::string> m_accepted;
    std::set<std::string> m_cancelled;
    int m_failingHost = 0;
    /// Frequency of faults, which differs between seeds: with frequent faults, the waits for a host that stops
    /// reporting rarely come to their end.
    std::int64_t m_faultPercent = 0;
    Scenario m_scenario;
    int m_splits = 0;
};

} // namespace Carobflow::Testing
