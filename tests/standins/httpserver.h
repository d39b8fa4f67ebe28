#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>

namespace Carobflow::StandIn
{

using ServerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// How a response is delivered: complete, truncated in the middle of the body, or not at all (the connection closes).
enum class Delivery { Whole, Truncated, None };

struct ServerReply {
    unsigned status = 200;
    std::string body = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
    Delivery delivery = Delivery::Whole;
};

/// An HTTP/1.1 server on a single-threaded io_context. An exception thrown by the handler results in status 400.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<ServerReply>(const ServerRequest &)>;

    HttpServer(boost::asio::io_context &io, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens on an IP address; port 0 lets the system choose. Returns the port.
    std::uint16_t listen(const std::string &address, std::uint16_t port);

    /// The highest number of connections that were open at the same time.
    [[nodiscard]] std::size_t maxConnections() const;

private:
    struct Core;
    std::shared_ptr<Core> m_core;
};

ServerReply jsonReply(unsigned status, const boost::json::value &body);

/// Parses the body of a request; throws when it is not a JSON object. An empty body is an empty object.
boost::json::object objectOf(const ServerRequest &request);

/// The number under a name, or the fallback when there is none.
std::int64_t numberOr(const boost::json::object &object, std::string_view name, std::int64_t fallback);

/// The text under a name, or the fallback when there is none.
std::string textOr(const boost::json::object &object, std::string_view name, std::string_view fallback);

boost::asio::awaitable<void> sleepFor(std::chrono::steady_clock::duration duration);

/// Milliseconds on the monotonic clock, which all processes of one machine share.
std::int64_t clockMilliseconds();

/// Parses "address:port"; throws when it is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

} // namespace Carobflow::StandIn
