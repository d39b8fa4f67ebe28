#pragma once

#include "carobflow/control/controlcaller.h"
#include "carobflow/control/leaderdirectory.h"
#include "carobflow/control/operatorsync.h"
#include "carobflow/control/stallwatch.h"
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

/// There is no such job, and too many cancellations of unknown jobs are remembered already. A submission that was sent
/// before may still arrive and run.
struct CancelRefused {
    /// Delay after which the client may ask again.
    Milliseconds retryAfter{5000};
};

/// The leader knows a newer configuration, in which the queue does not exist. Nothing is stored.
struct QueueRemoved {
};

using SubmitOutcome = std::variant<JobStored, JobRejected, QueueRemoved, JobOutcomeUnknown>;
using CountOutcome = std::variant<std::uint32_t, QueueRemoved, JobOutcomeUnknown>;
using CancelOutcome = std::variant<JobCancelled, JobUnknown, CancelRefused, JobOutcomeUnknown>;
using QueryOutcome = std::variant<Scheduling::JobPhase, JobUnknown, JobOutcomeUnknown>;

/// Routes an entry's job requests to the leader. While no leader answers, it uses the store directly: jobs and
/// cancellations are written to the inbox, and job states are read from the rows. Safe to call from several threads.
class JobRouter
{
public:
    JobRouter(WatchableTable &table,
              LeaderDirectory &directory,
              OperatorSync &operators,
              ControlCaller &caller,
              StallWatch::Options stalls = {});

    /// Notices when this process has stood still. Runs until the process ends.
    boost::asio::awaitable<void> watchStalls();

    boost::asio::awaitable<SubmitOutcome> submit(Scheduling::JobSpec job, TimePoint deadline);
    /// Cancels a job of a queue. JobUnknown is a promise: a submission of the job that was sent before and arrives
    /// later does not run, for at least two minutes.
    boost::asio::awaitable<CancelOutcome> cancel(std::string id, std::string queue, TimePoint deadline);
    boost::asio::awaitable<QueryOutcome> query(std::string id, TimePoint deadline);

    /// Number of accepted jobs of a queue that have not started; nullopt when no leader answers before the deadline, or
    /// it has not read the inbox for seconds and this entry cannot read it either.
    boost::asio::awaitable<CountOutcome> countPending(std::string queue, TimePoint deadline);

    /// True while submissions can be accepted.
    [[nodiscard]] bool isUsable() const;

private:
    enum class InboxOutcome { Written, Refused, Unknown };

    boost::asio::awaitable<InboxOutcome> writeInbox(std::string key, std::string value);
    /// Writes a cancellation into the inbox. Written means that the row is there and names this queue.
    boost::asio::awaitable<InboxOutcome> writeCancellation(std::string id, std::string queue);
    /// Cancels a job by a row of the inbox; empty when that is not possible now.
    boost::asio::awaitable<std::optional<CancelOutcome>> cancelInInbox(std::string id, std::string queue);
    /// Counts a cancellation of an unknown job that goes into the inbox; false when there are too many of them.
    bool admitTombstone(const std::string &id);
    boost::asio::awaitable<QueryOutcome> readPhase(std::string id);
    /// Of the configuration by which requests are routed; 0 when there is none.
    [[nodiscard]] std::uint64_t configurationVersion() const;

    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    OperatorSync &m_operators;
    ControlCaller &m_caller;
    StallWatch m_stalls;

    struct PendingCount {
        std::uint32_t count = 0;
        TimePoint readAt;
    };

    std::mutex m_mutex;
    std::map<std::string, PendingCount> m_pending;
    /// When this entry last put the cancellations of unknown jobs into the inbox.
    std::map<std::string, TimePoint> m_inboxTombstones;
};

} // namespace Carobflow
