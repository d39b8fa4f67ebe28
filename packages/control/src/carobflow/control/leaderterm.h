#pragma once

#include "carobflow/control/controlcaller.h"
#include "carobflow/control/leaderdirectory.h"
#include "carobflow/control/ledger.h"
#include "carobflow/control/operatorsync.h"
#include "carobflow/control/progressrows.h"
#include "carobflow/control/roundpace.h"
#include "carobflow/control/storedtombstones.h"
#include "carobflow/control/transactionbatch.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/logthrottle.h"
#include "carobflow/scheduler/scheduler.h"

#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Carobflow
{

/// One term of leadership: loads the state from the store, answers clients, runs the scheduler, writes its changes in
/// group commits, and sends orders once their decision is stored.
///
/// All members but the constructor run on the term's strand.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm>
{
public:
    struct Options {
        std::string name;
        std::string address;
        Scheduling::LeaseTimes leaseTimes;
        Scheduling::SchedulingFeatures features = {};
        Scheduling::JobAdmission::Options admission = {};
        /// Counts an event of a task or an upstream for the metrics; may be empty.
        std::function<void(std::string_view event)> countEvent = {};
        /// How long a finished job can be queried.
        Seconds retention{150};
        Scheduling::Tombstones::Options tombstones = {};
    };

    LeaderTerm(const boost::asio::any_io_executor &executor,
               Options options,
               std::unique_ptr<Ledger> ledger,
               WatchableTable &table,
               LeaderDirectory &directory,
               OperatorSync &operators,
               ControlCaller &caller);

    [[nodiscard]] const boost::asio::any_io_executor &strand() const
    {
        return m_strand;
    }

    /// Leads until another process takes over or resign() is called.
    boost::asio::awaitable<void> run();

    /// Resigns leadership after the write in progress, so that another process takes over at once.
    void resign();

    [[nodiscard]] bool isOver() const
    {
        return m_over;
    }

    boost::asio::awaitable<carobflow::control::SubmitReply> submit(carobflow::control::SubmitRequest request);
    boost::asio::awaitable<carobflow::control::CancelReply> cancel(carobflow::control::CancelRequest request);
    boost::asio::awaitable<carobflow::control::QueryReply> query(carobflow::control::QueryRequest request);
    carobflow::control::CountPendingReply countPending(const carobflow::control::CountPendingRequest &request) const;
    /// Handles a host's report. The reply to a report that lists ended runs waits briefly for the write that records
    /// them, so that it can acknowledge them; the agent would otherwise report them again.
    boost::asio::awaitable<carobflow::control::ReportReply> report(carobflow::control::ReportRequest request);

private:
    /// A report whose reply waits until the ended runs that it lists are stored.
    struct EndWaiter {
        std::string host;
        Scheduling::UpstreamIdentity upstream;
        std::uint64_t number = 0;
        boost::asio::steady_timer timer;
    };

    struct HostContact {
        std::string address;
        /// The store names this leader as the one that allows leases on the host.
        bool stored = false;
        TimePoint announcedAt;
    };

    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<bool> loadRows(std::string_view prefix, std::vector<Row> &rows);
    /// Renews leadership between two reads of the load and before the first plan, which may take longer than other
    /// candidates wait for a renewal. Returns false when another process leads.
    boost::asio::awaitable<bool> renewIfDue();
    /// Waits until the state is loaded or the limit has passed.
    boost::asio::awaitable<void> waitUntilLoaded(Milliseconds limit);
    boost::asio::awaitable<void> lead();
    /// Takes over the newest configuration. A turn of the leader may last seconds, so decisions after a wait need it.
    void adoptView();
    /// True when this process knows a newer configuration than the caller, and the queue is not in it.
    [[nodiscard]] bool isRemovedQueue(std::string_view queue, std::uint64_t callerVersion) const;
    boost::asio::awaitable<bool> commitChanges();
    boost::asio::awaitable<void> watchInbox();
    void processInboxRows(std::span<const Row> rows);
    /// Notes that the inbox has been processed up to m_inboxVersion by a call that began at `readAt`.
    void noteInboxRead(TimePoint readAt);
    boost::asio::awaitable<void> waitForCommit(std::string job);
    /// Takes a submitted job. One that was cancelled before it arrived is taken as cancelled, so that it is shown so.
    Scheduling::Scheduler::Submission takeJob(Scheduling::JobSpec spec,
                                              TimePoint submittedAt,
                                              std::optional<Scheduling::Queue> lastKnownQueue = std::nullopt);
    /// Remembers the cancellation of a job that is not known, and waits until it is stored.
    boost::asio::awaitable<void> rememberCancellation(const carobflow::control::CancelRequest &request,
                                                      carobflow::control::CancelReply &reply);
    /// Returns false when the row has no further use.
    bool processInboxCancellation(const Row &row, const std::string &job);
    void processReport(const Scheduling::HostReport &report, TimePoint now);
    /// Waits until the ended runs that a report lists are stored or a time limit has passed.
    boost::asio::awaitable<void> waitForEnds(const Scheduling::HostReport &report);
    [[nodiscard]] bool isAcknowledged(const EndWaiter &waiter) const;
    void wakeEndWaiters();
    void processInboxRow(const Row &row);
    /// These functions fill a write up to its limits, in this order: other candidates wait for renewals, and a
    /// successor needs the address of each host on which a job's tasks are placed.
    void addLeadership(TransactionBatch &batch, TimePoint now);
    /// Adds hosts that have reported for the first time, and when the leases of silent hosts and of hosts whose
    /// upstreams have restarted expire. Returns the first.
    std::vector<std::string> addHosts(TransactionBatch &batch);
    /// Returns the jobs whose changes are part of the write.
    std::vector<std::string> addJobs(TransactionBatch &batch);
    void addDeletions(TransactionBatch &batch);
    [[nodiscard]] std::vector<Mutation> mutationsOf(const Scheduling::Job &job);
    ProgressRows &progressRowsOf(const Scheduling::Job &job);
    /// Notes how many checkpoints of a job have no room in its rows.
    void noteOmittedCheckpoints(const std::string &job, std::size_t count);
    /// Removes the rows of a job, that of the job itself first.
    void deleteRows(const Scheduling::Job &job);
    /// Adds the known interference effects between the images that run on the agent's host.
    void addEffects(const Scheduling::HostReport &report, carobflow::control::ReportReply &reply) const;
    void sendOrders();
    boost::asio::awaitable<void> deliver(std::string host, carobflow::control::ExecuteRequest request);
    void announceLeadership(TimePoint now);
    void publishPeers();
    void sweep(TimePoint now);
    /// Writes one line a second while tasks wait for resources or for the leases of silent hosts.
    void logWaitingTasks(TimePoint now);
    /// True when no earlier attempt has stored the job, so that it never runs if it is rejected now. A store that does
    /// not answer makes it uncertain.
    boost::asio::awaitable<bool> isCertainlyUnknown(std::string id);
    /// Logs and counts the rejection of a job that could not end while it is useful, and fills in the reply.
    void rejectOverloaded(const std::string &id,
                          const Scheduling::JobAdmission::Decision &decision,
                          carobflow::control::SubmitReply &reply) const;
    /// Writes one line a second while jobs are rejected or predictions can be compared with ends.
    void logAdmission(TimePoint now);
    void checkContact(TimePoint now);
    void wakeWaiters();
    /// How long leases may last from an answered report on; 0 while the upstream is silent, while the store has not
    /// confirmed this leader for too long, and while it does not name this leader as the one that grants leases there.
    [[nodiscard]] Milliseconds leaseFor(const Scheduling::HostReport &report, TimePoint now) const;
    /// Time by which every lease has expired that former leaders granted to a host.
    [[nodiscard]] TimePoint leasesExpireBy(const carobflow::control::KnownHost &host, TimePoint now) const;
    /// Time by which the leases have expired that calls for former incarnations may have given the host's upstream.
    [[nodiscard]] TimePoint formerLeasesExpireBy(const carobflow::control::KnownHost &host, TimePoint now) const;
    /// The row of a host that has reported to this leader.
    [[nodiscard]] Mutation hostRow(const std::string &name) const;
    /// Adds the hosts of former leaders. Called before restoreJobs(), which places runs on them.
    void restoreHosts(std::span<const Row> rows, TimePoint now);
    void restoreJobs(std::span<const Row> jobs, std::span<const Row> progress, TimePoint now);
    /// Waits until the store names this leader for the host or a time limit has passed.
    boost::asio::awaitable<void> waitUntilStored(std::string host);
    /// True while a write has waited for the store for so long that new jobs are rejected.
    [[nodiscard]] bool isStoreUnavailable(TimePoint now) const;

    boost::asio::any_io_executor m_strand;
    Options m_options;
    std::unique_ptr<Ledger> m_ledger;
    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    OperatorSync &m_operators;
    ControlCaller &m_caller;
    Scheduling::Scheduler m_scheduler;
    StoredTombstones m_tombstones;
    std::shared_ptr<const Scheduling::OperatorView> m_view;
    Notifier m_wake;
    RoundPace m_pace{RoundPace::Options{}};
    bool m_changed = true;
    bool m_loaded = false;
    bool m_resigning = false;
    /// It resigns because it hears too few hosts.
    bool m_lostContact = false;
    std::atomic<bool> m_over{false};
    TimePoint m_startedAt;
    TimePoint m_renewedAt;
    /// When the write in progress began.
    std::optional<TimePoint> m_writingSince;
    TimePoint m_sweptAt;
    TimePoint m_waitLoggedAt;
    TimePoint m_admissionLoggedAt;
    LogThrottle m_refusedCancellations;
    TimePoint m_hostsCheckedAt;
    /// When at least half of the hosts were last in contact.
    TimePoint m_contactAt;
    /// Accepted jobs that are not run, because a row of theirs is missing or unreadable.
    std::set<std::string> m_heldJobs;
    /// Accept times, in Unix milliseconds, of jobs whose rows are not stored yet.
    std::map<std::string, std::int64_t, std::less<>> m_unstoredAcceptTimes;
    /// The last commit round that stored each job. A change is stored by the first round that begins after it; a round
    /// in progress does not cover it.
    std::map<std::string, std::uint64_t, std::less<>> m_committedRound;
    std::uint64_t m_commitRound = 0;
    /// Keys of inbox rows that are removed with the next write of their job.
    std::map<std::string, std::set<std::string>> m_inboxKeys;
    /// Table version up to which the inbox has been read; 0 when it has to be read as a whole.
    std::uint64_t m_inboxVersion = 0;
    /// Table version up to which the scheduler knows the jobs of the inbox, and the time as of which it knows all of
    /// them: when the call began whose reply was processed last.
    std::uint64_t m_inboxKnownVersion = 0;
    TimePoint m_inboxKnownAt;
    /// Keys of inbox rows that were processed and are not removed yet.
    std::set<std::string> m_processedInboxKeys;
    std::map<std::string, ProgressRows, std::less<>> m_progressRows;
    /// Jobs of which checkpoints have been left out of the store.
    std::set<std::string, std::less<>> m_omittedCheckpoints;
    /// Hosts whose addresses are not stored yet.
    std::deque<std::string> m_newHosts;
    /// Hosts of which the store does not say yet that they are silent.
    std::deque<std::string> m_silentHosts;
    /// Hosts of which the store does not say yet that their upstreams have restarted.
    std::deque<std::string> m_restartedHosts;
    /// Keys of rows to remove.
    std::deque<std::string> m_deletions;
    std::map<std::string, TimePoint> m_finishedSince;
    std::map<std::string, HostContact> m_contacts;
    std::list<std::shared_ptr<boost::asio::steady_timer>> m_waiters;
    std::list<EndWaiter> m_endWaiters;
};

} // namespace Carobflow
