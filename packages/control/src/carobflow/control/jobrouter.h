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

/// The job is not stored and will not run unless it is submitted again.
struct JobRejected {
    /// Delay after which the client may retry.
    Milliseconds retryAfter{1000};
    /// True when too much work is queued, false when neither a leader nor the store could be reached.
    bool overloaded = false;
};

/// It is not known whether the request took effect.
struct JobOutcomeUnknown {
};

struct JobUnknown {
};

struct JobCancelled {
};

/// The leader knows a newer configuration, in which the queue does not exist. Nothing is stored.
struct QueueRemoved {
};

using SubmitOutcome = std::variant<JobStored, JobRejected, QueueRemoved, JobOutcomeUnknown>;
using CountOutcome = std::variant<std::uint32_t, QueueRemoved, JobOutcomeUnknown>;
using CancelOutcome = std::variant<JobCancelled, JobUnknown, JobOutcomeUnknown>;
using QueryOutcome = std::variant<Scheduling::JobPhase, JobUnknown, JobOutcomeUnknown>;

/// Routes an entry's job requests to the leader. While no leader answers, it uses the store directly: jobs and
/// cancellations are written to the inbox, and job states are read from the rows. Safe to call from several threads.
class JobRouter
{
public:
    JobRouter(WatchableTable &table, LeaderDirectory &directory, OperatorSync &operators, ControlCaller &caller);

    boost::asio::awaitable<SubmitOutcome> submit(Scheduling::JobSpec job, TimePoint deadline);
    boost::asio::awaitable<CancelOutcome> cancel(std::string id, TimePoint deadline);
    boost::asio::awaitable<QueryOutcome> query(std::string id, TimePoint deadline);

    /// Number of accepted jobs of a queue that have not started; nullopt when no leader answers before the deadline, or
    /// it has not read the inbox for seconds and this entry cannot read it either.
    boost::asio::awaitable<CountOutcome> countPending(std::string queue, TimePoint deadline);

    /// True while submissions can be accepted.
    [[nodiscard]] bool isUsable() const;

private:
    enum class InboxOutcome { Written, Refused, Unknown };

    boost::asio::awaitable<InboxOutcome> writeInbox(std::string key, std::string value);
    boost::asio::awaitable<QueryOutcome> readPhase(std::string id);
    /// Of the configuration by which requests are routed; 0 when there is none.
    [[nodiscard]] std::uint64_t configurationVersion() const;

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
