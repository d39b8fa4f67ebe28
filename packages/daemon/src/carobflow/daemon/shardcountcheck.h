#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <mutex>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class TableService;

/// Compares the number of shards in the settings with the one in the table's row cluster/shards, which the first
/// process of the system creates. Two processes with different numbers would hash a job to different shards. Safe to
/// call from several threads.
class ShardCountCheck
{
public:
    struct Options {
        std::uint32_t shards = 1;
        /// The settings file, for messages.
        std::string settingsPath;
        Milliseconds firstRetry{200};
        Milliseconds lastRetry{2000};
        /// Time between two reads of a row that has another number.
        Milliseconds refusedRetry{10000};
    };

    ShardCountCheck(Options options, TableService &table);

    /// Reads the row until it has this process's number.
    boost::asio::awaitable<void> waitUntilVerified();

    /// Reads the row once, and creates it when it is absent. Errors: Unavailable while the table does not supply it,
    /// InvalidArgument when its number is another one, Internal when the row cannot be read.
    boost::asio::awaitable<Status> verify();

    [[nodiscard]] bool isVerified() const;

    /// The result of the last verify(); Unavailable before the first.
    [[nodiscard]] Status status() const;

private:
    [[nodiscard]] Status compare(std::string_view value) const;
    boost::asio::awaitable<Status> readOrCreate();

    Options m_options;
    TableService &m_table;
    mutable std::mutex m_mutex;
    Status m_status = Error{ErrorKind::Unavailable, "the number of shards has not been compared with the table yet"};
};

} // namespace Carobflow
