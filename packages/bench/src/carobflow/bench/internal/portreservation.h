#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Carobflow::Bench
{

/// Keeps ports for processes that start later. A socket that is bound but does not listen keeps the port from others,
/// while a process that reuses the address can listen on it; so no port is lost between choice and use.
class PortReservation
{
public:
    std::uint16_t reserve();

private:
    boost::asio::io_context m_context;
    std::vector<boost::asio::ip::tcp::socket> m_sockets;
};

} // namespace Carobflow::Bench
