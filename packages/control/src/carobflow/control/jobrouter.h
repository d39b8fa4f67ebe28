#pragma once

#include "carobflow/control/controlcaller.h"
#include "carobflow/control/leaderdirectory.h"
#include "carobflow/control/operatorsync.h"
#include "carobflow/scheduler/workload.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// The job is stored and will be run.
struct JobStored {
};

/// The job is stored nowhere and will never run unless it is submitted again.
struct JobNotTaken {
    /// When to come back.
    Milliseconds retryAfter{1000};
    /// True when too much work is waiting, false when no leader or store could be reached.
    bool overloaded = false;
};

/// Nobody can say whether the request had an effect.
struct JobOutcomeUnknown {
};

struct JobUnknown {
};

struct JobCancelled {
};

using SubmitOutcome = std::variant<JobStored, JobNotTaken, JobOutcomeUnknown>;
using CancelOutcome = std::variant<JobCancelled, JobUnknown, JobOutcomeUnknown>;
using QueryOutcome = std::variant<Scheduling::JobPhase, JobUnknown, JobOutcomeUnknown>;

/// An entry's way to the leader, and past it: while no leader answers, jobs and cancellations are written to the inbox
/// in the store, and states are read from there. Safe to call from several threads.
class JobRouter
{
public:
    JobRouter(WatchableTable &table, LeaderDirectory &directory, OperatorSync &operators, ControlCaller &caller);

    boost::asio::awaitable<SubmitOutcome> submit(Scheduling::JobSpec job, TimePoint deadline);
    boost::asio::awaitable<CancelOutcome> cancel(std::string id, TimePoint deadline);
    boost::asio::awaitable<QueryOutcome> query(std::string id, TimePoint deadline);

    /// Accepted jobs of a queue that have not started; nothing when nobody can say.
    boost::asio::awaitable<std::optional<std::uint32_t>> countPending(std::string queue, TimePoint deadline);

    /// True while submissions can be taken.
    [[nodiscard]] bool isUsable() const;

private:
    enum class InboxOutcome { Written, Refused, Unknown };

    boost::asio::awaitable<InboxOutcome> writeInbox(std::string key, std::string value);
    boost::asio::awaitable<QueryOutcome> readPhase(std::string id);

    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    OperatorSync &m_operators;
    ControlCaller &m_caller;

    struct PendingCount {
        std::uint32_t count = 0;
        TimePoint readAt;
    };

    std::mutex m_mutex;
    std::map<std::string, PendingCount> m_pending;
};

} // namespace Carobflow
