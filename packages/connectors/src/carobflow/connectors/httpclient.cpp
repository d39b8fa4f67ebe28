#include "carobflow/connectors/httpclient.h"

#include "carobflow/connectors/internal/connectionpool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Carobflow
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Detail::Connection;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
/// Beast reads as much as fits into the capacity of the buffer, but only 512 bytes into a new one.
constexpr std::size_t ReadBytes = 16384;

bool isToken(std::string_view text)
{
    constexpr std::string_view special = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || special.find(c) != std::string_view::npos;
    });
}

bool hasControl(std::string_view text)
{
    return std::ranges::any_of(text, [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

/// The reason why a request must not be sent as it is: line breaks in its parts would inject another request. Empty
/// when it is valid.
std::string faultOf(const HttpRequest &request)
{
    if (!isToken(request.method)) {
        return "the method is not a token: use a method such as GET or POST";
    }
    if (!request.target.starts_with('/') || hasControl(request.target)
        || request.target.find_first_of(" \t") != std::string::npos) {
        return "the target is not a path without spaces and control characters: percent-encode it";
    }
    for (const auto &[name, value] : request.headers) {
        if (!isToken(name) || hasControl(value)) {
            return "the header '" + name + "' has a bad name or control characters in its value: remove them";
        }
    }
    return {};
}

http::request<http::string_body> messageOf(const HttpEndpoint &endpoint, HttpRequest request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpoint.host + ":" + std::to_string(endpoint.port));
    for (const auto &[name, value] : request.headers) {
        const auto field = http::string_to_field(name);
        if (field == http::field::host) {
            message.set(field, value);
        } else if (field != http::field::content_length && field != http::field::transfer_encoding
                   && field != http::field::connection) {
            message.insert(name, value);
        }
    }
    message.body() = std::move(request.body);
    const auto method = message.method();
    if (!message.body().empty() || method == http::verb::post || method == http::verb::put
        || method == http::verb::patch) {
        message.content_length(message.body().size());
    }
    return message;
}

HttpAnswer answerOf(http::response<http::string_body> message)
{
    HttpAnswer answer;
    answer.status = message.result_int();
    for (const auto &field : message) {
        answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    answer.body = std::move(message.body());
    return answer;
}

bool isTimeout(const error_code &error)
{
    return error == beast::error::timeout;
}

} // namespace

std::string_view HttpAnswer::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [&](const auto &header) {
        return beast::iequals({header.name.data(), header.name.size()}, {name.data(), name.size()});
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

class HttpClient::Private : public std::enable_shared_from_this<HttpClient::Private>
{
public:
    Private(asio::any_io_executor executor, Options options)
        : m_executor(std::move(executor))
        , m_options(options)
        , m_pool(options.maxIdlePerEndpoint, options.idleTimeout)
    {
    }

    /// Runs on the strand of the connection and keeps this object alive until it ends.
    asio::awaitable<HttpOutcome> exchange(std::shared_ptr<Private>,
                                          std::unique_ptr<Connection> connection,
                                          HttpEndpoint endpoint,
                                          HttpRequest request)
    {
        auto &stream = connection->stream;
        stream.expires_after(request.timeout);
        if (!stream.socket().is_open()) {
            auto failure = co_await connect(*connection, endpoint);
            if (failure) {
                co_return std::move(*failure);
            }
        }
        const bool isHead = request.method == "HEAD";
        const auto message = messageOf(endpoint, std::move(request));
        const auto [error, sent] = co_await http::async_write(stream, message, Tuple);
        if (error) {
            m_pool.drop(endpoint);
            if (sent == 0) {
                co_return HttpNotSent{"sending failed: " + error.message(), isTimeout(error)};
            }
            co_return HttpUnanswered{"sending was cut short: " + error.message(), isTimeout(error)};
        }
        auto outcome = co_await receive(*connection, isHead);
        if (std::holds_alternative<HttpUnanswered>(outcome.outcome)) {
            // What silenced or broke this connection has most likely affected the other idle connections of the
            // endpoint.
            m_pool.drop(endpoint);
        } else if (outcome.reusable) {
            stream.expires_never();
            m_pool.put(endpoint, std::move(connection), std::chrono::steady_clock::now());
        }
        co_return std::move(outcome.outcome);
    }

    std::unique_ptr<Connection> connectionTo(const HttpEndpoint &endpoint)
    {
        auto connection = m_pool.take(endpoint, std::chrono::steady_clock::now());
        return connection ? std::move(connection) : std::make_unique<Connection>(m_executor);
    }

private:
    struct Received {
        HttpOutcome outcome;
        bool reusable = false;
    };

    static asio::awaitable<std::optional<HttpOutcome>> connect(Connection &connection, const HttpEndpoint &endpoint)
    {
        error_code error;
        const auto address = asio::ip::make_address(endpoint.host, error);
        if (error) {
            co_return HttpNotSent{"the host '" + endpoint.host + "' is not an IP address: use an IP address"};
        }
        const asio::ip::tcp::endpoint target(address, endpoint.port);
        const auto [failure] = co_await connection.stream.async_connect(target, Tuple);
        if (failure) {
            co_return HttpNotSent{"no connection to " + endpoint.host + ":" + std::to_string(endpoint.port) + ": "
                                      + failure.message(),
                                  isTimeout(failure)};
        }
        connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        co_return std::nullopt;
    }

    asio::awaitable<Received> receive(Connection &connection, bool isHead) const
    {
        beast::flat_buffer buffer(m_options.maxHeaderBytes + m_options.maxBodyBytes);
        buffer.reserve(ReadBytes);
        for (;;) {
            http::response_parser<http::string_body> parser;
            parser.header_limit(static_cast<std::uint32_t>(m_options.maxHeaderBytes));
            parser.body_limit(m_options.maxBodyBytes);
            parser.skip(isHead);
            const auto [headerError, headerBytes] = co_await http::async_read_header(
                connection.stream, buffer, parser, Tuple);
            if (headerError) {
                co_return Received{HttpUnanswered{"no answer: " + headerError.message(), isTimeout(headerError)}};
            }
            if (parser.get().result_int() / 100 == 1) {
                continue; // An interim response; the final one follows.
            }
            if (!parser.is_done() && parser.need_eof()) {
                co_return Received{HttpUnanswered{"the answer has neither Content-Length nor chunked encoding"}};
            }
            if (!parser.is_done()) {
                const auto [bodyError, bodyBytes] = co_await http::async_read(connection.stream, buffer, parser, Tuple);
                if (bodyError) {
                    co_return Received{
                        HttpUnanswered{"the answer was cut short: " + bodyError.message(), isTimeout(bodyError)}};
                }
            }
            const bool reusable = parser.get().keep_alive() && buffer.size() == 0;
            co_return Received{answerOf(parser.release()), reusable};
        }
    }

    asio::any_io_executor m_executor;
    Options m_options;
    Detail::ConnectionPool m_pool;
};

HttpClient::HttpClient(asio::any_io_executor executor)
    : HttpClient(std::move(executor), Options{})
{
}

HttpClient::HttpClient(asio::any_io_executor executor, Options options)
    : m_private(std::make_shared<Private>(std::move(executor), options))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpOutcome> HttpClient::call(HttpEndpoint endpoint, HttpRequest request)
{
    auto fault = faultOf(request);
    if (!fault.empty()) {
        co_return HttpNotSent{std::move(fault)};
    }
    const auto self = m_private;
    auto connection = self->connectionTo(endpoint);
    const auto strand = connection->stream.get_executor();
    auto exchange = self->exchange(self, std::move(connection), std::move(endpoint), std::move(request));
    // Without a cancellation slot: Asio 1.81 passes a cancellation to another executor by a pointer that may dangle.
    co_return co_await asio::co_spawn(
        strand, std::move(exchange), asio::bind_cancellation_slot(asio::cancellation_slot(), asio::use_awaitable));
}

} // namespace Carobflow
