#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"
#include "carobflow/daemon/settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The value of the first header with this name, compared without regard to case; empty when there is none.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

/// A complete HTTP request.
struct HttpServerRequest {
    std::string method;
    /// Path with query, as received.
    std::string target;
    HttpHeaders headers;
    std::string body;
    TimePoint receivedAt;
};

/// A complete HTTP response.
struct HttpServerResponse {
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
};

/// An HTTP/1.1 server that reads complete requests, limits their size and passes them to a handler.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpServerResponse>(HttpServerRequest)>;

    struct Options {
        Endpoint endpoint;
        std::uint64_t maxBodyBytes = 1048576;
        /// Limits of connections and requests; their meaning is that of the settings in [limits].
        ClientLimits limits{};
        /// Called with the name of each limit that a connection reaches; may be empty.
        std::function<void(std::string_view limit)> onLimit{};
    };

    HttpServer(const boost::asio::any_io_executor &executor, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds the address and starts accepting connections. Errors: Unavailable when the address cannot be bound.
    Status start();

    /// The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// Closes the connection after each response from now on, so that clients reconnect to another process.
    void closeAfterResponses();

    /// Stops accepting, closes idle connections, and waits until all requests in progress have been answered.
    boost::asio::awaitable<void> drain();

    /// Requests in progress.
    [[nodiscard]] std::uint32_t inProgress() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace Carobflow
