#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Carobflow
{

/// An HTTP server on a loopback port that stands in for an entry. It serves one connection at a time.
class TestEntry
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    struct Reply {
        unsigned status = 200;
        std::string body;
        std::string outcome = {};
    };

    /// Without a reply the connection is closed after the request has been read.
    using Handler = std::function<std::optional<Reply>(const Request &)>;

    explicit TestEntry(Handler handler);
    ~TestEntry();
    TestEntry(const TestEntry &) = delete;
    TestEntry &operator=(const TestEntry &) = delete;

    /// Address in the form that --entry takes.
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::vector<Request> requests() const;

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket &socket);

    Handler m_handler;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::vector<Request> m_requests;
    std::thread m_thread;
};

/// Returns the address of a port on which nothing listens.
std::string unusedAddress();

} // namespace Carobflow
