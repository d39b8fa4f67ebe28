#include "carobflow/daemon/announcer.h"

#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/rpc.h"
#include "carobflow/logging/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/parse.hpp>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{
namespace
{

using Stub = carobflow::EntryService::Stub;

constexpr Milliseconds CallTimeout{1500};
/// An entry that no reply has listed for this long is removed.
constexpr Milliseconds EntryExpiry{15000};
constexpr std::string_view EntryPrefix = "entry/";

} // namespace

Announcer::Announcer(const boost::asio::any_io_executor &executor,
                     Options options,
                     Callbacks callbacks,
                     TableService &table,
                     ChannelPool &channels)
    : m_strand(boost::asio::make_strand(executor))
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_table(table)
    , m_channels(channels)
{
}

const boost::asio::any_io_executor &Announcer::strand() const
{
    return m_strand;
}

boost::asio::awaitable<void> Announcer::run()
{
    for (;;) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now - m_lastReply > m_options.entryDiscoveryInterval
            && now - m_lastDiscovery > m_options.entryDiscoveryInterval) {
            m_lastDiscovery = now;
            co_await discoverEntries();
        }
        // Not awaited: an unresponsive entry must not delay the announcements to the others.
        boost::asio::co_spawn(
            m_strand, [this]() -> boost::asio::awaitable<void> { co_await announceOnce(); }, boost::asio::detached);
        co_await sleepFor(m_options.interval);
    }
}

boost::asio::awaitable<bool> Announcer::announceOnce()
{
    carobflow::AnnounceRequest request;
    request.set_host(m_options.host);
    request.set_data_centre(m_options.dataCentre);
    request.set_agent_address(m_options.agentAddress);
    request.set_boot_id(m_options.bootId);
    request.set_shard(m_options.shard);
    request.set_sheet_version(m_sheet.version);
    for (auto &upstream : co_await m_callbacks.upstreams()) {
        *request.add_upstreams() = std::move(upstream);
    }
    request.set_sequence(++m_sequence);
    std::vector<std::string> addresses;
    const TimePoint now = std::chrono::steady_clock::now();
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (now - entry->second > EntryExpiry) {
            m_channels.forget(entry->first);
            m_entryListsBySender.erase(entry->first);
            entry = m_entries.erase(entry);
        } else {
            addresses.push_back(entry->first);
            ++entry;
        }
    }
    auto answered = std::make_shared<std::size_t>(0);
    auto ended = std::make_shared<std::size_t>(0);
    auto changed = std::make_shared<Notifier>(m_strand);
    for (const std::string &address : addresses) {
        boost::asio::co_spawn(
            m_strand,
            [this, address, request, answered, ended, changed]() -> boost::asio::awaitable<void> {
                *answered += co_await announceTo(address, request) ? 1 : 0;
                ++*ended;
                changed->notify();
            },
            boost::asio::detached);
    }
    const TimePoint limit = now + CallTimeout + Milliseconds(100);
    while (*ended < addresses.size() && std::chrono::steady_clock::now() < limit) {
        co_await changed->waitUntil(limit);
    }
    co_return *answered == addresses.size();
}

boost::asio::awaitable<bool> Announcer::announceTo(std::string address, carobflow::AnnounceRequest request)
{
    std::shared_ptr<Stub> stub = carobflow::EntryService::NewStub(m_channels.channel(address));
    request.set_entries_digest(m_entryListsBySender[address].digest);
    const TimePoint sentAt = std::chrono::steady_clock::now();
    const auto [status, reply] = co_await callUnary<Stub, carobflow::AnnounceRequest, carobflow::AnnounceReply>(
        std::move(stub), &Stub::async::Announce, std::move(request), CallTimeout);
    if (!status.ok()) {
        logDebug("announce-failed").with("entry", address).with("error", status.error_message());
        co_return false;
    }
    m_lastReply = std::chrono::steady_clock::now();
    updateEntries(address, reply);
    for (const auto &row : reply.leaders()) {
        ShardLeaderRow &known = m_leaders[row.shard()];
        if (row.epoch() >= known.epoch) {
            known = {.shard = row.shard(), .epoch = row.epoch(), .address = row.address()};
        }
    }
    co_await updateDrain(sentAt - Milliseconds(reply.drained_confirmed_age_ms()), reply.drained());
    recordRemoteVersion(reply.sheet_version());
    if (reply.sheet_version() > m_sheet.version) {
        co_await fetchSheet(address, reply.sheet_version());
    }
    if (reply.sheet_version() == m_sheet.version && m_sheet.version == m_latestKnownVersion) {
        m_callbacks.onConfirmed(sentAt - Milliseconds(reply.sheet_confirmed_age_ms()), m_sheet);
    }
    co_return true;
}

boost::asio::awaitable<void> Announcer::updateDrain(TimePoint confirmedAt, bool drained)
{
    // Only the most recent table read counts, so that an entry that has lost its connection to the table cannot
    // override the others.
    if (confirmedAt <= m_drainConfirmedAt) {
        co_return;
    }
    m_drainConfirmedAt = confirmedAt;
    if (drained == m_drained) {
        co_return;
    }
    m_drained = drained;
    logInfo(drained ? "drain-begun" : "drain-ended").with("host", m_options.host);
    co_await m_callbacks.onDrain(drained);
    // Not awaited: handling this reply must not wait for unresponsive entries.
    boost::asio::co_spawn(
        m_strand, [this]() -> boost::asio::awaitable<void> { co_await announceOnce(); }, boost::asio::detached);
}

void Announcer::updateEntries(const std::string &sender, const carobflow::AnnounceReply &reply)
{
    ReceivedEntryList &received = m_entryListsBySender[sender];
    if (reply.entries().empty() && reply.entries_digest() != received.digest) {
        // The reply belongs to a request with another digest; the next request asks for the full list again.
        received.digest = 0;
    } else if (!reply.entries().empty()) {
        received.digest = reply.entries_digest();
        received.addresses.clear();
        for (const auto &entry : reply.entries()) {
            received.addresses.push_back(entry.address());
        }
    }
    for (const std::string &address : received.addresses) {
        m_entries[address] = m_lastReply;
    }
}

boost::asio::awaitable<void> Announcer::fetchSheet(std::string address, SheetVersion version)
{
    if (!m_sheetFetchesInFlight.insert(address).second) {
        co_return;
    }
    carobflow::GetSheetRequest request;
    request.set_version(version);
    std::shared_ptr<Stub> stub = carobflow::EntryService::NewStub(m_channels.channel(address));
    const auto [status, reply] = co_await callUnary<Stub, carobflow::GetSheetRequest, carobflow::GetSheetReply>(
        std::move(stub), &Stub::async::GetSheet, std::move(request), CallTimeout);
    m_sheetFetchesInFlight.erase(address);
    if (!status.ok() || reply.version() <= m_sheet.version) {
        co_return;
    }
    auto parsed = parseSheet(reply.text(), reply.reference_unix_seconds());
    if (parsed.index() != 0) {
        logError("sheet-unreadable").with("version", reply.version()).with("entry", address);
        co_return;
    }
    m_sheet = {.version = reply.version(),
               .rowVersion = reply.row_version(),
               .sheet = std::make_shared<const Sheet>(std::get<Sheet>(std::move(parsed)))};
    m_latestKnownVersion = std::max(m_latestKnownVersion, m_sheet.version);
    logInfo("sheet-in-force").with("version", m_sheet.version);
    m_callbacks.onSheet(m_sheet);
}

boost::asio::awaitable<void> Announcer::discoverEntries()
{
    constexpr std::size_t maxEntries = 1000;
    const auto rows = co_await m_table.readRange(EntryPrefix, "", maxEntries);
    const TimePoint now = std::chrono::steady_clock::now();
    if (!isOk(rows)) {
        for (const std::string &address : m_options.knownEntries) {
            m_entries[address] = now;
        }
        co_return;
    }
    for (const Row &row : valueOf(rows)) {
        boost::system::error_code error;
        const auto value = boost::json::parse(row.value, error);
        const auto *address = error || !value.is_object() ? nullptr : value.as_object().if_contains("address");
        const auto *leaving = error || !value.is_object() ? nullptr : value.as_object().if_contains("leaving");
        if (address != nullptr && address->is_string()
            && !(leaving != nullptr && leaving->is_bool() && leaving->as_bool())) {
            m_entries[std::string(address->as_string())] = now;
        }
    }
}

void Announcer::recordRemoteVersion(SheetVersion version)
{
    m_latestKnownVersion = std::max(m_latestKnownVersion, version);
}

SheetVersion Announcer::sheetVersion() const
{
    return m_sheet.version;
}

std::optional<ShardLeaderRow> Announcer::leader(ShardId shard) const
{
    const auto found = m_leaders.find(shard);
    return found == m_leaders.end() ? std::nullopt : std::optional(found->second);
}

} // namespace Carobflow
