#include "carobflow/daemon/shardrunner.h"

#include "carobflow/connectors/objectstore.h"
#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/logging/log.h"

#include <array>

#include <boost/asio/strand.hpp>

namespace Carobflow
{
namespace
{

constexpr Milliseconds ReplyTimeout{2500};
constexpr Milliseconds IdleCheckInterval{200};

} // namespace

struct ShardRunner::PendingCall {
    explicit PendingCall(const boost::asio::any_io_executor &strand)
        : changed(strand)
    {
    }

    Notifier changed;
    std::optional<JobReply> reply;
};

ShardRunner::ShardRunner(const boost::asio::any_io_executor &executor,
                         Options options,
                         TableService &table,
                         ObjectStore &objects,
                         Metrics &metrics)
    : m_strand(boost::asio::make_strand(executor))
    , m_options(std::move(options))
    , m_table(table)
    , m_objects(objects)
    , m_metrics(metrics)
    , m_leader(m_options.leader)
    , m_wakeup(std::make_unique<Notifier>(m_strand))
{
}

ShardRunner::~ShardRunner() = default;

const boost::asio::any_io_executor &ShardRunner::strand() const
{
    return m_strand;
}

boost::asio::awaitable<void> ShardRunner::run()
{
    for (;;) {
        const TimePoint now = std::chrono::steady_clock::now();
        const bool leading = m_leader.isLeading(now);
        if (leading != m_wasLeading) {
            m_wasLeading = leading;
            m_metrics.setLeading(m_options.leader.shard, leading);
            logInfo(leading ? "leadership-taken" : "leadership-lost")
                .with("shard", m_options.leader.shard)
                .with("epoch", m_leader.epoch());
        }
        // A process in contact with the leader in another process does not read the store, so that the number of reads
        // grows with the shards and not with the hosts.
        // The leader that releases the shard is in contact with itself and has the release to commit.
        if (!leading && !m_releasing && m_options.hasLeaderContact(now)) {
            co_await m_wakeup->waitUntil(now + IdleCheckInterval);
            continue;
        }
        auto operation = m_leader.nextOperation(now, unixSeconds());
        if (operation) {
            co_await executeOperation(std::move(*operation));
        } else {
            co_await m_wakeup->waitUntil(std::min(m_leader.nextWakeup(now), now + IdleCheckInterval));
        }
        notifyWaiters();
    }
}

boost::asio::awaitable<void> ShardRunner::executeOperation(StoreOperation operation)
{
    const auto now = [] { return std::chrono::steady_clock::now(); };
    if (const auto *read = std::get_if<ReadRowOperation>(&operation)) {
        const std::array keys{read->key};
        const auto rows = co_await m_table.read(keys);
        m_metrics.countStoreOperation("read", isOk(rows) ? "ok" : "failed");
        m_leader.onRows(now(), rows);
    } else if (const auto *range = std::get_if<ReadRangeOperation>(&operation)) {
        const auto rows = co_await m_table.readRange(range->prefix, range->after, range->limit);
        m_metrics.countStoreOperation("read-range", isOk(rows) ? "ok" : "failed");
        m_leader.onRows(now(), rows);
    } else if (const auto *transact = std::get_if<TransactOperation>(&operation)) {
        const auto outcome = co_await m_table.transact(transact->transaction);
        constexpr std::array<std::string_view, 4> names{"committed", "conflict", "unavailable", "reply-lost"};
        m_metrics.countStoreOperation("transact", names.at(outcome.index()));
        m_leader.onTransact(now(), outcome);
    } else if (const auto *get = std::get_if<ReadObjectOperation>(&operation)) {
        const auto bytes = co_await m_objects.get(get->key);
        m_metrics.countStoreOperation("object-get", isOk(bytes) ? "ok" : "failed");
        m_leader.onObjectRead(now(), bytes);
    } else {
        const auto &put = std::get<WriteObjectOperation>(operation);
        const auto status = co_await m_objects.put(put.key, put.bytes);
        m_metrics.countStoreOperation("object-put", isOk(status) ? "ok" : "failed");
        m_leader.onObjectWritten(now(), status);
    }
}

void ShardRunner::notifyWaiters()
{
    for (JobReply &reply : m_leader.takeReplies()) {
        const auto found = m_pendingCalls.find(reply.ticket);
        if (found != m_pendingCalls.end()) {
            found->second->reply = std::move(reply);
            found->second->changed.notify();
        }
    }
    for (const auto &[host, notifier] : m_syncNotifiers) {
        notifier->notify();
    }
}

void ShardRunner::setSheet(SheetVersion version, std::uint64_t rowVersion, std::shared_ptr<const Sheet> sheet)
{
    m_leader.setSheet(std::chrono::steady_clock::now(), version, rowVersion, std::move(sheet));
    m_wakeup->notify();
}

boost::asio::awaitable<HostOrders> ShardRunner::sync(HostReport report)
{
    const std::string host = report.host.name;
    const TimePoint arrivedAt = std::chrono::steady_clock::now();
    m_leader.onReport(arrivedAt, report);
    m_wakeup->notify();
    auto notifier = std::make_shared<Notifier>(m_strand);
    if (auto &current = m_syncNotifiers[host]; current) {
        // A newer call of the same host replaces the older one.
        current->notify();
        current = notifier;
    } else {
        current = notifier;
    }
    HostOrders orders;
    for (;;) {
        // Orders that a replaced call took would be lost, because the agent no longer waits for its reply.
        if (m_syncNotifiers[host] != notifier) {
            break;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        orders = m_leader.ordersFor(now, host);
        if (!orders.leading || !orders.isIdle() || now - arrivedAt >= m_options.syncHold) {
            break;
        }
        co_await notifier->waitUntil(arrivedAt + m_options.syncHold);
    }
    if (const auto found = m_syncNotifiers.find(host); found != m_syncNotifiers.end() && found->second == notifier) {
        m_syncNotifiers.erase(found);
    }
    co_return orders;
}

boost::asio::awaitable<JobReply> ShardRunner::submit(JobSpec spec)
{
    const std::uint64_t ticket = m_leader.submit(std::chrono::steady_clock::now(), std::move(spec));
    co_return co_await waitForReply(ticket);
}

boost::asio::awaitable<JobReply> ShardRunner::cancel(std::string job)
{
    const std::uint64_t ticket = m_leader.cancel(std::chrono::steady_clock::now(), job);
    co_return co_await waitForReply(ticket);
}

boost::asio::awaitable<JobReply> ShardRunner::waitForReply(std::uint64_t ticket)
{
    auto pending = std::make_shared<PendingCall>(m_strand);
    m_pendingCalls.emplace(ticket, pending);
    m_wakeup->notify();
    notifyWaiters();
    const TimePoint deadline = std::chrono::steady_clock::now() + ReplyTimeout;
    while (!pending->reply && std::chrono::steady_clock::now() < deadline) {
        co_await pending->changed.waitUntil(deadline);
    }
    m_pendingCalls.erase(ticket);
    co_return pending->reply.value_or(JobReply{.ticket = ticket,
                                               .outcome = JobReply::Outcome::Unknown,
                                               .message = "the commit was not decided in time; repeat the call"});
}

const ShardLeader &ShardRunner::leader() const
{
    return m_leader;
}

boost::asio::awaitable<void> ShardRunner::release(Milliseconds limit)
{
    m_releasing = true;
    m_leader.release(std::chrono::steady_clock::now());
    m_wakeup->notify();
    for (Milliseconds waited{0}; !m_leader.isReleased() && waited < limit; waited += Milliseconds(20)) {
        co_await sleepFor(Milliseconds(20));
    }
}

} // namespace Carobflow
