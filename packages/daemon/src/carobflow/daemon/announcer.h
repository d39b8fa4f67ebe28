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

/// The sheet version that this agent currently uses.
struct FollowedSheet {
    SheetVersion version = 0;
    std::uint64_t rowVersion = 0;
    std::shared_ptr<const Sheet> sheet;
};

/// Announces this host's upstreams to every entry and takes the sheet, the list of entries, the shard leaders and the
/// host's drain state from the replies. Callbacks and member functions run on its strand.
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
        /// The entries are read from the table again when none has replied for this long.
        Milliseconds entryDiscoveryInterval{2000};
        /// Entries to contact while the table cannot be read, so that a host that starts during an outage can serve
        /// requests.
        std::vector<std::string> knownEntries;
    };

    struct Callbacks {
        std::function<boost::asio::awaitable<std::vector<carobflow::UpstreamInfo>>()> upstreams;
        /// Called when a newer sheet takes effect.
        std::function<void(const FollowedSheet &)> onSheet;
        /// Called when an entry has confirmed that the sheet was current at `confirmedAt`.
        std::function<void(TimePoint confirmedAt, const FollowedSheet &)> onConfirmed;
        /// Called when an operator's drain of this host begins or ends.
        std::function<boost::asio::awaitable<void>(bool drained)> onDrain;
    };

    Announcer(const boost::asio::any_io_executor &executor,
              Options options,
              Callbacks callbacks,
              TableService &table,
              ChannelPool &channels);

    [[nodiscard]] const boost::asio::any_io_executor &strand() const;

    /// Announces periodically until the process ends.
    boost::asio::awaitable<void> run();

    /// Announces once to every known entry and waits for the replies. Returns true when all entries replied.
    boost::asio::awaitable<bool> announceOnce();

    /// Records a sheet version mentioned by another process. Until the agent has the latest known version, the age of
    /// its sheet is not confirmed.
    void recordRemoteVersion(SheetVersion version);

    [[nodiscard]] SheetVersion sheetVersion() const;

    /// Returns the known leader with the highest epoch.
    [[nodiscard]] std::optional<ShardLeaderRow> leader(ShardId shard) const;

private:
    boost::asio::awaitable<bool> announceTo(std::string address, carobflow::AnnounceRequest request);
    boost::asio::awaitable<void> fetchSheet(std::string address, SheetVersion version);
    boost::asio::awaitable<void> discoverEntries();
    boost::asio::awaitable<void> updateDrain(TimePoint confirmedAt, bool drained);
    void updateEntries(const std::string &sender, const carobflow::AnnounceReply &reply);

    boost::asio::any_io_executor m_strand;
    Options m_options;
    Callbacks m_callbacks;
    TableService &m_table;
    ChannelPool &m_channels;
    std::uint64_t m_sequence = 0;
    /// The list of entries that one entry sent last, and the digest of that list.
    struct ReceivedEntryList {
        std::vector<std::string> addresses;
        std::uint64_t digest = 0;
    };

    /// The time at which each entry was last listed in a reply.
    std::map<std::string, TimePoint> m_entries;
    std::map<std::string, ReceivedEntryList> m_entryListsBySender;
    std::set<std::string> m_sheetFetchesInFlight;
    TimePoint m_lastReply;
    TimePoint m_lastDiscovery;
    SheetVersion m_latestKnownVersion = 0;
    FollowedSheet m_sheet;
    bool m_drained = false;
    /// Lower bound for the time at which the table read behind m_drained was sent.
    TimePoint m_drainConfirmedAt = TimePoint::min();
    std::map<ShardId, ShardLeaderRow> m_leaders;
};

} // namespace Carobflow
