#pragma once

#include "carobflow/core/sheet.h"
#include "carobflow/core/types.h"
#include "carobflow/daemon/clusterview.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <carobflow.pb.h>

namespace Carobflow
{

class ChannelPool;
class TableService;

/// The sheet as an agent has it.
struct FollowedSheet {
    SheetVersion version = 0;
    std::uint64_t rowVersion = 0;
    std::shared_ptr<const Sheet> sheet;
};

/// Announces this host's upstreams to every entry and learns from the replies: the sheet, the entries and the leaders
/// of shards. Callbacks and functions run on its strand.
class Announcer
{
public:
    struct Options {
        std::string host;
        std::string dataCentre;
        std::string agentAddress;
        ShardId shard = 0;
        std::uint64_t bootId = 0;
        Milliseconds interval{500};
        /// Entries are read from the table again when none has answered for this long.
        Milliseconds entrySearchInterval{2000};
        /// Entries that are tried while the table cannot be read, so that a host that starts in an outage can serve.
        std::vector<std::string> knownEntries;
    };

    struct Callbacks {
        std::function<boost::asio::awaitable<std::vector<carobflow::UpstreamInfo>>()> upstreams;
        /// A newer sheet is in force.
        std::function<void(const FollowedSheet &)> onSheet;
        /// The version was current at this time.
        std::function<void(TimePoint confirmedAt, const FollowedSheet &)> onConfirmed;
        /// The operators' drain of this host has begun or ended.
        std::function<boost::asio::awaitable<void>(bool drained)> onDrain;
    };

    Announcer(const boost::asio::any_io_executor &executor,
              Options options,
              Callbacks callbacks,
              TableService &table,
              ChannelPool &channels);

    [[nodiscard]] const boost::asio::any_io_executor &strand() const;

    /// Announces again and again until the process ends.
    boost::asio::awaitable<void> run();

    /// Announces once to every known entry and waits for the replies; true when all of them answered.
    boost::asio::awaitable<bool> announceOnce();

    /// Another process spoke of this version of the sheet; it is fetched when it is newer.
    void noteVersion(SheetVersion version);

    [[nodiscard]] SheetVersion sheetVersion() const;

    /// The leader with the highest epoch that was heard of.
    [[nodiscard]] std::optional<ShardLeaderRow> leader(ShardId shard) const;

private:
    boost::asio::awaitable<bool> announceTo(std::string address, carobflow::AnnounceRequest request);
    boost::asio::awaitable<void> fetchSheet(std::string address, SheetVersion version);
    boost::asio::awaitable<void> searchEntries();
    boost::asio::awaitable<void> learnDrain(TimePoint confirmedAt, bool drained);
    void learnEntries(const std::string &from, const carobflow::AnnounceReply &reply);

    boost::asio::any_io_executor m_strand;
    Options m_options;
    Callbacks m_callbacks;
    TableService &m_table;
    ChannelPool &m_channels;
    std::uint64_t m_sequence = 0;
    /// What one entry named last, and the digest of its list.
    struct NamedEntries {
        std::vector<std::string> addresses;
        std::uint64_t digest = 0;
    };

    /// When each entry was named last.
    std::map<std::string, TimePoint> m_entries;
    std::map<std::string, NamedEntries> m_namedBy;
    std::set<std::string> m_inFlight;
    TimePoint m_lastReply;
    TimePoint m_lastSearch;
    SheetVersion m_seenVersion = 0;
    FollowedSheet m_sheet;
    bool m_drained = false;
    /// When the read of the table was sent, at the earliest, that m_drained comes from.
    TimePoint m_drainConfirmedAt = TimePoint::min();
    std::map<ShardId, ShardLeaderRow> m_leaders;
};

} // namespace Carobflow
