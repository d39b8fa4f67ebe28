#include "carobflow/bench/internal/portreservation.h"

namespace Carobflow::Bench
{

using boost::asio::ip::tcp;

std::uint16_t PortReservation::reserve()
{
    tcp::socket &socket = m_sockets.emplace_back(m_context, tcp::v4());
    socket.set_option(tcp::socket::reuse_address(true));
    socket.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return socket.local_endpoint().port();
}

} // namespace Carobflow::Bench
