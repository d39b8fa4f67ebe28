#pragma once

#include "carobflow/core/shardleader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class Metrics;
class Notifier;
class ObjectStore;
class TableService;

/// Drives a ShardLeader: runs its store operations and answers the calls of agents and entries. All functions
/// run on its strand.
class ShardRunner
{
public:
    struct Options {
        ShardLeader::Options leader;
        /// How long a Sync waits for orders.
        Milliseconds syncHold{1000};
        /// True while this agent is in contact with the shard's leader: candidates then do not access the store.
        std::function<bool(TimePoint)> hasLeaderContact;
    };

    ShardRunner(const boost::asio::any_io_executor &executor,
                Options options,
                TableService &table,
                ObjectStore &objects,
                Metrics &metrics);
    ~ShardRunner();

    [[nodiscard]] const boost::asio::any_io_executor &strand() const;

    /// Runs store operations until the process ends.
    boost::asio::awaitable<void> run();

    void setSheet(SheetVersion version, std::uint64_t rowVersion, std::shared_ptr<const Sheet> sheet);

    boost::asio::awaitable<HostOrders> sync(HostReport report);
    boost::asio::awaitable<JobReply> submit(JobSpec spec);
    boost::asio::awaitable<JobReply> cancel(std::string job);

    [[nodiscard]] const ShardLeader &leader() const;

    /// Releases the leadership and waits at most the given time for its commit.
    boost::asio::awaitable<void> release(Milliseconds limit);

private:
    struct PendingCall;

    boost::asio::awaitable<void> executeOperation(StoreOperation operation);
    boost::asio::awaitable<JobReply> waitForReply(std::uint64_t ticket);
    void notifyWaiters();

    boost::asio::any_io_executor m_strand;
    Options m_options;
    TableService &m_table;
    ObjectStore &m_objects;
    Metrics &m_metrics;
    ShardLeader m_leader;
    std::unique_ptr<Notifier> m_wakeup;
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> m_pendingCalls;
    std::map<std::string, std::shared_ptr<Notifier>> m_syncNotifiers;
    bool m_wasLeading = false;
    bool m_releasing = false;
};

} // namespace Carobflow
