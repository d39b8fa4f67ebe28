#include "testentry.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Carobflow
{

namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

TestEntry::TestEntry(Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor(m_context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

TestEntry::~TestEntry()
{
    m_context.stop();
    m_thread.join();
}

std::string TestEntry::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

std::vector<TestEntry::Request> TestEntry::requests() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests;
}

void TestEntry::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
        if (!error) {
            serve(socket);
            accept();
        }
    });
}

void TestEntry::serve(Tcp::socket &socket)
{
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    Request request;
    Http::read(socket, buffer, request, error);
    if (error) {
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_requests.push_back(request);
    }
    const auto reply = m_handler(request);
    if (!reply) {
        return;
    }
    Http::response<Http::string_body> response(Http::int_to_status(reply->status), request.version(), reply->body);
    if (!reply->outcome.empty()) {
        response.set("Carobflow-Outcome", reply->outcome);
    }
    response.keep_alive(false);
    response.prepare_payload();
    Http::write(socket, response, error);
}

std::string unusedAddress()
{
    boost::asio::io_context context;
    const Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace Carobflow
