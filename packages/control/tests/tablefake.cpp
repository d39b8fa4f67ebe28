#include "tablefake.h"

#include "carobflow/core/clock.h"
#include "carobflow/daemon/internal/asyncwait.h"

#include <algorithm>

namespace Carobflow
{

namespace asio = boost::asio;

namespace
{

bool exceeds(const TransactionLimits &limits, const Transaction &transaction)
{
    std::size_t bytes = 0;
    for (const Mutation &mutation : transaction.mutations) {
        const std::size_t rowBytes = mutation.value ? mutation.value->size() : 0;
        if (rowBytes > limits.rowBytes) {
            return true;
        }
        bytes += mutation.key.size() + rowBytes;
    }
    return transaction.conditions.size() + transaction.mutations.size() > limits.entries || bytes > limits.bytes;
}

} // namespace

void TableFake::observeClock()
{
    const TimePoint now = suspendAwareNow();
    m_clock.observe(std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()), now, now);
}

std::vector<Row> TableFake::rowsOf(std::string_view prefix) const
{
    std::vector<Row> rows;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
        rows.push_back(row->second);
    }
    return rows;
}

std::size_t TableFake::countRows(std::string_view prefix) const
{
    return rowsOf(prefix).size();
}

std::string TableFake::valueOf(std::string_view key) const
{
    const auto row = m_rows.find(key);
    return row == m_rows.end() ? std::string() : row->second.value;
}

std::uint64_t TableFake::versionOf(std::string_view key) const
{
    const auto row = m_rows.find(key);
    return row == m_rows.end() ? 0 : row->second.version;
}

asio::awaitable<Result<std::vector<Row>>> TableFake::read(std::span<const std::string> keys)
{
    if (refusesReads) {
        co_return Error{ErrorKind::Unavailable, "the table is unavailable"};
    }
    observeClock();
    std::vector<Row> rows;
    for (const std::string &key : keys) {
        if (const auto row = m_rows.find(key); row != m_rows.end()) {
            rows.push_back(row->second);
        }
    }
    co_return rows;
}

asio::awaitable<Result<std::vector<Row>>>
TableFake::readRange(std::string_view prefix, std::string_view after, std::size_t limit)
{
    const std::string table(prefix);
    const std::string from(after);
    co_await sleepFor(rangeTime);
    std::vector<Row> rows = rowsOf(table);
    std::erase_if(rows, [&](const Row &row) { return row.key <= from; });
    rows.resize(std::min(rows.size(), limit));
    co_return rows;
}

asio::awaitable<TransactOutcome> TableFake::transact(const Transaction &transaction)
{
    co_await sleepFor(transactTime);
    observeClock();
    if (exceeds(limits(), transaction)) {
        ++oversized;
        co_return TableUnavailable{"the transaction is too large"};
    }
    for (const Condition &condition : transaction.conditions) {
        const auto row = m_rows.find(condition.key);
        if ((row == m_rows.end() ? 0 : row->second.version) != condition.version) {
            co_return Conflict{condition.key};
        }
    }
    ++m_version;
    for (const Mutation &mutation : transaction.mutations) {
        if (mutation.value) {
            m_rows[mutation.key] = {.key = mutation.key, .value = *mutation.value, .version = m_version};
        } else {
            m_rows.erase(mutation.key);
        }
    }
    co_return Committed{m_version};
}

asio::awaitable<Result<TableSnapshot>> TableFake::snapshot(std::string_view prefix)
{
    const std::string table(prefix);
    co_await sleepFor(snapshotTime);
    if (refusesSnapshots) {
        co_return Error{ErrorKind::Unavailable, "the table is unavailable"};
    }
    co_return TableSnapshot{.rows = rowsOf(table), .version = m_version};
}

asio::awaitable<ChangesOutcome> TableFake::changes(std::string_view prefix, std::uint64_t after, Milliseconds wait)
{
    co_await sleepFor(std::min(wait, changesTime));
    if (refusesChanges) {
        co_return Error{ErrorKind::Unavailable, "the table is unavailable"};
    }
    if (after < m_historyFrom) {
        co_return HistoryGone{};
    }
    if (hidesChanges) {
        co_return TableChanges{.changes = {}, .version = m_version};
    }
    TableChanges changes{.changes = {}, .version = after};
    for (const Row &row : rowsOf(prefix)) {
        if (row.version > after) {
            changes.changes.push_back({.key = row.key, .value = row.value, .version = row.version});
            changes.version = std::max(changes.version, row.version);
        }
    }
    co_return changes;
}

} // namespace Carobflow
