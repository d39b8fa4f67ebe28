#include "carobflow/daemon/httpserver.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace Carobflow
{
namespace
{

namespace asio = boost::asio;

/// A server that answers with the size of the body, and counts the calls of its handler.
class TestServer
{
public:
    explicit TestServer(ClientLimits limits = {})
        : m_server(m_io.get_executor(),
                   {.endpoint = {.address = "127.0.0.1", .port = 0},
                    .limits = limits,
                    .onLimit =
                        [this](std::string_view limit) {
                            const std::lock_guard lock(m_mutex);
                            ++m_limitsReached[std::string(limit)];
                        }},
                   [this](HttpServerRequest request) { return answer(std::move(request)); })
    {
        REQUIRE(isOk(m_server.start()));
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~TestServer()
    {
        m_io.stop();
        m_thread.join();
    }

    TestServer(const TestServer &) = delete;
    TestServer &operator=(const TestServer &) = delete;

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_clients);
        socket.connect({asio::ip::address_v4::loopback(), m_server.port()});
        return socket;
    }

    /// What the server sends for these bytes until it closes the connection.
    std::string exchange(const std::string &bytes)
    {
        auto socket = connect();
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), ignored);
        return received;
    }

    /// How often each limit has been reached.
    std::map<std::string, int> limitsReached()
    {
        const std::lock_guard lock(m_mutex);
        return m_limitsReached;
    }

    std::atomic<int> calls{0};

private:
    asio::awaitable<HttpServerResponse> answer(HttpServerRequest request)
    {
        ++calls;
        HttpServerResponse response;
        response.body = "bytes=" + std::to_string(request.body.size()) + ";";
        co_return response;
    }

    std::mutex m_mutex;
    std::map<std::string, int> m_limitsReached;
    asio::io_context m_io;
    asio::io_context m_clients;
    HttpServer m_server;
    std::thread m_thread;
};

const std::string Close = "Connection: close\r\n";
const std::string Head = "POST / HTTP/1.1\r\nHost: x\r\n";

} // namespace

TEST_CASE("Ordinary requests within the operators' limits are served", "[httpserver]")
{
    TestServer server;
    SECTION("with headers of 16,384 bytes")
    {
        // Guards against the parser's own default of 8,192 bytes.
        CHECK(server.exchange(Head + Close + "A: " + std::string(16300, 'a') + "\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
    SECTION("with a body of 262,144 bytes")
    {
        const std::string answer = server.exchange(Head + Close + "Content-Length: 262144\r\n\r\n"
                                                   + std::string(262144, 'b'));
        CHECK(answer.find("bytes=262144;") != std::string::npos);
    }
    SECTION("in chunks with extensions and trailers")
    {
        const std::string answer = server.exchange(
            Head + Close + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n");
        CHECK(answer.find("bytes=5;") != std::string::npos);
    }
    SECTION("several at once on one connection")
    {
        const std::string answer = server.exchange(Head + "Content-Length: 1\r\n\r\na" + Head
                                                   + "Content-Length: 2\r\n\r\nab" + Head + Close + "\r\n");
        const auto first = answer.find("bytes=1;");
        const auto second = answer.find("bytes=2;", first);
        CHECK(answer.find("bytes=0;", second) != std::string::npos);
        CHECK(server.calls == 3);
    }
    CHECK(server.limitsReached().empty());
}

TEST_CASE("A request that cannot be read is refused before its handler is called", "[httpserver]")
{
    struct Case {
        std::string request;
        std::string status;
        std::string limit;
    };
    const std::string chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string tooMuch(32768, 'a');
    for (const Case &test : {Case{std::string(Head).append("A: ").append(tooMuch), "431", "header_bytes"},
                             Case{std::string(chunked).append("0\r\nA: ").append(tooMuch), "431", "header_bytes"},
                             Case{std::string(chunked).append("1;a=").append(tooMuch), "431", "header_bytes"},
                             Case{Head + "Content-Length: 1048577\r\n\r\n", "413", "max_body_bytes"},
                             Case{Head + "Content-Length: -1\r\n\r\n", "400", ""},
                             Case{Head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na", "400", ""},
                             Case{Head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400", ""}}) {
        TestServer server;
        const std::string answer = server.exchange(test.request);
        CAPTURE(test.request.substr(0, 120));
        CHECK(answer.starts_with("HTTP/1.1 " + test.status));
        CHECK(answer.find("Carobflow-Outcome: not-run") != std::string::npos);
        CHECK(server.calls == 0);
        CHECK((test.limit.empty() || server.limitsReached()[test.limit] == 1));
    }
}

TEST_CASE("The connection that has been idle longest makes room for a new one", "[httpserver]")
{
    TestServer server({.connections = 2});
    auto idlest = server.connect();
    std::this_thread::sleep_for(Milliseconds(50));
    auto other = server.connect();
    std::this_thread::sleep_for(Milliseconds(50));
    CHECK(server.exchange(Head + Close + "\r\n").starts_with("HTTP/1.1 200"));
    std::string received;
    boost::system::error_code error;
    asio::read(idlest, asio::dynamic_buffer(received), error);
    CHECK(error == asio::error::eof);
    // Guards against closing more connections than needed.
    asio::write(other, asio::buffer(Head + Close + "\r\n"));
    asio::read(other, asio::dynamic_buffer(received), error);
    CHECK(received.starts_with("HTTP/1.1 200"));
}

} // namespace Carobflow
