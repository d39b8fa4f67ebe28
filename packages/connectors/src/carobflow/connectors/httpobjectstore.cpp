#include "carobflow/connectors/httpobjectstore.h"

#include "carobflow/connectors/internal/httpcall.h"

namespace Carobflow
{

HttpObjectStore::HttpObjectStore(std::shared_ptr<HttpClient> client, Options options)
    : m_client(std::move(client))
    , m_options(std::move(options))
{
}

boost::asio::awaitable<Status> HttpObjectStore::put(std::string_view key, std::string_view bytes)
{
    HttpRequest request{.method = "PUT",
                        .target = "/objects/" + Detail::encodePath(key),
                        .headers = {{"Content-Type", "application/octet-stream"}},
                        .body = std::string(bytes),
                        .timeout = m_options.timeout};
    const auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (answer != nullptr && answer->status / 100 == 2) {
        co_return std::monostate{};
    }
    co_return Detail::failureOf("object put", outcome, ErrorKind::Unknown);
}

boost::asio::awaitable<Result<std::string>> HttpObjectStore::get(std::string_view key)
{
    HttpRequest request{.target = "/objects/" + Detail::encodePath(key), .timeout = m_options.timeout};
    auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    if (Detail::answerWith(outcome, 200) != nullptr) {
        co_return std::move(std::get<HttpAnswer>(outcome).body);
    }
    if (Detail::answerWith(outcome, 404) != nullptr) {
        co_return Error{ErrorKind::NotFound, "there is no object '" + std::string(key) + "': check the key"};
    }
    co_return Detail::failureOf("object get", outcome, ErrorKind::Unavailable);
}

} // namespace Carobflow
