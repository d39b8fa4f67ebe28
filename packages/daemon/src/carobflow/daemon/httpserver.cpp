#include "carobflow/daemon/httpserver.h"

#include "carobflow/logging/log.h"

#include <mutex>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Carobflow
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

std::string_view findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (beast::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

namespace
{

http::response<http::string_body> toBeast(HttpServerResponse response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message{static_cast<http::status>(response.status), version};
    for (const auto &[name, value] : response.headers) {
        // The framing headers are set by prepare_payload.
        if (!beast::iequals(name, "Content-Length") && !beast::iequals(name, "Transfer-Encoding")
            && !beast::iequals(name, "Connection") && !beast::iequals(name, "Keep-Alive")) {
            message.insert(name, value);
        }
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

HttpServerRequest fromBeast(http::request<http::string_body> &&message)
{
    HttpServerRequest request{.method = std::string(message.method_string()),
                              .target = std::string(message.target()),
                              .headers = {},
                              .body = std::move(message.body()),
                              .receivedAt = std::chrono::steady_clock::now()};
    for (const auto &field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return request;
}

} // namespace

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(const asio::any_io_executor &executor, Options options, Handler handler)
        : m_executor(executor)
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_acceptor(asio::make_strand(executor))
    {
    }

    Status start()
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(m_options.endpoint.address, error);
        const tcp::endpoint endpoint(address, m_options.endpoint.port);
        if (!error) {
            m_acceptor.open(endpoint.protocol(), error);
        }
        if (!error) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return Error{ErrorKind::Unavailable,
                         "cannot listen on " + m_options.endpoint.toString() + ": " + error.message()
                             + "; free the port or change [listen] http"};
        }
        m_port = m_acceptor.local_endpoint().port();
        asio::co_spawn(m_acceptor.get_executor(), accept(shared_from_this()), asio::detached);
        return std::monostate{};
    }

    asio::awaitable<void> drain()
    {
        m_closing = true;
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ignored;
            self->m_acceptor.close(ignored);
        });
        closeIdle();
        asio::steady_timer timer(m_executor);
        while (m_inProgress > 0 || m_connectionCount > 0) {
            timer.expires_after(Milliseconds(10));
            co_await timer.async_wait(asio::use_awaitable);
            closeIdle();
        }
    }

    std::uint16_t m_port = 0;
    std::atomic<bool> m_closing{false};
    std::atomic<std::uint32_t> m_inProgress{0};

private:
    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        {
        }

        beast::tcp_stream stream;
        /// True while the connection waits for the first byte of a request.
        std::atomic<bool> idle{true};
    };

    static asio::awaitable<void> accept(std::shared_ptr<Private> self)
    {
        for (;;) {
            boost::system::error_code error;
            tcp::socket socket = co_await self->m_acceptor.async_accept(
                asio::make_strand(self->m_executor), asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
                co_return;
            }
            if (error) {
                // For example out of file descriptors: wait until connections have ended.
                logWarning("accept-failed").with("error", error.message());
                asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds(50));
                co_await timer.async_wait(asio::use_awaitable);
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            auto connection = std::make_shared<Connection>(std::move(socket));
            self->add(connection);
            asio::co_spawn(connection->stream.get_executor(), serve(self, connection), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<Private> self, std::shared_ptr<Connection> connection)
    {
        try {
            beast::flat_buffer buffer;
            while (co_await serveRequest(*self, *connection, buffer)) {
            }
        } catch (const std::exception &exception) {
            logDebug("connection-ended").with("error", exception.what());
        }
        boost::system::error_code ignored;
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        connection->stream.close();
        self->remove(connection);
    }

    /// Serves one request. Returns false when the connection is to be closed.
    static asio::awaitable<bool> serveRequest(Private &self, Connection &connection, beast::flat_buffer &buffer)
    {
        boost::system::error_code error;
        http::request_parser<http::string_body> parser;
        parser.body_limit(self.m_options.maxBodyBytes);
        connection.stream.expires_after(self.m_options.idleTimeout);
        connection.idle = buffer.size() == 0;
        co_await http::async_read_some(
            connection.stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        connection.idle = false;
        const InProgress inProgress(self);
        if (!error && !parser.is_done()) {
            co_await http::async_read(
                connection.stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            co_await refuseUnreadable(connection, error);
            co_return false;
        }
        connection.stream.expires_never();
        auto message = parser.release();
        const unsigned version = message.version();
        const bool wantsKeepAlive = message.keep_alive();
        HttpServerResponse response = co_await self.m_handler(fromBeast(std::move(message)));
        const bool keepAlive = wantsKeepAlive && !self.m_closing;
        auto reply = toBeast(std::move(response), version, keepAlive);
        connection.stream.expires_after(self.m_options.idleTimeout);
        co_await http::async_write(connection.stream, reply, asio::redirect_error(asio::use_awaitable, error));
        co_return !error && keepAlive;
    }

    static asio::awaitable<void> refuseUnreadable(Connection &connection, boost::system::error_code error)
    {
        if (error == http::error::end_of_stream || error == asio::error::operation_aborted
            || error == beast::error::timeout || error == asio::error::connection_reset) {
            co_return;
        }
        const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit;
        HttpServerResponse response{.status = tooLarge ? 413U : 400U,
                                    .headers = {{"Carobflow-Outcome", "not-run"}},
                                    .body = "the request cannot be read: " + error.message() + "\n"};
        auto reply = toBeast(std::move(response), 11, false);
        boost::system::error_code ignored;
        co_await http::async_write(connection.stream, reply, asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Counts a request as in progress from its first byte until its response has been written.
    class InProgress
    {
    public:
        explicit InProgress(Private &server)
            : m_server(server)
        {
            ++m_server.m_inProgress;
        }

        ~InProgress()
        {
            --m_server.m_inProgress;
        }

        InProgress(const InProgress &) = delete;
        InProgress &operator=(const InProgress &) = delete;

    private:
        Private &m_server;
    };

    void add(const std::shared_ptr<Connection> &connection)
    {
        ++m_connectionCount;
        const std::lock_guard lock(m_mutex);
        m_openConnections.insert(connection);
    }

    void remove(const std::shared_ptr<Connection> &connection)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_openConnections.erase(connection);
        }
        --m_connectionCount;
    }

    void closeIdle()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_openConnections) {
            asio::post(connection->stream.get_executor(), [connection] {
                // A request that has begun to arrive is read and answered; closing now would abort it.
                boost::system::error_code ignored;
                if (connection->idle && connection->stream.socket().available(ignored) == 0) {
                    connection->stream.cancel();
                }
            });
        }
    }

    asio::any_io_executor m_executor;
    Options m_options;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::atomic<std::uint32_t> m_connectionCount{0};
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_openConnections;
};

HttpServer::HttpServer(const asio::any_io_executor &executor, Options options, Handler handler)
    : d(std::make_shared<Private>(executor, std::move(options), std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

Status HttpServer::start()
{
    return d->start();
}

std::uint16_t HttpServer::port() const
{
    return d->m_port;
}

void HttpServer::closeAfterResponses()
{
    d->m_closing = true;
}

asio::awaitable<void> HttpServer::drain()
{
    return d->drain();
}

std::uint32_t HttpServer::inProgress() const
{
    return d->m_inProgress;
}

} // namespace Carobflow
