#include "carobflow/daemon/shardcountcheck.h"

#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <array>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow
{
namespace
{

const std::string RowKey = "cluster/shards";

} // namespace

ShardCountCheck::ShardCountCheck(Options options, TableService &table)
    : m_options(std::move(options))
    , m_table(table)
{
}

boost::asio::awaitable<void> ShardCountCheck::waitUntilVerified()
{
    Milliseconds delay = m_options.firstRetry;
    std::string logged;
    for (;;) {
        const Status status = co_await verify();
        if (isOk(status)) {
            logInfo("shards-verified").with("shards", m_options.shards);
            co_return;
        }
        const bool refused = errorOf(status).kind != ErrorKind::Unavailable;
        if (errorOf(status).message != logged) {
            logged = errorOf(status).message;
            (refused ? logError("shards-refused") : logWarning("shards-unverified"))
                .with("kind", errorKindName(errorOf(status).kind))
                .with("error", logged);
        }
        // The jitter keeps waiting processes from reading at the same time when the table is available again.
        const Milliseconds wait = refused ? m_options.refusedRetry : delay;
        const auto percent = static_cast<std::int64_t>(randomNumber() % 50);
        co_await sleepFor(wait / 2 + wait * percent / 100);
        delay = std::min(delay * 2, m_options.lastRetry);
    }
}

boost::asio::awaitable<Status> ShardCountCheck::verify()
{
    Status status = co_await readOrCreate();
    const std::lock_guard lock(m_mutex);
    m_status = status;
    co_return status;
}

boost::asio::awaitable<Status> ShardCountCheck::readOrCreate()
{
    const std::array keys{RowKey};
    auto rows = co_await m_table.read(keys);
    if (isOk(rows) && valueOf(rows).empty()) {
        const boost::json::object row{{"shards", m_options.shards}, {"token", randomToken()}};
        const Transaction creation{.conditions = {{.key = RowKey}},
                                   .mutations = {{.key = RowKey, .value = boost::json::serialize(row)}}};
        co_await m_table.transact(creation);
        // Whatever the outcome, the row decides: another process may have created it, or the reply was lost.
        rows = co_await m_table.read(keys);
    }
    if (!isOk(rows) || valueOf(rows).empty()) {
        co_return Error{ErrorKind::Unavailable,
                        "the table does not give the row " + RowKey
                            + "; this process leads no shard, runs no task and takes no job until it does: get the "
                              "table back"};
    }
    co_return compare(valueOf(rows).front().value);
}

Status ShardCountCheck::compare(std::string_view value) const
{
    const std::string own = std::to_string(m_options.shards);
    const std::string place = m_options.settingsPath + ": [process] shards: ";
    boost::system::error_code error;
    const boost::json::value row = boost::json::parse(value, error);
    const auto *number = error || !row.is_object() ? nullptr : row.as_object().if_contains("shards");
    if (number == nullptr || !number->is_int64() || number->as_int64() < 1) {
        return Error{ErrorKind::Internal,
                     place + "'" + own + "' cannot be compared with the table's row " + RowKey + ", which is '"
                         + std::string(value)
                         + "'; see 'Changing the number of shards' in docs/OPERATIONS.md and write the row again"};
    }
    if (number->as_int64() != m_options.shards) {
        const std::string expected = std::to_string(number->as_int64());
        return Error{ErrorKind::InvalidArgument,
                     place + "'" + own + "' is not the number of this system; expected " + expected
                         + ", which is in the table's row " + RowKey + "; write 'shards = " + expected
                         + "' and restart, or see 'Changing the number of shards' in docs/OPERATIONS.md"};
    }
    return std::monostate{};
}

bool ShardCountCheck::isVerified() const
{
    return isOk(status());
}

Status ShardCountCheck::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

} // namespace Carobflow
