#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/table.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// The platform's transactional table service. Calls end within the adapter's timeout.
class TableService
{
public:
    TableService() = default;
    virtual ~TableService() = default;
    TableService(const TableService &) = delete;
    TableService &operator=(const TableService &) = delete;

    /// Reads rows by key; rows that do not exist are left out. Errors: Unavailable, Timeout.
    virtual boost::asio::awaitable<Result<std::vector<Row>>> read(std::span<const std::string> keys) = 0;

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`, in key order.
    /// Errors: Unavailable, Timeout.
    virtual boost::asio::awaitable<Result<std::vector<Row>>>
    readRange(std::string_view prefix, std::string_view after, std::size_t limit) = 0;

    /// Applies a transaction once or not at all. After ReplyLost the caller reads the rows back and looks for its
    /// token; it does not send the transaction again before that.
    virtual boost::asio::awaitable<TransactOutcome> transact(const Transaction &transaction) = 0;
};

} // namespace Carobflow
