#pragma once

#include "standins/httpserver.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Carobflow::StandIn
{

/// In-memory metadata store of the users: transactions on rows, range reads, and a change feed. Faults are public
/// members that a test sets between calls of the io_context.
class StoreStandIn
{
public:
    explicit StoreStandIn(boost::asio::io_context &io, std::uint16_t port = 0);

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    /// Writes a row of the operators.
    void putOperatorRow(const std::string &key, const std::string &value);
    void removeOperatorRow(const std::string &key);

    /// Discards the change history, so that feeds that start at an earlier version get status 410.
    void forgetHistory();

    /// Writes that were acknowledged or performed without an answer.
    [[nodiscard]] std::uint64_t writes() const
    {
        return m_writes;
    }

    /// Answers 503 to everything.
    bool refusing = false;
    /// Writes that were refused so far.
    std::uint64_t refusedWrites = 0;
    /// Writes beyond the store's limits, which it rejected.
    std::uint64_t oversizedWrites = 0;
    /// Performs this many of the next writes and loses their replies.
    std::uint32_t lostReplies = 0;
    /// Performs this many of the next writes only after a delay, without a reply.
    std::uint32_t lateWrites = 0;
    std::chrono::milliseconds lateBy{1500};
    std::chrono::milliseconds delay{0};

private:
    using Name = std::tuple<std::string, std::string, std::string>;

    struct StoredRow {
        std::string value;
        std::uint64_t version = 0;
    };

    struct Change {
        Name name;
        std::string value;
        bool deleted = false;
        std::uint64_t version = 0;
    };

    boost::asio::awaitable<ServerReply> serve(const ServerRequest &request);
    boost::asio::awaitable<ServerReply> feed(std::map<std::string, std::string> query);
    ServerReply range(std::map<std::string, std::string> query);
    ServerReply transact(const boost::json::object &body);
    void put(const Name &name, std::string value);
    void remove(const Name &name);

    std::map<Name, StoredRow> m_rows;
    std::deque<Change> m_history;
    std::uint64_t m_version = 0;
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_writes = 0;
    HttpServer m_server;
    std::uint16_t m_port;
};

} // namespace Carobflow::StandIn
