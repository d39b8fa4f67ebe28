#include "carobflow/daemon/clusterview.h"

#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"

#include <algorithm>
#include <charconv>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow
{
namespace
{

constexpr std::string_view EntryPrefix = "entry/";
constexpr std::string_view ShardPrefix = "shard/";
constexpr std::string_view DrainPrefix = "drain/";
constexpr std::size_t RangeLimit = 2000;

boost::json::object parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse(text, error);
    return error || !value.is_object() ? boost::json::object() : std::move(value.as_object());
}

std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

} // namespace

std::optional<ShardLeaderRow> parseShardRow(std::string_view key, std::string_view value)
{
    ShardLeaderRow row;
    const std::string_view digits = key.substr(std::min(key.size(), ShardPrefix.size()));
    std::from_chars(digits.data(), digits.data() + digits.size(), row.shard);
    const auto object = parseObject(value);
    row.address = textOf(object, "address");
    if (const auto *epoch = object.if_contains("epoch"); epoch != nullptr && epoch->is_number()) {
        row.epoch = boost::json::value_to<std::uint64_t>(*epoch);
    }
    return row.epoch == 0 ? std::nullopt : std::optional(row);
}

ClusterView::ClusterView(Options options, TableService &table, DrainListener listener)
    : m_options(std::move(options))
    , m_table(table)
    , m_drainListener(std::move(listener))
{
}

boost::asio::awaitable<void> ClusterView::run()
{
    for (;;) {
        if (!m_leaving) {
            co_await writeOwnRow();
        }
        co_await readEntries();
        co_await readLeaders();
        co_await readDrains();
        co_await sleepFor(m_options.interval);
    }
}

boost::asio::awaitable<void> ClusterView::writeOwnRow()
{
    // Only this process writes the row, so the write needs no condition and is safe to repeat.
    const boost::json::object row{{"address", m_options.address},
                                  {"counter", ++m_counter},
                                  {"leaving", m_leaving.load()},
                                  {"token", randomToken()}};
    const Transaction transaction{
        .conditions = {}, .mutations = {{std::string(EntryPrefix) + m_options.name, boost::json::serialize(row)}}};
    co_await m_table.transact(transaction);
}

boost::asio::awaitable<void> ClusterView::leave()
{
    m_leaving = true;
    co_await writeOwnRow();
}

boost::asio::awaitable<void> ClusterView::readEntries()
{
    const auto rows = co_await m_table.readRange(EntryPrefix, "", RangeLimit);
    if (!isOk(rows)) {
        co_return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    EntryList list;
    std::string text;
    for (const Row &row : valueOf(rows)) {
        ObservedRow &observed = m_observedRows[row.key];
        if (observed.value != row.value) {
            observed = {.value = row.value, .changedAt = now};
        }
        const auto object = parseObject(row.value);
        const auto *leaving = object.if_contains("leaving");
        const bool hasLeft = leaving != nullptr && leaving->is_bool() && leaving->as_bool();
        if (!hasLeft && now - observed.changedAt < m_options.entryTimeout) {
            list.members.push_back({.name = row.key.substr(EntryPrefix.size()), .address = textOf(object, "address")});
            text += list.members.back().name + "=" + list.members.back().address + "\n";
        }
    }
    list.digest = stableHash(text);
    const std::lock_guard lock(m_mutex);
    m_entries = std::make_shared<const EntryList>(std::move(list));
}

boost::asio::awaitable<void> ClusterView::readLeaders()
{
    const auto rows = co_await m_table.readRange(ShardPrefix, "", RangeLimit);
    if (!isOk(rows)) {
        co_return;
    }
    std::vector<ShardLeaderRow> leaders;
    for (const Row &row : valueOf(rows)) {
        if (auto leader = parseShardRow(row.key, row.value); leader && !leader->address.empty()) {
            leaders.push_back(std::move(*leader));
        }
    }
    const std::lock_guard lock(m_mutex);
    m_leaders = std::move(leaders);
}

boost::asio::awaitable<void> ClusterView::readDrains()
{
    const TimePoint sentAt = std::chrono::steady_clock::now();
    const auto rows = co_await m_table.readRange(DrainPrefix, "", RangeLimit);
    if (!isOk(rows)) {
        co_return;
    }
    std::vector<std::string> hosts;
    for (const Row &row : valueOf(rows)) {
        hosts.push_back(row.key.substr(DrainPrefix.size()));
    }
    const std::lock_guard lock(m_mutex);
    // setDrained() reads concurrently with run(), so replies may arrive out of order.
    if (m_drainsConfirmedAt && sentAt < *m_drainsConfirmedAt) {
        co_return;
    }
    m_drainsConfirmedAt = sentAt;
    if (m_drained != hosts) {
        m_drained = hosts;
        m_drainListener(std::move(hosts));
    }
}

boost::asio::awaitable<bool> ClusterView::setDrained(std::string host, bool drained)
{
    // Setting and ending a drain are idempotent, so the transaction can be repeated without a condition.
    const std::string key = std::string(DrainPrefix) + host;
    const std::string value = boost::json::serialize(boost::json::object{{"token", randomToken()}});
    const Transaction transaction{.conditions = {},
                                  .mutations = {{key, drained ? std::optional(value) : std::nullopt}}};
    constexpr int maxAttempts = 3;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto outcome = co_await m_table.transact(transaction);
        if (std::holds_alternative<Committed>(outcome)) {
            co_await readDrains();
            co_return true;
        }
        co_await sleepFor(Milliseconds(200));
    }
    co_return false;
}

std::shared_ptr<const EntryList> ClusterView::entries() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries;
}

std::optional<ShardLeaderRow> ClusterView::leader(ShardId shard) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::ranges::find(m_leaders, shard, &ShardLeaderRow::shard);
    return found == m_leaders.end() ? std::nullopt : std::optional(*found);
}

std::optional<std::string> ClusterView::leaderAddress(ShardId shard) const
{
    const auto row = leader(shard);
    return row ? std::optional(row->address) : std::nullopt;
}

HostDrain ClusterView::drainOf(const std::string &host) const
{
    const std::lock_guard lock(m_mutex);
    return {.drained = std::ranges::find(m_drained, host) != m_drained.end(), .confirmedAt = m_drainsConfirmedAt};
}

} // namespace Carobflow
