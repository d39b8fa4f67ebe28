#include "carobflow/control/operatorsync.h"

#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

namespace
{

constexpr Milliseconds StoreRetryDelay{150};
/// Long-poll time of a call for changes, plus the time-out of its connection and one retry.
constexpr Milliseconds StoreFreshnessLimit{1800};
constexpr Milliseconds PeerInterval{300};
constexpr Milliseconds PeerTimeout{400};
/// While the store answers, peers are polled only to refresh the list of peers.
constexpr int IntervalsPerPeerRefresh = 10;
/// Peers that are asked at once. The store may refuse half of the processes; three peers know nothing newer than the
/// caller in one of eight intervals then.
constexpr std::size_t PeersPerInterval = 3;

/// Identifies a set of rows: versions grow with each write, and a removal lowers the number of rows.
std::pair<std::uint64_t, std::uint32_t> stateOf(const std::map<std::string, Row> &rows)
{
    std::uint64_t newest = 0;
    for (const auto &[key, row] : rows) {
        newest = std::max(newest, row.version);
    }
    return {newest, static_cast<std::uint32_t>(rows.size())};
}

} // namespace

OperatorSync::OperatorSync(Options options, WatchableTable &table, LeaderDirectory &directory, ControlCaller &caller)
    : m_options(std::move(options))
    , m_table(table)
    , m_directory(directory)
    , m_caller(caller)
{
}

bool OperatorSync::isStoreFresh() const
{
    const TimePoint answeredAt{Duration(m_storeAnsweredAt.load())};
    return suspendAwareNow() - answeredAt < StoreFreshnessLimit;
}

bool OperatorSync::isConfirmed() const
{
    return age() < StoreFreshnessLimit;
}

Milliseconds OperatorSync::age() const
{
    const TimePoint confirmedAt{Duration(m_confirmedAt.load())};
    return std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - confirmedAt);
}

void OperatorSync::confirm(TimePoint sentAt)
{
    const TimePoint::rep sent = sentAt.time_since_epoch().count();
    TimePoint::rep known = m_confirmedAt.load();
    while (known < sent && !m_confirmedAt.compare_exchange_weak(known, sent)) {
    }
}

void OperatorSync::replace(std::map<std::string, Row> rows, std::uint64_t version, std::string_view source)
{
    const std::lock_guard lock(m_mutex);
    if (version <= m_version) {
        return;
    }
    m_version = version;
    if (rows.size() == m_rows.size() && std::ranges::equal(rows, m_rows, [](const auto &left, const auto &right) {
            return left.first == right.first && left.second.version == right.second.version;
        })) {
        return;
    }
    m_rows = std::move(rows);
    const auto view = m_options.decode(m_rows);
    if (!view) {
        logWarning("operator-rows-without-configuration").with("version", version).with("source", source);
        return;
    }
    const auto before = m_current.load();
    if (before && view->configurationVersion < before->configurationVersion) {
        logError("configuration-older-than-known")
            .with("version", view->configurationVersion)
            .with("known", before->configurationVersion)
            .with("source", source);
        return;
    }
    logInfo("operator-view")
        .with("configuration", view->configurationVersion)
        .with("row_version", version)
        .with("queues", view->queues.size())
        .with("evacuated", view->evacuated.size())
        .with("source", source)
        .with("age_before_ms", age().count());
    m_current.store(view);
}

asio::awaitable<void> OperatorSync::watchStore()
{
    bool reachable = true;
    for (;;) {
        const TimePoint sentAt = suspendAwareNow();
        const Status watched = co_await watchOnce();
        const bool answered = isOk(watched);
        m_storeAnswers = answered;
        if (answered) {
            m_storeAnsweredAt = suspendAwareNow().time_since_epoch().count();
            confirm(sentAt);
        }
        if (answered != reachable) {
            logInfo(answered ? "store-regained" : "store-lost")
                .with("part", "operators")
                .with("reason", answered ? std::string() : errorOf(watched).message)
                .with("took_ms", std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - sentAt).count())
                .with("configuration_age_ms", age().count());
            reachable = answered;
        }
        if (!answered) {
            co_await sleepFor(StoreRetryDelay);
        }
    }
}

asio::awaitable<Status> OperatorSync::watchOnce()
{
    std::uint64_t version = 0;
    std::map<std::string, Row> rows;
    {
        const std::lock_guard lock(m_mutex);
        version = m_version;
        rows = m_rows;
    }
    if (version > 0) {
        const TimePoint sentAt = suspendAwareNow();
        const ChangesOutcome outcome = co_await m_table.changes(StoreLayout::OperatorPrefix, version, m_options.wait);
        if (const auto *changes = std::get_if<TableChanges>(&outcome)) {
            for (const TableChange &change : changes->changes) {
                if (change.value) {
                    rows[change.key] = {.key = change.key, .value = *change.value, .version = change.version};
                } else {
                    rows.erase(change.key);
                }
            }
            // A reply without rows does not move the position. A change that it left out is then still delivered, or
            // found by a new snapshot when the history is gone.
            if (!changes->changes.empty()) {
                replace(std::move(rows), changes->version, "store");
            } else {
                // The store has waited for changes before it replied.
                confirm(std::min(suspendAwareNow(), sentAt + m_options.wait));
            }
            co_return std::monostate{};
        }
        if (const auto *failure = std::get_if<Error>(&outcome)) {
            co_return *failure;
        }
        logInfo("operator-history-gone").with("after", version);
    }
    const auto snapshot = co_await m_table.snapshot(StoreLayout::OperatorPrefix);
    if (!isOk(snapshot)) {
        co_return errorOf(snapshot);
    }
    rows.clear();
    for (const Row &row : valueOf(snapshot).rows) {
        rows[row.key] = row;
    }
    replace(std::move(rows), valueOf(snapshot).version, "store");
    co_return std::monostate{};
}

asio::awaitable<void> OperatorSync::pollPeers()
{
    // Processes that are refused together would otherwise all ask the same peers.
    std::size_t next = randomNumber();
    for (int interval = 0;; ++interval) {
        co_await sleepFor(PeerInterval);
        const bool needsPeers = !m_storeAnswers || !isStoreFresh();
        if (!needsPeers && interval % IntervalsPerPeerRefresh != 0) {
            continue;
        }
        const auto executor = co_await asio::this_coro::executor;
        const auto peers = m_directory.peers();
        for (std::size_t asked = 0; needsPeers && asked < std::min(PeersPerInterval, peers.size()); ++asked) {
            asio::co_spawn(executor, exchangeWith(peers[next++ % peers.size()]), asio::detached);
        }
        const std::string leader = m_directory.current().address;
        if (!leader.empty()) {
            asio::co_spawn(executor, exchangeWith(leader), asio::detached);
        }
    }
}

asio::awaitable<void> OperatorSync::exchangeWith(std::string address)
{
    wire::ExchangeRequest request;
    {
        const std::lock_guard lock(m_mutex);
        request.set_operator_version(m_version);
    }
    *request.mutable_leader() = m_directory.hint();
    const TimePoint sentAt = suspendAwareNow();
    const auto answer = co_await m_caller.exchange(address, std::move(request), PeerTimeout);
    if (!answer) {
        co_return;
    }
    const wire::ExchangeReply &reply = *answer;
    m_directory.learn(reply.leader());
    if (reply.peers_size() > 0) {
        m_directory.setPeers({reply.peers().begin(), reply.peers().end()});
    }
    if (reply.operator_version() > 0) {
        std::map<std::string, Row> rows;
        for (const wire::OperatorRow &row : reply.rows()) {
            rows[row.key()] = {.key = row.key(), .value = row.value(), .version = row.version()};
        }
        replace(std::move(rows), reply.operator_version(), address);
    }
    confirmFrom(reply, sentAt);
}

void OperatorSync::confirmFrom(const wire::ExchangeReply &reply, TimePoint sentAt)
{
    const std::lock_guard lock(m_mutex);
    if (reply.row_count() > 0 && stateOf(m_rows) == std::pair(reply.newest_row_version(), reply.row_count())) {
        confirm(sentAt - Milliseconds(std::max<std::int64_t>(reply.age_ms(), 0)));
    }
}

wire::ExchangeReply OperatorSync::answer(const wire::ExchangeRequest &request) const
{
    wire::ExchangeReply reply;
    *reply.mutable_leader() = m_directory.hint();
    const std::lock_guard lock(m_mutex);
    const auto [newest, count] = stateOf(m_rows);
    reply.set_newest_row_version(newest);
    reply.set_row_count(count);
    reply.set_age_ms(age().count());
    if (m_version > request.operator_version()) {
        reply.set_operator_version(m_version);
        for (const auto &[key, row] : m_rows) {
            wire::OperatorRow &entry = *reply.add_rows();
            entry.set_key(key);
            entry.set_value(row.value);
            entry.set_version(row.version);
        }
    }
    return reply;
}

} // namespace Carobflow
