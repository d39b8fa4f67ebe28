#pragma once

#include "carobflow/core/types.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class TableService;

/// An entry as described by its row in the table.
struct EntryMember {
    std::string name;
    std::string address;

    bool operator==(const EntryMember &) const = default;
};

/// The live entries, with a digest by which agents detect whether they already have this list.
struct EntryList {
    std::vector<EntryMember> members;
    std::uint64_t digest = 0;
};

/// The leader of a shard as described by the shard's row in the table.
struct ShardLeaderRow {
    ShardId shard = 0;
    Epoch epoch = 0;
    std::string address;
};

/// Parses the row of a shard. Returns nothing when the shard has no leader or the row cannot be parsed.
std::optional<ShardLeaderRow> parseShardRow(std::string_view key, std::string_view value);

/// Whether an operator drains a host, and when the table read that reported it was sent.
struct HostDrain {
    bool drained = false;
    std::optional<TimePoint> confirmedAt;
};

/// A periodically refreshed copy of the table's rows of entries, shard leaders and drained hosts. Also maintains the
/// row of this entry. Thread-safe.
class ClusterView
{
public:
    struct Options {
        std::string name;
        std::string address;
        Milliseconds interval{1000};
        /// An entry whose row has not changed for this long is not listed.
        Milliseconds entryTimeout{10000};
    };

    using DrainListener = std::function<void(std::vector<std::string>)>;

    ClusterView(Options options, TableService &table, DrainListener listener);

    /// Periodically writes this entry's row and reads all rows until the process ends.
    boost::asio::awaitable<void> run();

    /// Marks this entry's row as leaving, so that agents stop announcing to it.
    boost::asio::awaitable<void> leave();

    /// Starts or ends the drain of a host's upstreams. Returns false when the table did not confirm the change.
    boost::asio::awaitable<bool> setDrained(std::string host, bool drained);

    [[nodiscard]] std::shared_ptr<const EntryList> entries() const;
    [[nodiscard]] std::optional<ShardLeaderRow> leader(ShardId shard) const;
    [[nodiscard]] std::optional<std::string> leaderAddress(ShardId shard) const;
    [[nodiscard]] HostDrain drainOf(const std::string &host) const;

private:
    struct ObservedRow {
        std::string value;
        TimePoint changedAt;
    };

    boost::asio::awaitable<void> writeOwnRow();
    boost::asio::awaitable<void> readEntries();
    boost::asio::awaitable<void> readLeaders();
    boost::asio::awaitable<void> readDrains();

    Options m_options;
    TableService &m_table;
    DrainListener m_drainListener;
    std::atomic<std::uint64_t> m_counter{0};
    std::atomic<bool> m_leaving{false};
    std::map<std::string, ObservedRow> m_observedRows;
    mutable std::mutex m_mutex;
    std::shared_ptr<const EntryList> m_entries = std::make_shared<const EntryList>();
    std::vector<ShardLeaderRow> m_leaders;
    std::vector<std::string> m_drained;
    std::optional<TimePoint> m_drainsConfirmedAt;
};

} // namespace Carobflow
