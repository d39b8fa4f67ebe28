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

/// An entry as its own row describes it.
struct EntryMember {
    std::string name;
    std::string address;

    bool operator==(const EntryMember &) const = default;
};

/// The entries that are alive, with a digest by which others see whether they have this list already.
struct EntryList {
    std::vector<EntryMember> members;
    std::uint64_t digest = 0;
};

/// The leader of a shard as the shard's row describes it.
struct ShardLeaderRow {
    ShardId shard = 0;
    Epoch epoch = 0;
    std::string address;
};

/// Reads the row of a shard; empty when it has no leader or cannot be parsed.
std::optional<ShardLeaderRow> parseShardRow(std::string_view key, std::string_view value);

/// Whether an operator drains a host, and when the read of the table was sent that says so.
struct HostDrain {
    bool drained = false;
    std::optional<TimePoint> confirmedAt;
};

/// The entry's view of what the table says about entries, shard leaders and drained hosts. Keeps this entry's own row.
/// Safe to call from several threads.
class ClusterView
{
public:
    struct Options {
        std::string name;
        std::string address;
        Milliseconds interval{1000};
        /// An entry whose row has not changed for this long is left out.
        Milliseconds entryTimeout{10000};
    };

    using DrainListener = std::function<void(std::vector<std::string>)>;

    ClusterView(Options options, TableService &table, DrainListener listener);

    /// Writes the own row and reads the others until the process ends.
    boost::asio::awaitable<void> run();

    /// Marks the own row as leaving, so that agents forget this entry.
    boost::asio::awaitable<void> leave();

    /// Sets or ends the drain of a host's upstreams; false when the table did not confirm it.
    boost::asio::awaitable<bool> setDrained(std::string host, bool drained);

    [[nodiscard]] std::shared_ptr<const EntryList> entries() const;
    [[nodiscard]] std::optional<ShardLeaderRow> leader(ShardId shard) const;
    [[nodiscard]] std::optional<std::string> leaderAddress(ShardId shard) const;
    [[nodiscard]] HostDrain drainOf(const std::string &host) const;

private:
    struct Seen {
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
    std::map<std::string, Seen> m_seen;
    mutable std::mutex m_mutex;
    std::shared_ptr<const EntryList> m_entries = std::make_shared<const EntryList>();
    std::vector<ShardLeaderRow> m_leaders;
    std::vector<std::string> m_drained;
    std::optional<TimePoint> m_drainsConfirmedAt;
};

} // namespace Carobflow
