#pragma once

#include "carobflow/connectors/httpclient.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Carobflow::Detail
{

/// A connection on its own strand, because the timer of a Beast stream must not run concurrently with its operations.
struct Connection {
    explicit Connection(const boost::asio::any_io_executor &executor)
        : stream(boost::asio::make_strand(executor))
    {
    }

    boost::beast::tcp_stream stream;
    TimePoint idleSince{};
};

/// Idle connections by endpoint. Safe to call from several threads.
class ConnectionPool
{
public:
    ConnectionPool(std::size_t maxIdlePerEndpoint, Duration idleTimeout);

    /// Takes the most recently used connection that is still open and has no unread bytes; null when there is none.
    std::unique_ptr<Connection> take(const HttpEndpoint &endpoint, TimePoint now);

    /// Keeps a connection for later calls, or closes it when there are enough.
    void put(const HttpEndpoint &endpoint, std::unique_ptr<Connection> connection, TimePoint now);

    /// Closes all idle connections to an endpoint.
    void drop(const HttpEndpoint &endpoint);

private:
    using Key = std::pair<std::string, std::uint16_t>;

    std::size_t m_maxIdlePerEndpoint;
    Duration m_idleTimeout;
    std::mutex m_mutex;
    std::map<Key, std::vector<std::unique_ptr<Connection>>> m_idle;
};

} // namespace Carobflow::Detail
