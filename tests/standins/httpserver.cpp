#include "standins/httpserver.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 64UL * 1024 * 1024;

} // namespace

/// Shared with the coroutines of the connections, which may outlive the server object.
struct HttpServer::Core {
    Core(asio::io_context &io, Handler requestHandler)
        : acceptor(io)
        , handler(std::move(requestHandler))
    {
    }

    asio::awaitable<ServerReply> handle(const ServerRequest &request) const
    {
        std::string fault;
        try {
            co_return co_await handler(request);
        } catch (const std::exception &exception) {
            fault = exception.what();
        }
        co_return jsonReply(400, json::object{{"error", fault}});
    }

    static asio::awaitable<void> serve(std::shared_ptr<Core> core, tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaxBodyBytes);
            const auto [readError, received] = co_await http::async_read(socket, buffer, parser, Tuple);
            if (readError) {
                co_return;
            }
            const auto request = parser.release();
            auto reply = co_await core->handle(request);
            if (reply.delivery == Delivery::None) {
                co_return;
            }
            http::response<http::string_body> response;
            response.version(11);
            response.result(reply.status);
            for (const auto &[name, value] : reply.headers) {
                response.set(name, value);
            }
            response.body() = std::move(reply.body);
            response.prepare_payload();
            response.keep_alive(request.keep_alive());
            std::ostringstream text;
            text << response;
            auto bytes = text.str();
            if (reply.delivery == Delivery::Truncated) {
                bytes.resize(bytes.size() - (response.body().size() + 1) / 2);
            }
            const auto [writeError, sent] = co_await asio::async_write(socket, asio::buffer(bytes), Tuple);
            if (writeError || !request.keep_alive() || reply.delivery == Delivery::Truncated) {
                co_return;
            }
        }
    }

    static asio::awaitable<void> accept(std::shared_ptr<Core> core)
    {
        while (core->acceptor.is_open()) {
            auto [error, socket] = co_await core->acceptor.async_accept(Tuple);
            if (error) {
                continue;
            }
            core->maxConnections = std::max(core->maxConnections, ++core->connections);
            asio::co_spawn(
                core->acceptor.get_executor(), serve(core, std::move(socket)), [core](auto) { --core->connections; });
        }
    }

    tcp::acceptor acceptor;
    Handler handler;
    std::size_t connections = 0;
    std::size_t maxConnections = 0;
};

HttpServer::HttpServer(asio::io_context &io, Handler handler)
    : m_core(std::make_shared<Core>(io, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    boost::system::error_code ignored;
    m_core->acceptor.close(ignored);
}

std::uint16_t HttpServer::listen(const std::string &address, std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    auto &acceptor = m_core->acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    asio::co_spawn(acceptor.get_executor(), Core::accept(m_core), asio::detached);
    return acceptor.local_endpoint().port();
}

std::size_t HttpServer::maxConnections() const
{
    return m_core->maxConnections;
}

ServerReply jsonReply(unsigned status, const json::value &body)
{
    return {.status = status, .body = json::serialize(body), .headers = {{"Content-Type", "application/json"}}};
}

json::object objectOf(const ServerRequest &request)
{
    return request.body().empty() ? json::object() : json::parse(request.body()).as_object();
}

std::int64_t numberOr(const json::object &object, std::string_view name, std::int64_t fallback)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr ? value->to_number<std::int64_t>() : fallback;
}

std::string textOr(const json::object &object, std::string_view name, std::string_view fallback)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value != nullptr ? json::value_to<std::string>(*value) : std::string(fallback);
}

asio::awaitable<void> sleepFor(std::chrono::steady_clock::duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

std::int64_t clockMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("'" + text + "' is not address:port, write for example 127.0.0.1:8080");
    }
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

} // namespace Carobflow::StandIn
