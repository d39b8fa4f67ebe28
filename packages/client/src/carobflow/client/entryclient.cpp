#include "carobflow/client/entryclient.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace Carobflow
{

namespace
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

// Limits the memory used by a reply; the largest replies are lists of all jobs.
constexpr std::uint64_t MaxReplyBytes = std::uint64_t{256} * 1024 * 1024;

/// Result of one attempt to call one entry.
struct Attempt {
    /// True from the moment at which the entry may have received the request.
    bool sent = false;
    std::optional<EntryReply> reply;
    std::string failure;
};

Http::request<Http::string_body>
makeMessage(const EntryClient::Options &options, const EntryAddress &entry, const EntryRequest &request)
{
    constexpr unsigned version = 11;
    Http::request<Http::string_body> message(request.method, request.path, version, request.body);
    message.set(Http::field::host, entry.host + ":" + entry.port);
    message.set(Http::field::user_agent, "carobflow");
    message.set(Http::field::connection, "close");
    if (!options.token.empty()) {
        message.set(Http::field::authorization, "Bearer " + options.token);
    }
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.prepare_payload();
    return message;
}

// Coroutine parameters are passed by value, or by pointer to objects that outlive the io_context.
Asio::awaitable<void> exchange(const EntryClient::Options *options,
                               const EntryAddress *entry,
                               Http::request<Http::string_body> message,
                               Attempt *attempt)
{
    boost::system::error_code error;
    auto completion = Asio::redirect_error(Asio::use_awaitable, error);
    const auto executor = co_await Asio::this_coro::executor;

    Asio::ip::tcp::resolver resolver(executor);
    const auto endpoints = co_await resolver.async_resolve(entry->host, entry->port, completion);
    if (error) {
        attempt->failure = "cannot resolve the address: " + error.message();
        co_return;
    }
    Beast::tcp_stream stream(executor);
    stream.expires_after(options->connectTimeout);
    co_await stream.async_connect(endpoints, completion);
    if (error) {
        attempt->failure = "cannot connect: " + error.message();
        co_return;
    }

    stream.expires_after(options->timeout);
    attempt->sent = true;
    // An entry may reject a request before reading all of it, so the reply is read even when sending failed.
    co_await Http::async_write(stream, message, completion);
    Beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(MaxReplyBytes);
    co_await Http::async_read(stream, buffer, parser, completion);
    if (error) {
        attempt->failure = "incomplete reply: " + error.message();
        co_return;
    }
    auto reply = parser.release();
    attempt->reply = EntryReply{.status = reply.result_int(),
                                .outcome = std::string(reply["Carobflow-Outcome"]),
                                .body = std::move(reply.body())};
}

Attempt tryEntry(const EntryClient::Options &options, const EntryAddress &entry, const EntryRequest &request)
{
    Attempt attempt;
    Asio::io_context context(1);
    Asio::co_spawn(context, exchange(&options, &entry, makeMessage(options, entry, request), &attempt), Asio::detached);
    context.run();
    return attempt;
}

bool isUnavailable(const EntryReply &reply)
{
    const auto status = Http::int_to_status(reply.status);
    return status == Http::status::bad_gateway || status == Http::status::service_unavailable
        || status == Http::status::gateway_timeout;
}

} // namespace

Result<EntryAddress> parseEntryAddress(std::string_view text)
{
    const auto invalid = [&] {
        return Error{.kind = ErrorKind::InvalidArgument,
                     .message = "'" + std::string(text)
                         + "' is not an entry address; write host:port, for example "
                           "10.0.0.1:8080 or [fd00::1]:8080"};
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return invalid();
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string_view::npos) {
        return invalid();
    }
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    const bool hostIsPlain = std::ranges::all_of(host, [](char byte) { return byte > ' ' && byte < '\x7F'; });
    if (host.empty() || !hostIsPlain || host.find('/') != std::string_view::npos || error != std::errc()
        || end != port.data() + port.size() || number == 0) {
        return invalid();
    }
    return EntryAddress{.host = std::string(host), .port = std::string(port)};
}

bool EntryReply::isNotRun() const
{
    return Http::int_to_status(status) == Http::status::service_unavailable && outcome == "not-run";
}

EntryClient::EntryClient(Options options)
    : m_options(std::move(options))
{
}

Result<EntryReply> EntryClient::send(const EntryRequest &request) const
{
    const bool isRead = request.method == Http::verb::get;
    std::optional<EntryReply> lastReply;
    std::string failures;
    for (const EntryAddress &entry : m_options.entries) {
        Attempt attempt = tryEntry(m_options, entry, request);
        if (attempt.reply) {
            const bool tryNext = isRead ? isUnavailable(*attempt.reply) : attempt.reply->isNotRun();
            lastReply = std::move(attempt.reply);
            if (!tryNext) {
                break;
            }
            continue;
        }
        failures += (failures.empty() ? "" : "; ") + entry.host + ":" + entry.port + ": " + attempt.failure;
        if (!isRead && attempt.sent) {
            return Error{.kind = ErrorKind::Unknown, .message = std::move(failures)};
        }
    }
    if (lastReply) {
        return std::move(*lastReply);
    }
    return Error{.kind = ErrorKind::Unavailable, .message = std::move(failures)};
}

} // namespace Carobflow
