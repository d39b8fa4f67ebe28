#pragma once

#include "carobflow/control/controlcaller.h"
#include "carobflow/control/leaderdirectory.h"
#include "carobflow/control/ledger.h"
#include "carobflow/control/operatorsync.h"
#include "carobflow/control/transactionbatch.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/scheduler/scheduler.h"

#include <atomic>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Carobflow
{

/// One term of leadership: loads the state from the store, answers clients, drives the scheduler, writes its changes in
/// group commits, and sends orders whose decision is in the store.
///
/// All members but the constructor run on the term's strand.
class LeaderTerm : public std::enable_shared_from_this<LeaderTerm>
{
public:
    struct Options {
        std::string name;
        std::string address;
        Milliseconds maxLease{6000};
        /// How long the state of a finished job can be asked for.
        Seconds retention{150};
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

    /// Leads until another process does or resign() is called.
    boost::asio::awaitable<void> run();

    /// Gives leadership up after the write in progress, so that another process takes over at once.
    void resign();

    [[nodiscard]] bool isOver() const
    {
        return m_over;
    }

    boost::asio::awaitable<carobflow::control::SubmitReply> submit(carobflow::control::SubmitRequest request);
    boost::asio::awaitable<carobflow::control::CancelReply> cancel(carobflow::control::CancelRequest request);
    boost::asio::awaitable<carobflow::control::QueryReply> query(carobflow::control::QueryRequest request);
    carobflow::control::CountPendingReply countPending(const carobflow::control::CountPendingRequest &request) const;
    /// Takes a host's report. The reply to one that lists ends waits a while for the write that records them, so that
    /// it can acknowledge them: the agent would otherwise report them again.
    boost::asio::awaitable<carobflow::control::ReportReply> report(carobflow::control::ReportRequest request);

private:
    /// A report whose reply waits until the ends that it lists are in the store.
    struct EndWaiter {
        std::string host;
        Scheduling::UpstreamIdentity upstream;
        std::uint64_t number = 0;
        boost::asio::steady_timer timer;
    };

    struct HostContact {
        std::string address;
        bool stored = false;
        TimePoint greetedAt;
    };

    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<bool> loadRows(std::string_view prefix, std::vector<Row> &rows);
    /// Renews the lead between two reads of the load, which may take longer than others wait for a renewal.
    boost::asio::awaitable<bool> renewWhileLoading();
    /// Lets a call wait for the load, but not for long.
    boost::asio::awaitable<void> waitUntilLoaded(Milliseconds limit);
    boost::asio::awaitable<void> lead();
    boost::asio::awaitable<bool> commitChanges();
    boost::asio::awaitable<void> followInbox();
    void takeInboxRows(std::span<const Row> rows);
    boost::asio::awaitable<void> waitForCommit(std::string job);
    void takeReport(const Scheduling::HostReport &report, TimePoint now);
    /// Waits until the ends that a report lists are in the store, but not for long.
    boost::asio::awaitable<void> waitForEnds(Scheduling::HostReport report);
    [[nodiscard]] bool isAcknowledged(const EndWaiter &waiter) const;
    void wakeEndWaiters();
    void takeInboxRow(const Row &row);
    /// Fill a write with as much as it holds, in this order: a successor waits for renewals, and needs the address of a
    /// host on which a job's tasks are placed.
    void addLeadership(TransactionBatch &batch, TimePoint now);
    void addHosts(TransactionBatch &batch);
    /// Returns the jobs whose changes the write holds.
    std::vector<std::string> addJobs(TransactionBatch &batch);
    void addDeletions(TransactionBatch &batch);
    [[nodiscard]] std::vector<Mutation> mutationsOf(const Scheduling::Job &job) const;
    /// Tells the agent what is known of the effects between the images that run on its host.
    void addEffects(const Scheduling::HostReport &report, carobflow::control::ReportReply &reply) const;
    void sendOrders();
    boost::asio::awaitable<void> deliver(std::string host, carobflow::control::ExecuteRequest request);
    void greetHosts(TimePoint now);
    void publishPeers();
    void sweep(TimePoint now);
    void checkContact(TimePoint now);
    void wakeWaiters();
    [[nodiscard]] bool isConfirmed(TimePoint now) const;
    /// True while a write has waited for the store for so long that new jobs are better rejected.
    [[nodiscard]] bool isStoreAway(TimePoint now) const;

    boost::asio::any_io_executor m_strand;
    Options m_options;
    std::unique_ptr<Ledger> m_ledger;
    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    OperatorSync &m_operators;
    ControlCaller &m_caller;
    Scheduling::Scheduler m_scheduler;
    std::shared_ptr<const Scheduling::OperatorView> m_view;
    Notifier m_wake;
    bool m_changed = true;
    bool m_loaded = false;
    bool m_resigning = false;
    std::atomic<bool> m_over{false};
    TimePoint m_startedAt;
    TimePoint m_renewedAt;
    /// When the write in progress began.
    std::optional<TimePoint> m_writingSince;
    TimePoint m_sweptAt;
    TimePoint m_greetedAt;
    TimePoint m_contactAt;
    /// Accept times, until the job's row is in the store.
    std::map<std::string, std::int64_t, std::less<>> m_unstored;
    /// Jobs that changed since their last commit began; commits in progress do not cover them.
    std::map<std::string, std::uint64_t, std::less<>> m_committedRound;
    std::uint64_t m_round = 0;
    std::map<std::string, std::set<std::string>> m_inboxKeys;
    /// How far the inbox has been read; 0 when it has to be read as a whole.
    std::uint64_t m_inboxVersion = 0;
    /// Rows of the inbox that were taken and are not removed yet.
    std::set<std::string> m_inboxSeen;
    /// Hosts whose addresses the store does not have yet.
    std::deque<std::string> m_newHosts;
    /// Rows to remove.
    std::deque<std::string> m_deletions;
    std::map<std::string, TimePoint> m_overSince;
    std::map<std::string, HostContact> m_contacts;
    std::list<std::shared_ptr<boost::asio::steady_timer>> m_waiters;
    std::list<EndWaiter> m_endWaiters;
};

} // namespace Carobflow
