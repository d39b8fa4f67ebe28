#pragma once

#include "standins/httpserver.h"

#include <map>
#include <memory>
#include <string>

namespace Carobflow::StandIn
{

/// A TCP proxy that injects faults into the connections of its routes.
class ProxyStandIn
{
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t controlPort = 0;
    };

    ProxyStandIn(boost::asio::io_context &io, Options options);
    ~ProxyStandIn();

    /// Adds a route from a port (0 lets the system choose) to an address and port. Returns the port.
    std::uint16_t addRoute(const std::string &name, std::uint16_t port, const std::string &target);

    /// Sets the mode of a route, or of all for the name "*": pass, delay (each chunk), cut (reset and refuse), freeze
    /// (hold until pass), silent (open connections go silent for good, new ones pass) or drop-replies (close at the
    /// first reply).
    void setMode(const std::string &name, const std::string &mode, std::chrono::microseconds delay);

    [[nodiscard]] std::uint16_t controlPort() const
    {
        return m_controlPort;
    }

private:
    struct Route;
    struct Link;

    boost::asio::awaitable<ServerReply> control(const ServerRequest &request);
    static boost::asio::awaitable<void> accept(std::shared_ptr<Route> route);
    static boost::asio::awaitable<void> connect(std::shared_ptr<Route> route, boost::asio::ip::tcp::socket client);
    static boost::asio::awaitable<void>
    pump(std::shared_ptr<Route> route, std::shared_ptr<Link> link, bool towardsTarget);

    boost::asio::io_context &m_io;
    Options m_options;
    std::map<std::string, std::shared_ptr<Route>> m_routes;
    HttpServer m_controlServer;
    std::uint16_t m_controlPort;
};

} // namespace Carobflow::StandIn
