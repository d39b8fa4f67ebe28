#include "standins/storestandin.h"

#include <algorithm>

#include <openssl/evp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds FeedPollInterval{3};
/// The platform's limits on a transaction and on the value of a row.
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxBodyBytes = 1'000'000;
constexpr std::size_t MaxValueBytes = 65'536;

bool isOversized(const json::object &body, std::size_t bytes)
{
    const json::array &puts = body.at("put-rows").as_array();
    const std::size_t entries = body.at("expect").as_array().size() + puts.size() + body.at("remove").as_array().size();
    return entries > MaxEntries || bytes > MaxBodyBytes || std::ranges::any_of(puts, [](const json::value &row) {
               return textOr(row.as_object(), "value", "").size() > MaxValueBytes;
           });
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string field = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        const std::size_t equals = field.find('=');
        query[field.substr(0, equals)] = percentDecoded(field.substr(equals + 1));
        begin = end;
    }
    return query;
}

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::tuple<std::string, std::string, std::string> nameOf(const json::object &row)
{
    return {textOr(row, "table", ""), textOr(row, "part", ""), textOr(row, "key", "")};
}

json::object rowObject(const std::tuple<std::string, std::string, std::string> &name,
                       const std::string &value,
                       std::uint64_t version)
{
    return {{"table", std::get<0>(name)},
            {"part", std::get<1>(name)},
            {"key", std::get<2>(name)},
            {"value", value},
            {"schema-version", version}};
}

} // namespace

StoreStandIn::StoreStandIn(asio::io_context &io, std::uint16_t port)
    : m_server(io, [this](const ServerRequest &request) { return serve(request); })
    , m_port(m_server.listen("127.0.0.1", port))
{
}

void StoreStandIn::put(const Name &name, std::string value)
{
    m_history.push_back({.name = name, .value = value, .deleted = false, .version = m_version});
    m_rows[name] = {.value = std::move(value), .version = m_version};
}

void StoreStandIn::remove(const Name &name)
{
    if (m_rows.erase(name) > 0) {
        m_history.push_back({.name = name, .value = {}, .deleted = true, .version = m_version});
    }
}

void StoreStandIn::putOperatorRow(const std::string &key, const std::string &value)
{
    ++m_version;
    put({"op", "", key}, base64(value));
}

void StoreStandIn::removeOperatorRow(const std::string &key)
{
    ++m_version;
    remove({"op", "", key});
}

void StoreStandIn::forgetHistory()
{
    m_history.clear();
    m_historyFrom = ++m_version;
}

asio::awaitable<ServerReply> StoreStandIn::serve(const ServerRequest &request)
{
    const std::string target(request.target());
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    if (refusing) {
        refusedWrites += target == "/carobflow/rows-tx" ? 1 : 0;
        co_return ServerReply{.status = 503};
    }
    if (target.starts_with("/carobflow/rows-get")) {
        co_return range(queryOf(target));
    }
    if (target.starts_with("/carobflow/rows-feed")) {
        co_return co_await feed(queryOf(target));
    }
    if (target != "/carobflow/rows-tx") {
        co_return ServerReply{.status = 404};
    }
    if (isOversized(objectOf(request), request.body().size())) {
        ++oversizedWrites;
        co_return ServerReply{.status = 400};
    }
    if (lateWrites > 0) {
        --lateWrites;
        co_await sleepFor(lateBy);
        transact(objectOf(request));
        co_return ServerReply{.delivery = Delivery::None};
    }
    ServerReply reply = transact(objectOf(request));
    if (lostReplies > 0) {
        --lostReplies;
        reply.delivery = Delivery::None;
    }
    co_return reply;
}

ServerReply StoreStandIn::range(std::map<std::string, std::string> query)
{
    const std::size_t limit = query["limit"].empty() ? 500 : std::stoul(query["limit"]);
    json::array rows;
    bool more = false;
    for (auto next = m_rows.lower_bound({query["table"], query["part"], query["start-key"]}); next != m_rows.end();
         ++next) {
        const auto &[table, part, key] = next->first;
        if (table != query["table"] || part != query["part"] || (!query["target"].empty() && key >= query["target"])) {
            break;
        }
        if (rows.size() == limit) {
            more = true;
            break;
        }
        rows.push_back(rowObject(next->first, next->second.value, next->second.version));
    }
    return jsonReply(
        200,
        json::object{
            {"rows", rows}, {"has-more", more}, {"schema-version", m_version}, {"now-ms", clockMilliseconds()}});
}

asio::awaitable<ServerReply> StoreStandIn::feed(std::map<std::string, std::string> query)
{
    const std::uint64_t after = std::stoull(query["after"]);
    const std::int64_t until = clockMilliseconds() + std::stoll(query["wait-ms"]);
    for (;;) {
        if (after < m_historyFrom) {
            co_return ServerReply{.status = 410};
        }
        json::array rows;
        for (const Change &change : m_history) {
            if (change.version > after && std::get<0>(change.name) == query["table"]) {
                json::object row = rowObject(change.name, change.value, change.version);
                if (change.deleted) {
                    row["deleted"] = true;
                }
                rows.push_back(std::move(row));
            }
        }
        if (!rows.empty() || clockMilliseconds() >= until) {
            co_return jsonReply(
                200, json::object{{"rows", rows}, {"schema-version", m_version}, {"now-ms", clockMilliseconds()}});
        }
        co_await sleepFor(FeedPollInterval);
    }
}

ServerReply StoreStandIn::transact(const json::object &body)
{
    for (const json::value &value : body.at("expect").as_array()) {
        const json::object &expected = value.as_object();
        const auto found = m_rows.find(nameOf(expected));
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != expected.at("schema-version").to_number<std::uint64_t>()) {
            return jsonReply(412, json::object{{"rows", json::array()}});
        }
    }
    ++m_version;
    ++m_writes;
    for (const json::value &row : body.at("put-rows").as_array()) {
        put(nameOf(row.as_object()), textOr(row.as_object(), "value", ""));
    }
    for (const json::value &row : body.at("remove").as_array()) {
        remove(nameOf(row.as_object()));
    }
    return jsonReply(200, json::object{{"schema-version", m_version}, {"now-ms", clockMilliseconds()}});
}

} // namespace Carobflow::StandIn
