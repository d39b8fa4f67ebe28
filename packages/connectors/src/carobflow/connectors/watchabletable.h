#pragma once

#include "carobflow/connectors/tableclock.h"
#include "carobflow/connectors/tableservice.h"
#include "carobflow/core/types.h"

#include <variant>

namespace Carobflow
{

/// All rows under a prefix as of one moment.
struct TableSnapshot {
    std::vector<Row> rows;
    /// Changes after this version are not part of the snapshot.
    std::uint64_t version = 0;
};

/// A row that was written, or removed when there is no value.
struct TableChange {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

struct TableChanges {
    std::vector<TableChange> changes;
    /// The version after which the next call continues.
    std::uint64_t version = 0;
};

/// The table no longer has the changes that were asked for; a new snapshot is needed.
struct HistoryGone {
};

using ChangesOutcome = std::variant<TableChanges, HistoryGone, Error>;

/// A table service that also reports changes. Keys are "table/key".
class WatchableTable : public TableService
{
public:
    /// Transactions beyond these are rejected, however often they are sent.
    [[nodiscard]] virtual TransactionLimits limits() const = 0;

    /// The table's clock, known from the first reply on.
    [[nodiscard]] virtual const TableClock &clock() const = 0;

    /// All rows whose keys start with `prefix`, which ends with a slash. Errors: Unavailable, Timeout.
    virtual boost::asio::awaitable<Result<TableSnapshot>> snapshot(std::string_view prefix) = 0;

    /// Waits for changes after a version, at most for the given time; there may be none.
    virtual boost::asio::awaitable<ChangesOutcome>
    changes(std::string_view prefix, std::uint64_t after, Milliseconds wait) = 0;
};

} // namespace Carobflow
