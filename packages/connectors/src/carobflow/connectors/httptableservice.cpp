#include "carobflow/connectors/httptableservice.h"

#include "carobflow/connectors/internal/httpcall.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow
{

namespace json = boost::json;

namespace
{

/// Parses the rows of a response; empty when a field is missing or of another type.
std::optional<std::vector<Row>> rowsOf(std::string_view text)
{
    const auto body = Detail::parseObject(text);
    if (!body) {
        return std::nullopt;
    }
    try {
        std::vector<Row> rows;
        for (const auto &entry : body->at("rows").as_array()) {
            const auto &row = entry.as_object();
            rows.push_back({.key = json::value_to<std::string>(row.at("key")),
                            .value = json::value_to<std::string>(row.at("value")),
                            .version = row.at("version").to_number<std::uint64_t>()});
        }
        return rows;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

json::object bodyOf(const Transaction &transaction)
{
    json::array conditions;
    for (const auto &condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    json::array mutations;
    for (const auto &mutation : transaction.mutations) {
        mutations.push_back(
            {{"key", mutation.key}, {"value", mutation.value ? json::value(*mutation.value) : json::value()}});
    }
    return {{"conditions", std::move(conditions)}, {"mutations", std::move(mutations)}};
}

std::optional<std::uint64_t> versionOf(std::string_view text)
{
    const auto body = Detail::parseObject(text);
    const auto *version = body ? body->if_contains("version") : nullptr;
    boost::system::error_code error;
    const auto number = version != nullptr ? version->to_number<std::uint64_t>(error) : 0;
    return version == nullptr || error ? std::nullopt : std::optional(number);
}

std::string conflictOf(std::string_view text)
{
    const auto body = Detail::parseObject(text);
    const auto *key = body ? body->if_contains("conflict") : nullptr;
    return key != nullptr && key->is_string() ? json::value_to<std::string>(*key) : std::string();
}

} // namespace

HttpTableService::HttpTableService(std::shared_ptr<HttpClient> client, Options options)
    : m_client(std::move(client))
    , m_options(std::move(options))
{
}

boost::asio::awaitable<Result<std::vector<Row>>> HttpTableService::readRows(std::string target, std::string body)
{
    HttpRequest request{.method = "POST",
                        .target = std::move(target),
                        .headers = {{"Content-Type", "application/json"}},
                        .body = std::move(body),
                        .timeout = m_options.timeout};
    const auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    if (const auto *answer = Detail::answerWith(outcome, 200)) {
        auto rows = rowsOf(answer->body);
        if (rows) {
            co_return std::move(*rows);
        }
    }
    co_return Detail::failureOf("table read", outcome, ErrorKind::Unavailable);
}

boost::asio::awaitable<Result<std::vector<Row>>> HttpTableService::read(std::span<const std::string> keys)
{
    const json::object body{{"keys", json::value_from(keys)}};
    co_return co_await readRows("/table/read", json::serialize(body));
}

boost::asio::awaitable<Result<std::vector<Row>>>
HttpTableService::readRange(std::string_view prefix, std::string_view after, std::size_t limit)
{
    const json::object body{{"prefix", prefix}, {"after", after}, {"limit", limit}};
    co_return co_await readRows("/table/range", json::serialize(body));
}

boost::asio::awaitable<TransactOutcome> HttpTableService::transact(const Transaction &transaction)
{
    auto request = Detail::jsonPost("/table/transact", bodyOf(transaction), m_options.timeout);
    const auto outcome = co_await m_client->call(m_options.endpoint, std::move(request));
    if (const auto *answer = Detail::answerWith(outcome, 200)) {
        const auto version = versionOf(answer->body);
        if (version) {
            co_return Committed{*version};
        }
    }
    if (const auto *answer = Detail::answerWith(outcome, 409)) {
        co_return Conflict{conflictOf(answer->body)};
    }
    auto failure = Detail::failureOf("table transaction", outcome, ErrorKind::Unknown);
    if (failure.kind == ErrorKind::Unavailable) {
        co_return TableUnavailable{std::move(failure.message)};
    }
    co_return ReplyLost{std::move(failure.message)};
}

} // namespace Carobflow
