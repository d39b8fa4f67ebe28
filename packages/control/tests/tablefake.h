#pragma once

#include "carobflow/connectors/watchabletable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Carobflow
{

/// An in-memory table that enforces limits on transactions, as the users' store does.
class TableFake final : public WatchableTable
{
public:
    [[nodiscard]] TransactionLimits limits() const override
    {
        return {.entries = 100, .bytes = 100'000, .rowBytes = 20'000};
    }

    [[nodiscard]] const TableClock &clock() const override
    {
        return m_clock;
    }

    boost::asio::awaitable<Result<std::vector<Row>>> read(std::span<const std::string> keys) override;
    boost::asio::awaitable<Result<std::vector<Row>>>
    readRange(std::string_view prefix, std::string_view after, std::size_t limit) override;
    boost::asio::awaitable<TransactOutcome> transact(const Transaction &transaction) override;
    boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string_view prefix) override;
    boost::asio::awaitable<ChangesOutcome>
    changes(std::string_view prefix, std::uint64_t after, Milliseconds wait) override;

    [[nodiscard]] std::size_t countRows(std::string_view prefix) const;

    [[nodiscard]] std::vector<Row> rowsOf(std::string_view prefix) const;

    /// The value of a row; empty when there is none.
    [[nodiscard]] std::string valueOf(std::string_view key) const;

    /// The version of a row; 0 when there is none.
    [[nodiscard]] std::uint64_t versionOf(std::string_view key) const;

    /// Simulated durations of transactions, of snapshots, of reads of ranges and of calls for changes.
    Milliseconds transactTime{2};
    Milliseconds snapshotTime{1};
    Milliseconds rangeTime{0};
    Milliseconds changesTime{2};

    /// Discards the changes so far, so that calls for changes after an earlier version find the history gone.
    void forgetHistory()
    {
        m_historyFrom = m_version;
    }

    /// Answers no reads of single rows.
    bool refusesReads = false;
    /// Answers no calls for snapshots.
    bool refusesSnapshots = false;
    /// Answers no calls for changes.
    bool refusesChanges = false;
    /// Answers calls for changes without any, though with the newest version.
    bool hidesChanges = false;

    /// Number of transactions that were rejected because they exceeded the limits.
    std::size_t oversized = 0;

private:
    /// Lets the clock be observed with a reply to a call.
    void observeClock();

    std::map<std::string, Row, std::less<>> m_rows;
    std::uint64_t m_version = 1;
    std::uint64_t m_historyFrom = 0;
    TableClock m_clock;
};

} // namespace Carobflow
