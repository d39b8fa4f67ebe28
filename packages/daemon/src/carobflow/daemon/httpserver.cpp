#include "carobflow/daemon/httpserver.h"

#include "carobflow/daemon/internal/connectionbudget.h"
#include "carobflow/daemon/internal/limitreport.h"
#include "carobflow/daemon/internal/requestreader.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <array>
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

/// Read by an idle connection without a buffer of its own.
constexpr std::size_t FirstReadBytes = 512;
constexpr std::size_t ReadBytes = 8192;
/// A request waits this often, for this long, until others that were ended have given back their bytes.
constexpr int HoldAttempts = 20;
constexpr Milliseconds HoldPause{10};

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

/// The response to a request that was not passed to the handler.
http::response<http::string_body> notRun(unsigned status, std::string_view message)
{
    HttpServerResponse response{
        .status = status, .headers = {{"Carobflow-Outcome", "not-run"}}, .body = std::string(message) + "\n"};
    if (status == 503) {
        response.headers.emplace_back("Retry-After", "1");
    }
    return toBeast(std::move(response), 11, false);
}

HttpServerRequest fromBeast(http::request<ReceivedBody> &&message)
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
        , m_readerOptions{.maxHeaderBytes = static_cast<std::uint32_t>(m_options.limits.headerBytes),
                          .maxBodyBytes = m_options.maxBodyBytes}
        , m_budget(static_cast<std::uint64_t>(m_options.limits.readingBytes))
        , m_report(m_options.endpoint.toString(), m_options.onLimit)
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
    enum class State { Idle, Reading, Handling, Writing };

    struct Connection {
        explicit Connection(tcp::socket socket)
            : stream(std::move(socket))
        {
        }

        /// Enters a state, or stays in it with new bytes.
        void enter(State next)
        {
            state = next;
            activeAt = std::chrono::steady_clock::now();
        }

        beast::tcp_stream stream;
        /// Idle while the connection waits for the first byte of a request.
        std::atomic<State> state{State::Idle};
        std::atomic<TimePoint> activeAt{std::chrono::steady_clock::now()};
        /// True when the connection has to end because a limit was reached.
        std::atomic<bool> evicted{false};
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
                self->evictIdlest([](State) { return true; });
                asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds(50));
                co_await timer.async_wait(asio::use_awaitable);
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            if (self->isFull()) {
                self->m_report.record(ClientLimit::Connections);
                if (!self->evictIdlest([](State) { return true; })) {
                    continue;
                }
            }
            auto connection = std::make_shared<Connection>(std::move(socket));
            self->add(connection);
            asio::co_spawn(connection->stream.get_executor(), serve(self, connection), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<Private> self, std::shared_ptr<Connection> connection)
    {
        try {
            beast::flat_buffer buffer(RequestReader::maxBufferBytes(self->m_readerOptions));
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
        if (buffer.size() == 0 && !co_await awaitRequest(self, connection, buffer)) {
            co_return false;
        }
        connection.enter(State::Reading);
        const InProgress inProgress(self);
        ConnectionBudget::Share share(self.m_budget);
        http::request<ReceivedBody> message;
        if (!co_await readRequest(self, connection, buffer, share, message)) {
            co_return false;
        }
        connection.enter(State::Handling);
        connection.stream.expires_never();
        const unsigned version = message.version();
        const bool wantsKeepAlive = message.keep_alive();
        HttpServerResponse response = co_await self.m_handler(fromBeast(std::move(message)));
        const bool keepAlive = wantsKeepAlive && !self.m_closing;
        const bool written = co_await write(self, connection, toBeast(std::move(response), version, keepAlive));
        co_return written &&keepAlive;
    }

    /// Waits for the first bytes of a request. An idle connection holds no buffer. Returns false when none come.
    static asio::awaitable<bool> awaitRequest(Private &self, Connection &connection, beast::flat_buffer &buffer)
    {
        buffer.shrink_to_fit();
        connection.enter(State::Idle);
        connection.stream.expires_after(self.m_options.limits.idleTime);
        std::array<char, FirstReadBytes> first;
        boost::system::error_code error;
        const std::size_t count = co_await connection.stream.async_read_some(
            asio::buffer(first), asio::redirect_error(asio::use_awaitable, error));
        if (error || connection.evicted) {
            co_return false;
        }
        buffer.commit(asio::buffer_copy(buffer.prepare(count), asio::buffer(first, count)));
        co_return true;
    }

    /// Reads one request within the limits; the share holds its bytes. Returns false when it cannot be read.
    static asio::awaitable<bool> readRequest(Private &self,
                                             Connection &connection,
                                             beast::flat_buffer &buffer,
                                             ConnectionBudget::Share &share,
                                             http::request<ReceivedBody> &message)
    {
        const ClientLimits &limits = self.m_options.limits;
        const TimePoint began = std::chrono::steady_clock::now();
        RequestReader reader(self.m_readerOptions, buffer);
        boost::system::error_code error;
        while (!reader.parse(error) && !error) {
            if (!co_await self.hold(connection, share, reader.heldBytes() + ReadBytes)) {
                co_return false;
            }
            const bool hasHeader = reader.hasHeader();
            connection.stream.expires_at(began + (hasHeader ? limits.requestTime : limits.headerTime));
            const std::size_t room = std::min(ReadBytes, buffer.max_size() - buffer.size());
            const std::size_t count = co_await connection.stream.async_read_some(
                buffer.prepare(room), asio::redirect_error(asio::use_awaitable, error));
            buffer.commit(count);
            if (error == beast::error::timeout) {
                self.m_report.record(hasHeader ? ClientLimit::RequestTime : ClientLimit::HeaderTime);
            }
            if (error == asio::error::eof && !connection.evicted) {
                error = http::error::partial_message;
                break;
            }
            if (error || connection.evicted) {
                co_return false;
            }
            connection.enter(State::Reading);
        }
        if (error) {
            co_await refuseUnreadable(self, connection, error);
            co_return false;
        }
        const bool held = co_await self.hold(connection, share, reader.heldBytes());
        if (held) {
            message = reader.release();
        }
        co_return held;
    }

    /// Resizes the share of a request. While the budget is used up, the requests from which nothing has come for
    /// longest are ended. Returns false when there is still no room, and then answers that the request has not run.
    asio::awaitable<bool> hold(Connection &connection, ConnectionBudget::Share &share, std::uint64_t bytes)
    {
        for (int attempt = 0; attempt < HoldAttempts; ++attempt) {
            if (share.resize(bytes)) {
                co_return true;
            }
            if (connection.evicted) {
                co_return false;
            }
            connection.enter(State::Reading);
            if (attempt == 0) {
                m_report.record(ClientLimit::ReadingBytes);
            }
            evictIdlest([](State state) { return state == State::Reading || state == State::Writing; }, &connection);
            asio::steady_timer timer(co_await asio::this_coro::executor, HoldPause);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await write(*this, connection, notRun(503, "too many requests are being read; try again in a second"));
        co_return false;
    }

    static asio::awaitable<bool>
    write(Private &self, Connection &connection, http::response<http::string_body> response)
    {
        boost::system::error_code error;
        connection.enter(State::Writing);
        connection.stream.expires_after(self.m_options.limits.writeTime);
        co_await http::async_write(connection.stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error == beast::error::timeout) {
            self.m_report.record(ClientLimit::WriteTime);
        }
        co_return !error && !connection.evicted;
    }

    static asio::awaitable<void>
    refuseUnreadable(Private &self, Connection &connection, boost::system::error_code error)
    {
        unsigned status = 400;
        if (error == http::error::body_limit) {
            status = 413;
            self.m_report.record(ClientLimit::BodyBytes);
        } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
            status = 431;
            self.m_report.record(ClientLimit::HeaderBytes);
        }
        co_await write(self, connection, notRun(status, "the request cannot be read: " + error.message()));
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

    bool isFull()
    {
        const std::lock_guard lock(m_mutex);
        return m_openConnections.size() >= static_cast<std::size_t>(m_options.limits.connections);
    }

    /// Ends the connection that has been inactive longest, of those in an accepted state. Requests that are being
    /// handled are never ended, because they may have run. Returns false when there is no such connection.
    bool evictIdlest(bool (*accepts)(State), const Connection *except = nullptr)
    {
        std::shared_ptr<Connection> idlest;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &connection : m_openConnections) {
                const State state = connection->state;
                if (connection.get() != except && state != State::Handling && accepts(state)
                    && (!idlest || connection->activeAt.load() < idlest->activeAt.load())) {
                    idlest = connection;
                }
            }
            if (!idlest) {
                return false;
            }
            m_openConnections.erase(idlest);
        }
        asio::post(idlest->stream.get_executor(), [self = shared_from_this(), idlest] {
            if (idlest->state != State::Handling) {
                idlest->evicted = true;
                idlest->stream.cancel();
            } else {
                // A whole request has arrived since; it stays among the connections that drain() closes.
                const std::lock_guard again(self->m_mutex);
                self->m_openConnections.insert(idlest);
            }
        });
        return true;
    }

    void closeIdle()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_openConnections) {
            asio::post(connection->stream.get_executor(), [connection] {
                // A request that has begun to arrive is read and answered; closing now would abort it.
                boost::system::error_code ignored;
                if (connection->state == State::Idle && connection->stream.socket().available(ignored) == 0) {
                    connection->stream.cancel();
                }
            });
        }
    }

    asio::any_io_executor m_executor;
    Options m_options;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    RequestReader::Options m_readerOptions;
    ConnectionBudget m_budget;
    LimitReport m_report;
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
