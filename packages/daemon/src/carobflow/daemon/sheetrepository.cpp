#include "carobflow/daemon/sheetrepository.h"

#include "carobflow/connectors/objectstore.h"
#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/logging/log.h"

#include <array>

#include <boost/describe/class.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow
{
namespace
{

const std::string CurrentSheetKey = "sheet/current";

struct SheetRow {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string token;
    std::int64_t referenceUnixSeconds = 0;
    std::int64_t acceptedUnixSeconds = 0;
};
BOOST_DESCRIBE_STRUCT(SheetRow, (), (version, digest, author, token, referenceUnixSeconds, acceptedUnixSeconds))

std::optional<SheetRow> parseRow(const Row &row)
{
    boost::system::error_code error;
    const auto json = boost::json::parse(row.value, error);
    auto parsed = error ? boost::system::result<SheetRow>(error) : boost::json::try_value_to<SheetRow>(json);
    if (!parsed) {
        logError("sheet-row-unreadable").with("key", row.key).with("error", parsed.error().message());
        return std::nullopt;
    }
    return *parsed;
}

std::string historyKey(SheetVersion version)
{
    // Zero-padded, so that the order of keys is the order of versions.
    const std::string digits = std::to_string(version);
    return "sheet/history/" + std::string(digits.size() < 12 ? 12 - digits.size() : 0, '0') + digits;
}

std::string objectKey(SheetVersion version, std::string_view digest)
{
    return "sheet/" + std::to_string(version) + "-" + std::string(digest);
}

} // namespace

struct SheetRepository::Change {
    SheetRow row;
    std::uint64_t replacedRowVersion = 0;
    std::string text;
};

SheetRepository::SheetRepository(
    Options options, TableService &table, ObjectStore &objects, Listener listener, Fetch fetch)
    : m_options(options)
    , m_table(table)
    , m_objects(objects)
    , m_listener(std::move(listener))
    , m_fetch(std::move(fetch))
{
}

boost::asio::awaitable<void> SheetRepository::poll()
{
    for (;;) {
        co_await refresh();
        co_await fetchFromPeers();
        co_await sleepFor(m_options.pollInterval);
    }
}

void SheetRepository::recordRemoteVersion(SheetVersion version)
{
    SheetVersion seen = m_seenVersion;
    while (seen < version && !m_seenVersion.compare_exchange_weak(seen, version)) {
    }
}

boost::asio::awaitable<void> SheetRepository::fetchFromPeers()
{
    const auto known = current();
    const SheetVersion wanted = m_seenVersion;
    if (wanted <= (known ? known->version : 0)) {
        co_return;
    }
    const auto sheet = co_await m_fetch(wanted);
    if (sheet) {
        // The table has not confirmed this version: the time of the last confirmation stays, which is older and
        // therefore safe.
        publish(sheet, std::nullopt);
    }
}

boost::asio::awaitable<void> SheetRepository::refresh()
{
    const TimePoint sentAt = std::chrono::steady_clock::now();
    const std::array keys{CurrentSheetKey};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return;
    }
    if (valueOf(rows).empty()) {
        publish(nullptr, sentAt);
        co_return;
    }
    const Row &row = valueOf(rows).front();
    const auto parsed = parseRow(row);
    if (!parsed) {
        co_return;
    }
    const auto known = current();
    if (known && known->version >= parsed->version) {
        if (known->version == parsed->version) {
            publish(known, sentAt);
        }
        co_return;
    }
    const auto text = co_await m_objects.get(objectKey(parsed->version, parsed->digest));
    if (!isOk(text)) {
        logWarning("sheet-fetch-failed").with("version", parsed->version).with("error", errorOf(text).message);
        co_return;
    }
    auto sheet = parseSheet(valueOf(text), parsed->referenceUnixSeconds);
    if (sheet.index() != 0 || sheetDigest(valueOf(text)) != parsed->digest) {
        logError("sheet-object-invalid").with("version", parsed->version);
        co_return;
    }
    publish(std::make_shared<AcceptedSheet>(
                AcceptedSheet{.version = parsed->version,
                              .rowVersion = row.version,
                              .digest = parsed->digest,
                              .author = parsed->author,
                              .referenceUnixSeconds = parsed->referenceUnixSeconds,
                              .text = valueOf(text),
                              .sheet = std::make_shared<const Sheet>(std::get<Sheet>(std::move(sheet)))}),
            sentAt);
}

void SheetRepository::publish(const std::shared_ptr<const AcceptedSheet> &sheet, std::optional<TimePoint> confirmedAt)
{
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        const SheetVersion newVersion = sheet ? sheet->version : 0;
        const SheetVersion knownVersion = m_current ? m_current->version : 0;
        if (newVersion < knownVersion) {
            return;
        }
        changed = newVersion > knownVersion;
        if (changed) {
            m_current = sheet;
        }
        if (confirmedAt && (!m_confirmedAt || *m_confirmedAt < *confirmedAt)) {
            m_confirmedAt = confirmedAt;
        }
    }
    if (changed) {
        logInfo("sheet-in-force").with("version", sheet->version).with("digest", sheet->digest);
        m_listener(sheet);
    }
}

std::shared_ptr<const AcceptedSheet> SheetRepository::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::optional<TimePoint> SheetRepository::confirmedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_confirmedAt;
}

boost::asio::awaitable<ApplyOutcome> SheetRepository::apply(std::string text, SheetVersion replaces, std::string author)
{
    const std::int64_t now = unixSeconds();
    auto parsed = parseSheet(text, now);
    if (auto *faults = std::get_if<SheetFaults>(&parsed)) {
        co_return std::move(*faults);
    }
    const std::array keys{CurrentSheetKey};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return Error{ErrorKind::Unavailable, "the table cannot be read, nothing was changed; apply again later"};
    }
    SheetRow current;
    std::uint64_t rowVersion = 0;
    if (!valueOf(rows).empty()) {
        const auto row = parseRow(valueOf(rows).front());
        if (!row) {
            co_return Error{ErrorKind::Internal, "the row sheet/current cannot be read; nothing was changed"};
        }
        current = *row;
        rowVersion = valueOf(rows).front().version;
    }
    if (current.version != replaces) {
        co_return SheetConflict{current.version};
    }
    std::string digest = sheetDigest(text);
    Change change{.row = {.version = replaces + 1,
                          .digest = std::move(digest),
                          .author = std::move(author),
                          .token = randomToken(),
                          .referenceUnixSeconds = now,
                          .acceptedUnixSeconds = now},
                  .replacedRowVersion = rowVersion,
                  .text = std::move(text)};
    co_return co_await commit(std::move(change));
}

boost::asio::awaitable<ApplyOutcome> SheetRepository::setDataCentre(std::string dataCentre,
                                                                    bool inService,
                                                                    std::optional<SheetVersion> replaces,
                                                                    std::string author)
{
    co_await refresh();
    const auto sheet = current();
    if (!sheet) {
        co_return Error{ErrorKind::NotFound, "no sheet was accepted yet; apply a sheet first"};
    }
    if (replaces && *replaces != sheet->version) {
        co_return SheetConflict{sheet->version};
    }
    auto text = withDataCentre(sheet->text, dataCentre, inService);
    if (!isOk(text)) {
        co_return errorOf(text);
    }
    std::string digest = sheetDigest(valueOf(text));
    Change change{.row = {.version = sheet->version + 1,
                          .digest = std::move(digest),
                          .author = std::move(author),
                          .token = randomToken(),
                          .referenceUnixSeconds = sheet->referenceUnixSeconds,
                          .acceptedUnixSeconds = unixSeconds()},
                  .replacedRowVersion = sheet->rowVersion,
                  .text = takeValue(std::move(text))};
    co_return co_await commit(std::move(change));
}

boost::asio::awaitable<ApplyOutcome> SheetRepository::commit(Change change)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + m_options.applyTimeout;
    // The object is written before the row: every reader of the row must find the text.
    const auto written = co_await m_objects.put(objectKey(change.row.version, change.row.digest), change.text);
    if (!isOk(written)) {
        co_return Error{ErrorKind::Unavailable,
                        "the object store did not take the sheet, nothing was changed; apply again later"};
    }
    const std::string value = boost::json::serialize(boost::json::value_from(change.row));
    const std::string history = historyKey(change.row.version);
    const Transaction transaction{.conditions = {{CurrentSheetKey, change.replacedRowVersion}, {history, 0}},
                                  .mutations = {{CurrentSheetKey, value}, {history, value}}};
    bool mayHaveTakenEffect = false;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto outcome = co_await m_table.transact(transaction);
        if (std::holds_alternative<Committed>(outcome)) {
            logInfo("sheet-accepted").with("version", change.row.version).with("author", change.row.author);
            co_await refresh();
            co_return SheetAccepted{change.row.version, change.row.digest};
        }
        if (std::holds_alternative<TableUnavailable>(outcome) && !mayHaveTakenEffect) {
            co_return Error{ErrorKind::Unavailable, "the table is unavailable, nothing was changed; apply again later"};
        }
        mayHaveTakenEffect = true;
        if (auto resolved = co_await resolveLostReply(change)) {
            co_return std::move(*resolved);
        }
        co_await sleepFor(m_options.pollInterval / 2);
    }
    co_return Error{ErrorKind::Unknown,
                    "the store did not say whether the sheet was accepted; look at 'carobflow sheet history'"};
}

boost::asio::awaitable<std::optional<ApplyOutcome>> SheetRepository::resolveLostReply(const Change &change)
{
    // The history row is never overwritten, so it tells who wrote this version even when later ones exist.
    const std::array keys{historyKey(change.row.version), CurrentSheetKey};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return std::nullopt;
    }
    std::optional<SheetRow> history;
    std::optional<SheetRow> current;
    std::uint64_t currentRowVersion = 0;
    for (const Row &row : valueOf(rows)) {
        (row.key == CurrentSheetKey ? current : history) = parseRow(row);
        if (row.key == CurrentSheetKey) {
            currentRowVersion = row.version;
        }
    }
    if (history && history->token == change.row.token) {
        co_await refresh();
        co_return SheetAccepted{change.row.version, change.row.digest};
    }
    if (history || currentRowVersion != change.replacedRowVersion) {
        co_return SheetConflict{current ? current->version : 0};
    }
    // Not applied so far. The write may still arrive, and the same transaction can take effect only once.
    co_return std::nullopt;
}

boost::asio::awaitable<Result<std::vector<SheetHistoryEntry>>> SheetRepository::history()
{
    constexpr std::size_t pageSize = 500;
    std::vector<SheetHistoryEntry> entries;
    std::string after;
    for (;;) {
        const auto rows = co_await m_table.readRange("sheet/history/", after, pageSize);
        if (!isOk(rows)) {
            co_return errorOf(rows);
        }
        for (const Row &row : valueOf(rows)) {
            if (const auto parsed = parseRow(row)) {
                entries.push_back({.version = parsed->version,
                                   .digest = parsed->digest,
                                   .author = parsed->author,
                                   .acceptedUnixSeconds = parsed->acceptedUnixSeconds});
            }
            after = row.key;
        }
        if (valueOf(rows).size() < pageSize) {
            co_return entries;
        }
    }
}

} // namespace Carobflow
