#include "carobflow/bench/cluster.h"

#include "carobflow/bench/internal/clusterprivate.h"

#include <csignal>
#include <stdexcept>

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace json = boost::json;

/// Allows for hundreds of daemons that start at once and compete for the processors.
constexpr Milliseconds StartLimit{60000};

} // namespace

Cluster::Cluster(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

Cluster::~Cluster()
{
    const std::filesystem::path directory = d->directory;
    const bool keep = std::uncaught_exceptions() > 0 || ::getenv("CAROBFLOW_KEEP_LOGS") != nullptr;
    d.reset();
    std::error_code ignored;
    if (!keep) {
        std::filesystem::remove_all(directory, ignored);
    }
}

void Cluster::start(const std::string &sheet)
{
    d->startStandIns();
    d->reservePorts();
    d->startProxy();
    for (std::uint32_t index = 0; index < d->entries.size(); ++index) {
        d->startEntry(index);
    }
    for (std::uint32_t index = 0; index < d->hosts.size(); ++index) {
        d->startAgent(index);
    }
    for (auto &entry : d->entries) {
        entry.process->waitForLine("event=ready");
    }
    std::map<std::uint16_t, std::string> agentsByControlPort;
    for (auto &host : d->hosts) {
        host.agent->waitForLine("event=ready", StartLimit);
        std::string &agents = agentsByControlPort[host.controlPort];
        agents += (agents.empty() ? "" : ",") + localAddress(host.agentHttpPort);
    }
    for (const auto &[port, agents] : agentsByControlPort) {
        d->caller.postJson(localEndpoint(port), "/control", {{"agent", agents}});
    }
    applySheet(sheet);
    waitUntil("all entries know all upstreams", [&] {
        for (std::uint32_t index = 0; index < d->entries.size(); ++index) {
            const auto upstreams = d->caller.getJson(entry(index), "/v1/upstreams").at("upstreams").as_array();
            if (upstreams.size() < d->hosts.size()) {
                return false;
            }
        }
        return true;
    });
    waitUntil("all entries pass the readiness check of the platform's load balancer", [&] {
        for (std::uint32_t index = 0; index < d->entries.size(); ++index) {
            const auto outcome = d->caller.call(entry(index), {.target = "/readyz"});
            const auto *answer = std::get_if<HttpAnswer>(&outcome);
            if (answer == nullptr || answer->status != 200) {
                return false;
            }
        }
        return true;
    });
    waitUntil("all shards have a leader", [&] {
        const auto outcome = d->caller.call(entry(0), {.target = "/v1/jobs", .timeout = Milliseconds(8000)});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer != nullptr && answer->status == 200;
    });
}

std::vector<std::string> Cluster::stop(Milliseconds limit)
{
    std::vector<ChildProcess *> daemons;
    for (auto &host : d->hosts) {
        daemons.push_back(host.agent.get());
    }
    for (auto &entry : d->entries) {
        daemons.push_back(entry.process.get());
    }
    for (ChildProcess *daemon : daemons) {
        daemon->signal(SIGTERM);
    }
    std::vector<std::string> failed;
    for (ChildProcess *daemon : daemons) {
        if (daemon->waitForEnd(limit) != 0) {
            failed.push_back(daemon->name());
        }
    }
    return failed;
}

HttpCaller &Cluster::caller()
{
    return d->caller;
}

HttpEndpoint Cluster::entry(std::uint32_t index) const
{
    return localEndpoint(d->entries.at(index).httpPort);
}

HttpEndpoint Cluster::agentHttp(std::uint32_t index) const
{
    return localEndpoint(d->hosts.at(index).agentHttpPort);
}

HttpEndpoint Cluster::platformControl() const
{
    return localEndpoint(d->platformControlPort);
}

HttpEndpoint Cluster::platform() const
{
    return localEndpoint(d->platformPort);
}

std::vector<HttpEndpoint> Cluster::entries() const
{
    std::vector<HttpEndpoint> endpoints;
    for (const Private::Entry &entry : d->entries) {
        endpoints.push_back(localEndpoint(entry.httpPort));
    }
    return endpoints;
}

HttpEndpoint Cluster::hostControl(std::uint32_t index) const
{
    return localEndpoint(d->hosts.at(index).controlPort);
}

HttpEndpoint Cluster::upstream(std::uint32_t index) const
{
    return localEndpoint(d->hosts.at(index).upstreamPort);
}

HttpEndpoint Cluster::worker(std::uint32_t index) const
{
    return localEndpoint(d->hosts.at(index).workerPort);
}

std::string Cluster::hostName(std::uint32_t index) const
{
    return d->hostName(index);
}

std::string Cluster::dataCentreOf(std::uint32_t index) const
{
    return d->dataCentreOf(index);
}

ChildProcess &Cluster::entryProcess(std::uint32_t index)
{
    return *d->entries.at(index).process;
}

ChildProcess &Cluster::agentProcess(std::uint32_t index)
{
    return *d->hosts.at(index).agent;
}

void Cluster::restartEntry(std::uint32_t index, const std::map<std::string, std::string> &changed)
{
    d->startEntry(index, changed);
    entryProcess(index).waitForLine("event=ready");
}

void Cluster::restartAgent(std::uint32_t index, const std::map<std::string, std::string> &changed)
{
    d->startAgent(index, changed);
    agentProcess(index).waitForLine("event=ready");
}

void Cluster::setRoute(std::string_view route, std::string_view mode, std::uint32_t delayMilliseconds)
{
    d->caller.postJson(localEndpoint(d->proxyControlPort),
                       "/control",
                       {{"route", route}, {"mode", mode}, {"delayMs", delayMilliseconds}});
}

void Cluster::applyDataCentreLatency()
{
    const auto microseconds = static_cast<std::int64_t>(d->options.deployment.dataCentreMilliseconds * 1000);
    for (std::size_t index = 0; index < d->hosts.size(); ++index) {
        d->caller.postJson(localEndpoint(d->proxyControlPort),
                           "/control",
                           {{"route", "agent-" + std::to_string(index)}, {"mode", "delay"}, {"delayUs", microseconds}});
    }
}

std::map<std::string, std::uint64_t> Cluster::routeBytes()
{
    std::map<std::string, std::uint64_t> bytes;
    const auto routes = d->caller.postJson(localEndpoint(d->proxyControlPort), "/control", json::object());
    for (const auto &route : routes.as_object()) {
        bytes[route.key()] = route.value().at("bytesToTarget").to_number<std::uint64_t>()
            + route.value().at("bytesFromTarget").to_number<std::uint64_t>();
    }
    return bytes;
}

void Cluster::setPlatform(std::string_view mode, std::uint32_t delayMilliseconds, std::uint32_t dropReplies)
{
    d->caller.postJson(
        platformControl(), "/control", {{"mode", mode}, {"delayMs", delayMilliseconds}, {"dropReplies", dropReplies}});
}

std::uint64_t Cluster::applySheet(const std::string &text, std::uint32_t entryIndex)
{
    std::uint64_t current = 0;
    waitUntil("the current sheet can be read", [&] {
        const auto outcome = d->caller.call(entry(entryIndex), {.target = "/v1/sheet"});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        return answer != nullptr && answer->status == 200;
    });
    current = d->caller.getJson(entry(entryIndex), "/v1/sheet").at("version").to_number<std::uint64_t>();
    const auto answer = d->caller.mustCall(entry(entryIndex),
                                           {.method = "PUT",
                                            .target = "/v1/sheet",
                                            .headers = {{"Authorization", "Bearer " + std::string(OperatorToken)},
                                                        {"If-Match", std::to_string(current)},
                                                        {"Carobflow-Author", "measurement"}},
                                            .body = text,
                                            .timeout = Milliseconds(10000)});
    if (answer.status != 200) {
        throw std::runtime_error("sheet was rejected: " + answer.body);
    }
    return current + 1;
}

void Cluster::setDataCentre(std::string_view dataCentre, bool inService, std::uint32_t entryIndex)
{
    const auto answer = d->caller.mustCall(
        entry(entryIndex),
        {.method = "POST",
         .target = "/v1/datacentres/" + std::string(dataCentre) + (inService ? "/in" : "/out"),
         .headers = {{"Authorization", "Bearer " + std::string(OperatorToken)}, {"Carobflow-Author", "measurement"}},
         .timeout = Milliseconds(10000)});
    if (answer.status != 200) {
        throw std::runtime_error("change of the data centre was rejected: " + answer.body);
    }
}

void Cluster::submitJob(std::string_view id,
                        std::string_view jobClass,
                        std::int64_t runSeconds,
                        std::int64_t cpuMillis,
                        std::string_view urgency,
                        std::int64_t deadlineUnixSeconds)
{
    d->caller.postJson(entry(0),
                       "/v1/jobs",
                       {{"id", id},
                        {"team", "workshop"},
                        {"jobClass", jobClass},
                        {"urgency", urgency},
                        {"cpuMillis", cpuMillis},
                        {"memoryMiB", 1000},
                        {"accelerators", 0},
                        {"runSeconds", runSeconds},
                        {"deadlineUnixSeconds", deadlineUnixSeconds}});
}

json::object Cluster::job(std::string_view id)
{
    return d->caller.getJson(entry(0), "/v1/jobs/" + std::string(id)).as_object();
}

std::uint32_t Cluster::leaderIndex(ShardId shard)
{
    const std::string metric = "carobflow_shard_leading{shard=\"" + std::to_string(shard) + "\"} 1";
    for (std::uint32_t index = 0; index < d->hosts.size(); ++index) {
        const auto outcome = d->caller.call(agentHttp(index), {.target = "/metrics"});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer != nullptr && answer->body.find(metric) != std::string::npos) {
            return index;
        }
    }
    throw std::runtime_error("no agent leads shard " + std::to_string(shard));
}

std::vector<json::object> Cluster::hostLogs()
{
    std::vector<json::object> logs;
    for (std::uint32_t index = 0; index < d->hosts.size(); ++index) {
        logs.push_back(d->caller.getJson(hostControl(index), "/control/log").as_object());
    }
    return logs;
}

const Deployment &Cluster::deployment() const
{
    return d->options.deployment;
}

const std::filesystem::path &Cluster::directory() const
{
    return d->directory;
}

std::string_view Cluster::operatorToken()
{
    return OperatorToken;
}

} // namespace Carobflow::Bench
