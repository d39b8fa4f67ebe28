#pragma once

#include "standins/httpserver.h"

#include "carobflow/core/table.h"

#include <deque>
#include <map>

namespace Carobflow::StandIn
{

/// In-memory table service and object store of the platform, with control calls that inject outages, delays and lost
/// replies. Control calls that read rows are not affected by injected faults.
class PlatformStandIn
{
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::uint16_t controlPort = 0;
    };

    PlatformStandIn(boost::asio::io_context &io, const Options &options);

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    [[nodiscard]] std::uint16_t controlPort() const
    {
        return m_controlPort;
    }

private:
    struct SecondCounts {
        std::int64_t second = 0;
        std::uint64_t writes = 0;
        std::uint64_t reads = 0;
    };

    boost::asio::awaitable<ServerReply> serve(const ServerRequest &request);
    boost::asio::awaitable<ServerReply> control(const ServerRequest &request);
    ServerReply apply(const ServerRequest &request);
    ServerReply read(const boost::json::object &body) const;
    ServerReply readRange(const boost::json::object &body) const;
    ServerReply transact(const boost::json::object &body);
    ServerReply object(const ServerRequest &request);
    void count(bool write);
    [[nodiscard]] boost::json::object stats() const;

    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_version = 0;
    std::string m_mode = "up";
    std::string m_downReply = "mixed";
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_dropReplies = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_droppedReplies = 0;
    std::deque<SecondCounts> m_seconds;
    HttpServer m_server;
    HttpServer m_controlServer;
    std::uint16_t m_port;
    std::uint16_t m_controlPort;
};

} // namespace Carobflow::StandIn
