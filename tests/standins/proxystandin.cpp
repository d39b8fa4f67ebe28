#include "standins/proxystandin.h"

#include <array>
#include <set>
#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds HoldPollInterval{5};
const std::set<std::string> Modes{"pass", "delay", "cut", "freeze", "silent", "drop-replies"};

} // namespace

/// Both sockets of one proxied connection.
struct ProxyStandIn::Link {
    tcp::socket client;
    tcp::socket target;
    bool silent = false;

    void close(bool reset)
    {
        for (auto *socket : {&client, &target}) {
            error_code ignored;
            if (reset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
    }
};

struct ProxyStandIn::Route {
    explicit Route(asio::io_context &io)
        : acceptor(io)
    {
    }

    tcp::acceptor acceptor;
    tcp::endpoint listen;
    tcp::endpoint target;
    std::string mode = "pass";
    std::chrono::microseconds delay{0};
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesFromTarget = 0;
    std::set<std::shared_ptr<Link>> links;

    void count(bool towardsTarget, std::size_t bytes)
    {
        (towardsTarget ? bytesToTarget : bytesFromTarget) += bytes;
    }

    /// Binds the port. A bound socket that does not listen refuses connections and keeps the port for later.
    void bind()
    {
        acceptor.open(listen.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(listen);
        listen = acceptor.local_endpoint();
    }
};

ProxyStandIn::ProxyStandIn(asio::io_context &io, Options options)
    : m_io(io)
    , m_options(std::move(options))
    , m_controlServer(io, [this](const ServerRequest &request) { return control(request); })
    , m_controlPort(m_controlServer.listen(m_options.address, m_options.controlPort))
{
}

ProxyStandIn::~ProxyStandIn()
{
    for (auto &[name, route] : m_routes) {
        error_code ignored;
        route->acceptor.close(ignored);
    }
}

std::uint16_t ProxyStandIn::addRoute(const std::string &name, std::uint16_t port, const std::string &target)
{
    auto route = std::make_shared<Route>(m_io);
    route->target = parseEndpoint(target);
    route->listen = tcp::endpoint(asio::ip::make_address(m_options.address), port);
    route->bind();
    route->acceptor.listen();
    m_routes[name] = route;
    asio::co_spawn(m_io, accept(route), asio::detached);
    return route->listen.port();
}

void ProxyStandIn::setMode(const std::string &name, const std::string &mode, std::chrono::microseconds delay)
{
    if (!Modes.contains(mode)) {
        throw std::invalid_argument("mode is not pass, delay, cut, freeze, silent or drop-replies");
    }
    for (auto &[routeName, route] : m_routes) {
        if (name != "*" && name != routeName) {
            continue;
        }
        const bool wasCut = route->mode == "cut";
        route->mode = mode == "silent" ? "pass" : mode;
        route->delay = delay;
        if (mode == "silent") {
            for (const auto &link : route->links) {
                link->silent = true;
            }
        } else if (mode == "cut" && !wasCut) {
            for (const auto &link : std::exchange(route->links, {})) {
                link->close(true);
            }
            route->acceptor.close();
            route->bind();
        }
        if (wasCut && mode != "cut") {
            route->acceptor.listen();
            asio::co_spawn(m_io, accept(route), asio::detached);
        }
    }
}

asio::awaitable<void> ProxyStandIn::accept(std::shared_ptr<Route> route)
{
    for (;;) {
        auto [error, socket] = co_await route->acceptor.async_accept(Tuple);
        if (error) {
            co_return;
        }
        asio::co_spawn(route->acceptor.get_executor(), connect(route, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> ProxyStandIn::connect(std::shared_ptr<Route> route, tcp::socket client)
{
    const auto executor = client.get_executor();
    auto link = std::make_shared<Link>(Link{.client = std::move(client), .target = tcp::socket(executor)});
    route->links.insert(link);
    const auto [error] = co_await link->target.async_connect(route->target, Tuple);
    if (error) {
        link->close(true);
        route->links.erase(link);
        co_return;
    }
    asio::co_spawn(executor, pump(route, link, true), asio::detached);
    asio::co_spawn(executor, pump(route, link, false), asio::detached);
}

asio::awaitable<void> ProxyStandIn::pump(std::shared_ptr<Route> route, std::shared_ptr<Link> link, bool towardsTarget)
{
    auto &from = towardsTarget ? link->client : link->target;
    auto &to = towardsTarget ? link->target : link->client;
    std::array<char, 16384> bytes{};
    for (;;) {
        const auto [readError, count] = co_await from.async_read_some(asio::buffer(bytes), Tuple);
        route->count(towardsTarget, count);
        if (route->mode == "delay") {
            co_await sleepFor(route->delay);
        }
        while (route->mode == "freeze" && !link->silent) {
            co_await sleepFor(HoldPollInterval);
        }
        if (link->silent) {
            // Nothing is passed on to the other end, not even that this end has closed.
            if (readError) {
                from.close();
                break;
            }
            continue;
        }
        if (readError == asio::error::eof) {
            error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            break;
        }
        if (readError || (!towardsTarget && route->mode == "drop-replies")) {
            link->close(true);
            break;
        }
        const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(bytes, count), Tuple);
        if (writeError) {
            link->close(true);
            break;
        }
    }
    route->links.erase(link);
}

asio::awaitable<ServerReply> ProxyStandIn::control(const ServerRequest &request)
{
    const auto body = objectOf(request);
    const auto name = textOr(body, "route", "*");
    const auto target = textOr(body, "target", "");
    json::object reply;
    const auto found = m_routes.find(name);
    if (!target.empty() && found != m_routes.end()) {
        found->second->target = parseEndpoint(target);
    } else if (!target.empty()) {
        addRoute(name, static_cast<std::uint16_t>(numberOr(body, "listen", 0)), target);
    } else if (found == m_routes.end() && name != "*") {
        throw std::invalid_argument("there is no route '" + name + "', give it a target to add it");
    }
    if (body.contains("mode")) {
        const std::chrono::milliseconds delay(numberOr(body, "delayMs", 0));
        setMode(name, textOr(body, "mode", ""), delay + std::chrono::microseconds(numberOr(body, "delayUs", 0)));
    }
    for (const auto &[routeName, route] : m_routes) {
        reply[routeName] = json::object{{"port", route->listen.port()},
                                        {"links", route->links.size()},
                                        {"bytesToTarget", route->bytesToTarget},
                                        {"bytesFromTarget", route->bytesFromTarget}};
    }
    co_return jsonReply(200, reply);
}

} // namespace Carobflow::StandIn
