#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/sheet.h"
#include "carobflow/core/table.h"
#include "carobflow/core/types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class ObjectStore;
class TableService;

/// A sheet that was accepted.
struct AcceptedSheet {
    SheetVersion version = 0;
    /// Table version of the row sheet/current.
    std::uint64_t rowVersion = 0;
    std::string digest;
    std::string author;
    /// Time from which the sheet's deadlines count, in seconds since the Unix epoch.
    std::int64_t referenceUnixSeconds = 0;
    std::string text;
    std::shared_ptr<const Sheet> sheet;
};

/// A row of the sheet's history.
struct SheetHistoryEntry {
    SheetVersion version = 0;
    std::string digest;
    std::string author;
    std::int64_t acceptedUnixSeconds = 0;
};

/// The sheet was accepted under this version.
struct SheetAccepted {
    SheetVersion version = 0;
    std::string digest;
};

/// Another sheet was accepted since the version that the operator named.
struct SheetConflict {
    SheetVersion currentVersion = 0;
};

using SheetFaults = std::vector<SheetFault>;
using ApplyOutcome = std::variant<SheetAccepted, SheetConflict, SheetFaults, Error>;

/// Follows the accepted sheet in the platform's table and changes it by compare-and-set. Safe to call from several
/// threads.
class SheetRepository
{
public:
    struct Options {
        Milliseconds pollInterval{500};
        /// How long a change is retried when the store fails, before its outcome is reported as unknown.
        Milliseconds applyTimeout{8000};
    };

    using Listener = std::function<void(const std::shared_ptr<const AcceptedSheet> &)>;
    /// Fetches a sheet of at least this version from another process; null when none has it.
    using Fetch = std::function<boost::asio::awaitable<std::shared_ptr<const AcceptedSheet>>(SheetVersion)>;

    SheetRepository(Options options, TableService &table, ObjectStore &objects, Listener listener, Fetch fetch);

    /// Polls the current version until the process ends.
    boost::asio::awaitable<void> poll();

    /// Another process mentioned this version. When the store cannot supply it, poll() fetches it from other processes.
    void recordRemoteVersion(SheetVersion version);

    /// The newest sheet that was read; null before the first one.
    [[nodiscard]] std::shared_ptr<const AcceptedSheet> current() const;

    /// The time at which the read was sent that last confirmed current() as the newest version.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const;

    /// Replaces the version that the operator names. Errors: Unavailable when nothing was changed, Unknown when the
    /// store did not answer in time.
    boost::asio::awaitable<ApplyOutcome> apply(std::string text, SheetVersion replaces, std::string author);

    /// Changes one data centre on the current sheet, or on the version that the operator names.
    boost::asio::awaitable<ApplyOutcome>
    setDataCentre(std::string dataCentre, bool inService, std::optional<SheetVersion> replaces, std::string author);

    /// All accepted versions, newest last. Errors: Unavailable, Timeout.
    boost::asio::awaitable<Result<std::vector<SheetHistoryEntry>>> history();

private:
    struct Change;

    boost::asio::awaitable<void> refresh();
    boost::asio::awaitable<void> fetchFromPeers();
    boost::asio::awaitable<ApplyOutcome> commit(Change change);
    boost::asio::awaitable<std::optional<ApplyOutcome>> resolveLostReply(const Change &change);
    void publish(const std::shared_ptr<const AcceptedSheet> &sheet, std::optional<TimePoint> confirmedAt);

    Options m_options;
    TableService &m_table;
    ObjectStore &m_objects;
    Listener m_listener;
    Fetch m_fetch;
    std::atomic<SheetVersion> m_seenVersion{0};
    mutable std::mutex m_mutex;
    std::shared_ptr<const AcceptedSheet> m_current;
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace Carobflow
