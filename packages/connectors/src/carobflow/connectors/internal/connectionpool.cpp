#include "carobflow/connectors/internal/connectionpool.h"

#include <array>

namespace Carobflow::Detail
{

namespace
{

/// True when the server has neither closed the connection nor sent unsolicited bytes.
bool isQuietAndOpen(Connection &connection)
{
    std::array<char, 1> byte{};
    boost::system::error_code error;
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, error);
    if (error) {
        return false;
    }
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace

ConnectionPool::ConnectionPool(std::size_t maxIdlePerEndpoint, Duration idleTimeout)
    : m_maxIdlePerEndpoint(maxIdlePerEndpoint)
    , m_idleTimeout(idleTimeout)
{
}

std::unique_ptr<Connection> ConnectionPool::take(const HttpEndpoint &endpoint, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find({endpoint.host, endpoint.port});
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->idleSince <= m_idleTimeout && isQuietAndOpen(*connection)) {
            return connection;
        }
    }
    m_idle.erase(found);
    return nullptr;
}

void ConnectionPool::put(const HttpEndpoint &endpoint, std::unique_ptr<Connection> connection, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [&](const auto &idle) { return now - idle->idleSince > m_idleTimeout; });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    if (m_maxIdlePerEndpoint == 0) {
        return;
    }
    auto &idle = m_idle[{endpoint.host, endpoint.port}];
    if (idle.size() < m_maxIdlePerEndpoint) {
        connection->idleSince = now;
        idle.push_back(std::move(connection));
    }
}

void ConnectionPool::drop(const HttpEndpoint &endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase({endpoint.host, endpoint.port});
}

} // namespace Carobflow::Detail
