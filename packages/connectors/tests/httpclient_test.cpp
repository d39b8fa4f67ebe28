#include "connectorfixture.h"

#include <array>
#include <atomic>
#include <thread>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Carobflow;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

asio::awaitable<StandIn::ServerReply> echo(const StandIn::ServerRequest &request)
{
    co_return StandIn::ServerReply{.body = std::string(request.method_string()) + " " + std::string(request["X-Id"])
                                       + " " + request.body()};
}

/// Responds to the first request of each connection with fixed bytes.
struct RawServer {
    RawServer(asio::io_context &io, std::string answer)
        : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , bytes(std::move(answer))
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    asio::awaitable<void> serve()
    {
        for (;;) {
            sockets.push_back(co_await acceptor.async_accept(asio::use_awaitable));
            std::array<char, 4096> request{};
            co_await sockets.back().async_read_some(asio::buffer(request), asio::use_awaitable);
            co_await asio::async_write(sockets.back(), asio::buffer(bytes), asio::use_awaitable);
            if (closes) {
                sockets.back().close();
            }
            ++answered;
        }
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor.local_endpoint().port();
    }

    tcp::acceptor acceptor;
    std::string bytes;
    std::vector<tcp::socket> sockets;
    bool closes = true;
    int answered = 0;
};

std::string bodyOf(const HttpOutcome &outcome)
{
    return std::get<HttpAnswer>(outcome).body;
}

} // namespace

TEST_CASE_METHOD(ConnectorFixture, "The client returns complete responses over kept-alive connections", "[httpclient]")
{
    StandIn::HttpServer server(io, echo);
    const auto port = server.listen("127.0.0.1", 0);

    for (const std::string method : {"GET", "POST", "PUT", "DELETE"}) {
        const auto outcome = call(port, {.method = method, .headers = {{"X-Id", method}}, .body = "b"});
        CHECK(bodyOf(outcome) == boost::algorithm::join(std::vector{method, method, std::string("b")}, " "));
    }
    CHECK(server.maxConnections() == 1);
}

// Guards against responses that reach the wrong request when calls share the pool and run on several threads.
TEST_CASE("Each of many calls from several threads gets its own response", "[httpclient]")
{
    asio::io_context io;
    StandIn::HttpServer server(io, echo);
    const auto port = server.listen("127.0.0.1", 0);
    std::jthread serving([&] { io.run(); });
    asio::thread_pool pool(4);
    std::atomic<int> wrong = 0;
    std::atomic<int> right = 0;
    {
        HttpClient client(pool.get_executor());
        const auto callMany = [&](int caller) -> asio::awaitable<void> {
            for (int i = 0; i < 50; ++i) {
                const auto id = std::to_string(caller) + "-" + std::to_string(i);
                // GCC 12 destroys aggregate temporaries of a co_await expression twice.
                HttpEndpoint endpoint{.host = "127.0.0.1", .port = port};
                HttpRequest request;
                request.method = "POST";
                request.headers.push_back({.name = "X-Id", .value = id});
                request.body = id;
                request.timeout = Seconds(10);
                const auto outcome = co_await client.call(std::move(endpoint), std::move(request));
                const auto *answer = std::get_if<HttpAnswer>(&outcome);
                const auto expected = boost::algorithm::join(std::vector{std::string("POST"), id, id}, " ");
                ++(answer != nullptr && answer->body == expected ? right : wrong);
            }
        };
        for (int caller = 0; caller < 16; ++caller) {
            asio::co_spawn(pool, callMany(caller), asio::detached);
        }
        pool.join();
    }
    io.stop();
    CHECK(wrong == 0);
    CHECK(right == 16 * 50);
}

// Guards against a request that is reported as possibly executed although nothing was sent, or the reverse.
TEST_CASE_METHOD(ConnectorFixture, "The outcome tells whether the server may have acted", "[httpclient]")
{
    using StandIn::Delivery;
    auto delivery = Delivery::Whole;
    int served = 0;
    StandIn::HttpServer server(io, [&](const StandIn::ServerRequest &) -> asio::awaitable<StandIn::ServerReply> {
        ++served;
        co_return StandIn::ServerReply{.body = std::string(1000, 'x'), .delivery = delivery};
    });
    const auto port = server.listen("127.0.0.1", 0);

    SECTION("a refused connection is NotSent")
    {
        StandIn::ProxyStandIn proxy(io, {});
        const auto closed = proxy.addRoute("a", 0, "127.0.0.1:1");
        proxy.setMode("a", "cut", Milliseconds(0));
        CHECK(std::holds_alternative<HttpNotSent>(call(closed, {})));
    }
    SECTION("a host that is not an IP address is NotSent")
    {
        CHECK(std::holds_alternative<HttpNotSent>(run(client->call({.host = "localhost", .port = port}, {}))));
    }
    SECTION("a request that would inject another one is NotSent")
    {
        CHECK(std::holds_alternative<HttpNotSent>(call(port, {.headers = {{"A", "b\r\nC: d"}}})));
        CHECK(std::holds_alternative<HttpNotSent>(call(port, {.target = "/ HTTP/1.1\r\nA: b\r\n\r\n"})));
        CHECK(std::holds_alternative<HttpNotSent>(call(port, {.method = "GET /"})));
        CHECK(served == 0);
    }
    SECTION("a connection that closes without a response is Unanswered")
    {
        delivery = Delivery::None;
        CHECK(std::holds_alternative<HttpUnanswered>(call(port, {})));
        CHECK(served == 1);
    }
    SECTION("a truncated body is Unanswered")
    {
        delivery = Delivery::Truncated;
        CHECK(std::holds_alternative<HttpUnanswered>(call(port, {})));
    }
    SECTION("a body above the limit is Unanswered")
    {
        client = std::make_shared<HttpClient>(io.get_executor(), HttpClient::Options{.maxBodyBytes = 999});
        CHECK(std::holds_alternative<HttpUnanswered>(call(port, {})));
        client = std::make_shared<HttpClient>(io.get_executor(), HttpClient::Options{.maxBodyBytes = 1000});
        CHECK(bodyOf(call(port, {})).size() == 1000);
    }
    SECTION("a header above the limit is Unanswered")
    {
        client = std::make_shared<HttpClient>(io.get_executor(), HttpClient::Options{.maxHeaderBytes = 10});
        CHECK(std::holds_alternative<HttpUnanswered>(call(port, {})));
    }
}

// Guards against a truncated response that passes as complete because its length is unknown.
TEST_CASE_METHOD(ConnectorFixture, "Only responses with a verifiable end are complete", "[httpclient]")
{
    struct Case {
        std::string bytes;
        bool complete;
    };
    const auto [bytes, complete] = GENERATE(
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
        Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
        Case{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", false},
        Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
        Case{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", false},
        Case{"HTTP/1.1 200 OK\r\nContent-Le", false},
        Case{"nonsense\r\n\r\n", false});
    const RawServer server(io, bytes);

    const auto outcome = call(server.port(), {});
    CAPTURE(bytes);
    CHECK(std::holds_alternative<HttpAnswer>(outcome) == complete);
    CHECK(std::holds_alternative<HttpUnanswered>(outcome) != complete);
    if (complete) {
        CHECK(bodyOf(outcome) == "abc");
    }
}

// Guards against a response to an earlier request that is taken for the response to the next one, and against a
// request that is lost on a connection that the server has closed.
TEST_CASE_METHOD(ConnectorFixture, "An idle connection is reused only when it is open and quiet", "[httpclient]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    RawServer server(io, answer + "a");
    server.closes = false;
    const auto callTwice = [&](const std::function<void()> &between) {
        CHECK(bodyOf(call(server.port(), {})) == "a");
        runUntil([&] { return server.answered == 1; });
        between();
        CHECK(bodyOf(call(server.port(), {})) == "a");
        CHECK(server.sockets.size() == 2);
    };

    SECTION("the server closed it in between")
    {
        callTwice([&] { server.sockets.front().close(); });
    }
    SECTION("another response arrived in between")
    {
        callTwice([&] { asio::write(server.sockets.front(), asio::buffer(answer + "b")); });
    }
    SECTION("a part of another response arrived together with the first")
    {
        server.bytes += answer;
        callTwice([] {});
    }
}

TEST_CASE_METHOD(ConnectorFixture, "A large response is received in few reads", "[httpclient]")
{
    // Guards against reads of 512 bytes each: on a busy process each waits for its turn, and a response of 100 KB took
    // seconds.
    constexpr std::size_t bodyBytes = 200'000;
    // Two for each read of 4 KB.
    constexpr std::size_t maxHandlers = 2 * bodyBytes / 4096;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'x');
    asio::io_context serverContext;
    RawServer server(serverContext, answer);
    std::thread thread([&serverContext] { serverContext.run_for(std::chrono::seconds(10)); });
    const auto outcome = std::make_shared<std::optional<HttpOutcome>>();
    asio::co_spawn(
        io,
        client->call({.host = "127.0.0.1", .port = server.port()}, {}),
        [outcome](const std::exception_ptr & /*exception*/, HttpOutcome result) { *outcome = std::move(result); });
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::size_t handlers = 0;
    while (!*outcome && std::chrono::steady_clock::now() < until) {
        // Lets the bytes arrive, so that the number of reads does not depend on their pace.
        std::this_thread::sleep_for(std::chrono::milliseconds(handlers < 10 ? 20 : 0));
        handlers += io.run_one_for(std::chrono::milliseconds(20));
        io.restart();
    }
    serverContext.stop();
    thread.join();
    REQUIRE(*outcome);
    CHECK(bodyOf(**outcome).size() == bodyBytes);
    CHECK(handlers < maxHandlers);
}

TEST_CASE_METHOD(ConnectorFixture,
                 "The client handles network faults between itself and the server",
                 "[httpclient][proxy]")
{
    StandIn::HttpServer server(io, echo);
    StandIn::ProxyStandIn proxy(io, {});
    const auto target = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0));
    const auto port = proxy.addRoute("a", 0, target);
    const auto post = [&](const std::string &body, Milliseconds timeout = Seconds(10)) {
        return call(port, {.method = "POST", .body = body, .timeout = timeout});
    };
    REQUIRE(bodyOf(post("1")) == "POST  1");

    SECTION("an idle connection that was reset is replaced without an error")
    {
        proxy.setMode("a", "cut", Milliseconds(0));
        CHECK(std::holds_alternative<HttpNotSent>(post("2")));
        proxy.setMode("a", "pass", Milliseconds(0));
        CHECK(bodyOf(post("3")) == "POST  3");
    }
    SECTION("a silent connection ends a call by its timeout, and the other idle ones are not tried")
    {
        // Two calls at the same time leave two idle connections.
        std::optional<HttpOutcome> other;
        proxy.setMode("a", "delay", Milliseconds(20));
        asio::co_spawn(io,
                       client->call({.host = "127.0.0.1", .port = port}, {}),
                       [&](const std::exception_ptr &, HttpOutcome outcome) { other = std::move(outcome); });
        CHECK(bodyOf(post("2")) == "POST  2");
        runUntil([&] { return other.has_value(); });
        CHECK(server.maxConnections() == 2);

        proxy.setMode("a", "silent", Milliseconds(0));
        const auto outcome = post("3", Milliseconds(200));
        REQUIRE(std::holds_alternative<HttpUnanswered>(outcome));
        CHECK(std::get<HttpUnanswered>(outcome).timedOut);
        CHECK(bodyOf(post("4", Milliseconds(2000))) == "POST  4");
    }
    SECTION("held bytes end a call by its timeout")
    {
        proxy.setMode("a", "freeze", Milliseconds(0));
        const auto outcome = post("2", Milliseconds(100));
        REQUIRE(std::holds_alternative<HttpUnanswered>(outcome));
        CHECK(std::get<HttpUnanswered>(outcome).timedOut);
        proxy.setMode("a", "pass", Milliseconds(0));
        CHECK(bodyOf(post("3")) == "POST  3");
    }
    SECTION("a dropped reply is Unanswered")
    {
        proxy.setMode("a", "drop-replies", Milliseconds(0));
        const auto outcome = post("2");
        REQUIRE(std::holds_alternative<HttpUnanswered>(outcome));
        CHECK_FALSE(std::get<HttpUnanswered>(outcome).timedOut);
    }
}
