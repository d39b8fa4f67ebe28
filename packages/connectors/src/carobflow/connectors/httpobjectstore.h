#pragma once

#include "carobflow/connectors/httpclient.h"
#include "carobflow/connectors/objectstore.h"

#include <memory>

namespace Carobflow
{

/// The object store over HTTP (section 4 of the design page). Slashes of a key separate path segments.
class HttpObjectStore : public ObjectStore
{
public:
    struct Options {
        HttpEndpoint endpoint;
        /// Timeout of each call.
        Milliseconds timeout{5000};
    };

    HttpObjectStore(std::shared_ptr<HttpClient> client, Options options);

    boost::asio::awaitable<Status> put(std::string_view key, std::string_view bytes) override;
    boost::asio::awaitable<Result<std::string>> get(std::string_view key) override;

private:
    std::shared_ptr<HttpClient> m_client;
    Options m_options;
};

} // namespace Carobflow
