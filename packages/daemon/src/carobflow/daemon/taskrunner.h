#pragma once

#include "carobflow/core/tasksupervisor.h"
#include "carobflow/daemon/clusterview.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class ChannelPool;
class Metrics;
class Notifier;
class TableService;
class WorkerRuntime;

/// Drives a TaskSupervisor: lists and calls the worker, and reports to the leader of the host's shard. All functions
/// run on its strand.
class TaskRunner
{
public:
    struct Options {
        TaskSupervisor::Options supervisor;
        ShardId shard = 0;
        /// Time between two list calls to the worker.
        Milliseconds listInterval{250};
        /// Time limit for one Sync call; longer than the leader holds the call.
        Milliseconds syncTimeout{3000};
        Milliseconds windowLength{1000};
    };

    struct Callbacks {
        /// The leader's address, or none while it is not known.
        std::function<boost::asio::awaitable<std::optional<ShardLeaderRow>>()> leader;
        std::function<boost::asio::awaitable<std::vector<ServiceWindow>>(std::vector<std::string>)> windows;
        std::function<void(SheetVersion)> recordRemoteVersion;
    };

    TaskRunner(const boost::asio::any_io_executor &executor,
               Options options,
               Callbacks callbacks,
               WorkerRuntime &worker,
               TableService &table,
               ChannelPool &channels,
               Metrics &metrics);
    ~TaskRunner();

    [[nodiscard]] const boost::asio::any_io_executor &strand() const;

    /// Starts the loops.
    void start();

    void onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreIn);

    /// Takes no new tasks; the leader moves the running ones to other hosts.
    void setLeaving();

    /// True when no task runs on this host and the leader has acknowledged the end of each.
    [[nodiscard]] bool isSettled() const;

    /// True when the leader has answered within the given time. Safe to call from any thread.
    [[nodiscard]] bool hasLeaderContact(TimePoint now, Milliseconds within) const;

private:
    boost::asio::awaitable<void> listLoop();
    boost::asio::awaitable<void> actionLoop();
    boost::asio::awaitable<void> syncLoop();
    boost::asio::awaitable<void> readMinimumEpoch();
    boost::asio::awaitable<bool> syncOnce(const ShardLeaderRow &leader);
    boost::asio::awaitable<void> executeAction(WorkerAction action);
    std::vector<std::string> takeClassesSinceWindowStart();

    boost::asio::any_io_executor m_strand;
    Options m_options;
    Callbacks m_callbacks;
    WorkerRuntime &m_worker;
    TableService &m_table;
    ChannelPool &m_channels;
    Metrics &m_metrics;
    TaskSupervisor m_supervisor;
    std::unique_ptr<Notifier> m_changed;
    bool m_workerListed = false;
    TimePoint m_windowStart;
    /// The tasks that ran when the current window began.
    std::map<TaskRef, std::string> m_windowTasks;
    std::atomic<TimePoint::rep> m_lastContact{0};
};

} // namespace Carobflow
