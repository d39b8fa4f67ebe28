#include "standins/hoststandin.h"

#include <vector>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Half of the interval that agents demand, so that one lost announcement has no effect.
constexpr std::chrono::milliseconds AnnounceInterval{500};

} // namespace

HostStandIn::HostStandIn(asio::io_context &io, Options options)
    : m_options(std::move(options))
    , m_worker(io, m_options.worker)
    , m_upstream(m_options.upstream, m_worker)
    , m_client(std::make_shared<HttpClient>(io.get_executor()))
    , m_workerServer(io, [this](const ServerRequest &request) { return m_worker.serve(request); })
    , m_upstreamServer(io, [this](const ServerRequest &request) { return m_upstream.serve(request); })
    , m_controlServer(io, [this](const ServerRequest &request) { return control(request); })
    , m_port(m_workerServer.listen(m_options.address, m_options.port))
    , m_upstreamPort(m_upstreamServer.listen(m_options.address, m_options.upstreamPort))
    , m_controlPort(m_controlServer.listen(m_options.address, m_options.controlPort))
{
    asio::co_spawn(io, announce(), asio::detached);
}

asio::awaitable<void> HostStandIn::announce()
{
    for (;;) {
        if (m_announces) {
            co_await sendAnnouncements("POST");
        }
        co_await sleepFor(AnnounceInterval);
    }
}

asio::awaitable<void> HostStandIn::sendAnnouncements(std::string method)
{
    std::vector<std::string> agents;
    boost::split(agents, m_options.agent, boost::is_any_of(","));
    for (const std::string &agent : agents) {
        if (!agent.empty()) {
            co_await sendAnnouncement(agent, method);
        }
    }
}

asio::awaitable<void> HostStandIn::sendAnnouncement(std::string agentAddress, std::string method)
{
    const auto agent = parseEndpoint(agentAddress);
    const json::object body{{"service", m_options.upstream.service},
                            {"address", m_options.address + ":" + std::to_string(m_upstreamPort)},
                            {"slots", m_options.upstream.slots},
                            {"connections", m_options.connections}};
    HttpEndpoint endpoint{.host = agent.address().to_string(), .port = agent.port()};
    HttpRequest request{.method = std::move(method),
                        .target = "/v1/announce",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = json::serialize(body),
                        .timeout = AnnounceInterval};
    const auto outcome = co_await m_client->call(std::move(endpoint), std::move(request));
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    m_announced += answer != nullptr && answer->status / 100 == 2 ? 1 : 0;
}

json::object HostStandIn::log() const
{
    json::object log{{"announced", m_announced}, {"maxConnections", m_upstreamServer.maxConnections()}};
    m_worker.addToLog(log);
    m_upstream.addToLog(log);
    return log;
}

asio::awaitable<ServerReply> HostStandIn::control(const ServerRequest &request)
{
    if (request.target() == "/control/log") {
        co_return jsonReply(200, log());
    }
    const auto body = objectOf(request);
    if (const auto *failAll = body.if_contains("failAll")) {
        m_worker.setFailAll(failAll->as_bool());
    }
    if (body.contains("upstream")) {
        m_upstream.setMode(textOr(body, "upstream", ""), std::chrono::milliseconds(numberOr(body, "lateMs", 0)));
    }
    m_options.agent = textOr(body, "agent", m_options.agent);
    if (const auto *announces = body.if_contains("announce")) {
        m_announces = announces->as_bool();
        co_await sendAnnouncements(m_announces ? "POST" : "DELETE");
    }
    co_return jsonReply(200, json::object());
}

} // namespace Carobflow::StandIn
