#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Carobflow::Bench
{

/// Reserves ports for processes that start later. A socket that is bound but does not listen keeps the system from
/// assigning its port to another process, while a process that sets SO_REUSEADDR can still listen on it. So no port is
/// taken between reservation and use.
class PortReservation
{
public:
    std::uint16_t reserve();

private:
    boost::asio::io_context m_context;
    std::vector<boost::asio::ip::tcp::socket> m_sockets;
};

} // namespace Carobflow::Bench
