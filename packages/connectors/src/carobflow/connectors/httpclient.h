#pragma once

#include "carobflow/core/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

struct HttpHeader {
    std::string name;
    std::string value;
};

/// A server to call. The host is an IP address; names are not resolved.
struct HttpEndpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const HttpEndpoint &) const = default;
};

/// A request with its complete body. The client sets Host, Content-Length and Connection; values given for
/// Content-Length, Transfer-Encoding and Connection are ignored.
struct HttpRequest {
    std::string method = "GET";
    /// Path and query, already percent-encoded.
    std::string target = "/";
    std::vector<HttpHeader> headers = {};
    std::string body = {};
    /// Timeout of the call, from connecting to the last byte of the response.
    Milliseconds timeout{2000};
};

/// A complete response, of any status.
struct HttpAnswer {
    unsigned status = 0;
    std::vector<HttpHeader> headers;
    std::string body;

    /// The value of the first header with this name, ignoring case, or an empty view.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// No byte of the request was handed to the network, so the server cannot have acted on it.
struct HttpNotSent {
    std::string reason;
    bool timedOut = false;
};

/// Some or all of the request was sent and no complete response arrived; the server may have acted on it.
struct HttpUnanswered {
    std::string reason;
    bool timedOut = false;
};

using HttpOutcome = std::variant<HttpAnswer, HttpNotSent, HttpUnanswered>;

/// An HTTP/1.1 client with a pool of kept-alive connections. It sends each request at most once and never retries.
/// Responses need a Content-Length or chunked encoding; otherwise a truncated body looks like a complete one.
/// Calls may be made from several threads. The client must not outlive the execution context of its executor.
class HttpClient
{
public:
    struct Options {
        /// Idle connections that are kept for each endpoint.
        std::size_t maxIdlePerEndpoint = 16;
        /// Idle connections are closed after this time. It should be shorter than the server's own limit, because a
        /// request sent on a closing connection ends as HttpUnanswered.
        Milliseconds idleTimeout{4000};
        std::size_t maxHeaderBytes = 16UL * 1024;
        std::size_t maxBodyBytes = 16UL * 1024 * 1024;
    };

    explicit HttpClient(boost::asio::any_io_executor executor);
    HttpClient(boost::asio::any_io_executor executor, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and waits for the complete response. The call ends by its timeout at the latest; cancelling the
    /// awaiting coroutine does not end it earlier. In a coroutine, pass named variables: GCC 12 destroys braced
    /// aggregate temporaries of a co_await expression twice.
    boost::asio::awaitable<HttpOutcome> call(HttpEndpoint endpoint, HttpRequest request);

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Carobflow
