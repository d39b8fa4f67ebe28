#pragma once

#include "carobflow/connectors/httpclient.h"
#include "carobflow/connectors/tableservice.h"

#include <memory>

namespace Carobflow
{

/// The table service over HTTP with JSON bodies (section 4 of the design page). Keys and values must be UTF-8.
class HttpTableService : public TableService
{
public:
    struct Options {
        HttpEndpoint endpoint;
        /// Timeout of each call.
        Milliseconds timeout{2000};
    };

    HttpTableService(std::shared_ptr<HttpClient> client, Options options);

    boost::asio::awaitable<Result<std::vector<Row>>> read(std::span<const std::string> keys) override;
    boost::asio::awaitable<Result<std::vector<Row>>>
    readRange(std::string_view prefix, std::string_view after, std::size_t limit) override;
    boost::asio::awaitable<TransactOutcome> transact(const Transaction &transaction) override;

private:
    boost::asio::awaitable<Result<std::vector<Row>>> readRows(std::string target, std::string body);

    std::shared_ptr<HttpClient> m_client;
    Options m_options;
};

} // namespace Carobflow
