#include "standins/platformstandin.h"

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

/// Length of the history of reads and writes per second.
constexpr std::size_t HistorySeconds = 600;

json::object rowObject(const Row &row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

} // namespace

PlatformStandIn::PlatformStandIn(asio::io_context &io, const Options &options)
    : m_server(io, [this](const ServerRequest &request) { return serve(request); })
    , m_controlServer(io, [this](const ServerRequest &request) { return control(request); })
    , m_port(m_server.listen(options.address, options.port))
    , m_controlPort(m_controlServer.listen(options.address, options.controlPort))
{
}

asio::awaitable<ServerReply> PlatformStandIn::serve(const ServerRequest &request)
{
    if (m_mode == "down") {
        // An outage takes two forms: a refusal proves that nothing happened; a closed connection proves nothing.
        const bool close = m_downReply == "close" || (m_downReply == "mixed" && ++m_refused % 2 == 0);
        co_return ServerReply{.status = 503, .delivery = close ? Delivery::None : Delivery::Whole};
    }
    // Half of the delay comes before the effect, so that a transaction may still apply after its caller gave up.
    const auto delay = m_mode == "slow" ? m_delay / 2 : std::chrono::milliseconds(0);
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    auto reply = apply(request);
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    co_return reply;
}

ServerReply PlatformStandIn::apply(const ServerRequest &request)
{
    const std::string target(request.target());
    if (target.starts_with("/objects/")) {
        return object(request);
    }
    if (request.method() != http::verb::post) {
        return {.status = 405};
    }
    const auto body = objectOf(request);
    if (target == "/table/transact") {
        return transact(body);
    }
    if (target != "/table/read" && target != "/table/range") {
        return {.status = 404};
    }
    count(false);
    return target == "/table/read" ? read(body) : readRange(body);
}

ServerReply PlatformStandIn::read(const json::object &body) const
{
    json::array rows;
    for (const auto &key : body.at("keys").as_array()) {
        const auto found = m_rows.find(json::value_to<std::string>(key));
        if (found != m_rows.end()) {
            rows.push_back(rowObject(found->second));
        }
    }
    return jsonReply(200, json::object{{"rows", std::move(rows)}});
}

ServerReply PlatformStandIn::readRange(const json::object &body) const
{
    const auto prefix = textOr(body, "prefix", "");
    const auto after = textOr(body, "after", "");
    const auto limit = body.at("limit").to_number<std::size_t>();
    json::array rows;
    auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; row != m_rows.end() && row->first.starts_with(prefix) && rows.size() < limit; ++row) {
        rows.push_back(rowObject(row->second));
    }
    return jsonReply(200, json::object{{"rows", std::move(rows)}});
}

ServerReply PlatformStandIn::transact(const json::object &body)
{
    // Everything is parsed before the first row changes, so that a malformed transaction has no effect.
    const auto &mutations = body.at("mutations").as_array();
    std::vector<Mutation> parsed;
    for (const auto &mutation : mutations) {
        const auto &value = mutation.at("value");
        parsed.push_back({.key = json::value_to<std::string>(mutation.at("key")),
                          .value = value.is_null() ? std::nullopt : std::optional(json::value_to<std::string>(value))});
    }
    count(true);
    for (const auto &condition : body.at("conditions").as_array()) {
        const auto key = json::value_to<std::string>(condition.at("key"));
        const auto found = m_rows.find(key);
        const auto version = found == m_rows.end() ? 0 : found->second.version;
        if (version != condition.at("version").to_number<std::uint64_t>()) {
            ++m_conflicts;
            return jsonReply(409, json::object{{"conflict", key}});
        }
    }
    ++m_version;
    for (auto &mutation : parsed) {
        if (mutation.value) {
            m_rows[mutation.key] = {.key = mutation.key, .value = std::move(*mutation.value), .version = m_version};
        } else {
            m_rows.erase(mutation.key);
        }
    }
    auto reply = jsonReply(200, json::object{{"version", m_version}});
    if (m_dropReplies > 0) {
        --m_dropReplies;
        ++m_droppedReplies;
        reply.delivery = Delivery::None;
    }
    return reply;
}

ServerReply PlatformStandIn::object(const ServerRequest &request)
{
    // The encoded path serves as the key, because clients always encode a key in the same way.
    const std::string key(request.target());
    count(request.method() == http::verb::put);
    if (request.method() == http::verb::put) {
        m_objects[key] = request.body();
        return {.status = 204};
    }
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? ServerReply{.status = 404} : ServerReply{.body = found->second};
}

void PlatformStandIn::count(bool write)
{
    const auto second = clockMilliseconds() / 1000;
    if (m_seconds.empty() || m_seconds.back().second != second) {
        m_seconds.push_back({.second = second});
        if (m_seconds.size() > HistorySeconds) {
            m_seconds.pop_front();
        }
    }
    ++(write ? m_writes : m_reads);
    ++(write ? m_seconds.back().writes : m_seconds.back().reads);
}

json::object PlatformStandIn::stats() const
{
    json::array seconds;
    for (const auto &entry : m_seconds) {
        seconds.push_back({{"second", entry.second}, {"writes", entry.writes}, {"reads", entry.reads}});
    }
    return {{"writes", m_writes},
            {"reads", m_reads},
            {"conflicts", m_conflicts},
            {"droppedReplies", m_droppedReplies},
            {"perSecond", std::move(seconds)}};
}

asio::awaitable<ServerReply> PlatformStandIn::control(const ServerRequest &request)
{
    if (request.target() == "/control/stats") {
        co_return jsonReply(200, stats());
    }
    if (request.target() == "/control/rows") {
        json::object rows;
        for (const auto &[key, row] : m_rows) {
            rows[key] = row.value;
        }
        co_return jsonReply(200, rows);
    }
    const auto body = objectOf(request);
    const auto mode = textOr(body, "mode", m_mode);
    if (mode != "up" && mode != "down" && mode != "slow") {
        throw std::invalid_argument("mode is not up, down or slow");
    }
    m_mode = mode;
    m_downReply = textOr(body, "downReply", m_downReply);
    m_delay = std::chrono::milliseconds(numberOr(body, "delayMs", m_delay.count()));
    m_dropReplies = static_cast<std::uint64_t>(numberOr(body, "dropReplies", static_cast<std::int64_t>(m_dropReplies)));
    co_return jsonReply(200, json::object{{"mode", m_mode}});
}

} // namespace Carobflow::StandIn
