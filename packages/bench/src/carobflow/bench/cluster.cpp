#include "carobflow/bench/cluster.h"

#include "carobflow/bench/internal/portreservation.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <unistd.h>

namespace Carobflow::Bench
{
namespace
{

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr std::string_view Loopback = "127.0.0.1";
/// Hundreds of daemons that start at once take turns on the processors.
constexpr Milliseconds StartLimit{60000};
constexpr std::string_view DaemonName = "carobflowd";
constexpr std::string_view Token = "measurement-token";

HttpEndpoint local(std::uint16_t port)
{
    return {.host = std::string(Loopback), .port = port};
}

std::string addressOf(std::uint16_t port)
{
    return std::string(Loopback) + ":" + std::to_string(port);
}

std::uint16_t portIn(const std::string &line, std::string_view key)
{
    return static_cast<std::uint16_t>(std::stoul(valueInLine(line, key)));
}

fs::path createDirectory()
{
    std::string pattern = (fs::temp_directory_path() / "carobflow-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    return pattern;
}

/// Writes settings as an INI file with a section for each prefix of the keys.
void writeSettings(const fs::path &path, const std::map<std::string, std::string> &settings)
{
    std::ofstream file(path);
    std::string section;
    for (const auto &[key, value] : settings) {
        const auto dot = key.find('.');
        if (key.substr(0, dot) != section) {
            section = key.substr(0, dot);
            file << "[" << section << "]\n";
        }
        file << key.substr(dot + 1) << " = " << value << "\n";
    }
}

} // namespace

class Cluster::Private
{
public:
    struct Host {
        std::unique_ptr<ChildProcess> standIn;
        std::unique_ptr<ChildProcess> agent;
        std::uint16_t workerPort = 0;
        std::uint16_t controlPort = 0;
        std::uint16_t upstreamPort = 0;
        std::uint16_t agentHttpPort = 0;
        std::uint16_t agentGrpcPort = 0;
    };

    struct Entry {
        std::unique_ptr<ChildProcess> process;
        std::uint16_t httpPort = 0;
        std::uint16_t grpcPort = 0;
    };

    explicit Private(Options given)
        : options(std::move(given))
        , directory(createDirectory())
        , binaries(fs::read_symlink("/proc/self/exe").parent_path())
    {
    }

    std::unique_ptr<ChildProcess>
    spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments)
    {
        return std::make_unique<ChildProcess>(ChildProcess::Options{
            .name = name,
            .program = program == DaemonName && !options.daemon.empty() ? options.daemon : binaries / program,
            .arguments = std::move(arguments),
            .output = directory / (name + "-" + std::to_string(++starts) + ".log")});
    }

    void startStandIns()
    {
        platform = spawn("platform", "carobflow-standin", {"platform"});
        const std::string line = platform->waitForLine("ready ");
        platformPort = portIn(line, "port");
        platformControlPort = portIn(line, "control");
        const Deployment &sizes = options.deployment;
        hosts.resize(sizes.hosts);
        for (std::uint32_t index = 0; index < sizes.hosts; index += options.agentsPerStandIn) {
            std::vector<std::string> arguments{"host",
                                               "--name",
                                               hostName(index),
                                               "--service",
                                               sizes.service,
                                               "--slots",
                                               std::to_string(sizes.slots),
                                               "--connections",
                                               std::to_string(sizes.connections),
                                               "--cpu-millis",
                                               std::to_string(sizes.cpuMillis),
                                               "--memory-mib",
                                               std::to_string(sizes.memoryMiB),
                                               "--service-ms",
                                               std::to_string(sizes.serviceMilliseconds),
                                               "--seed",
                                               std::to_string(options.seed * 1000 + index),
                                               "--pair-seed",
                                               std::to_string(options.seed)};
            arguments.insert(arguments.end(), options.hostArguments.begin(), options.hostArguments.end());
            if (const auto single = options.singleHostArguments.find(index);
                single != options.singleHostArguments.end()) {
                arguments.insert(arguments.end(), single->second.begin(), single->second.end());
            }
            hosts[index].standIn = spawn(hostName(index) + "-standin", "carobflow-standin", std::move(arguments));
        }
        for (std::uint32_t index = 0; index < sizes.hosts; ++index) {
            Host &host = hosts[index];
            const Host &owner = hosts[index - index % options.agentsPerStandIn];
            const std::string ready = owner.standIn->waitForLine("ready ");
            host.workerPort = portIn(ready, "port");
            host.controlPort = portIn(ready, "control");
            host.upstreamPort = portIn(ready, "upstream");
        }
    }

    void reservePorts()
    {
        for (Host &host : hosts) {
            host.agentHttpPort = ports.reserve();
            host.agentGrpcPort = ports.reserve();
        }
        entries.resize(options.deployment.entries);
        for (Entry &entry : entries) {
            entry.httpPort = ports.reserve();
            entry.grpcPort = ports.reserve();
        }
    }

    void startProxy()
    {
        if (!options.proxied) {
            return;
        }
        std::vector<std::string> arguments{"proxy", "--route", "table@0=" + addressOf(platformPort)};
        const auto add = [&](const std::string &name, std::uint16_t port) {
            arguments.insert(arguments.end(), {"--route", name + "@0=" + addressOf(port)});
        };
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            add("worker-" + std::to_string(index), hosts[index].workerPort);
            add("agent-" + std::to_string(index), hosts[index].agentGrpcPort);
        }
        for (std::size_t index = 0; index < entries.size(); ++index) {
            add("entry-" + std::to_string(index), entries[index].grpcPort);
            if (options.separateEntryTables) {
                add("entry-table-" + std::to_string(index), platformPort);
            }
        }
        proxy = spawn("proxy", "carobflow-standin", std::move(arguments));
        proxyReady = proxy->waitForLine("ready ");
        proxyControlPort = portIn(proxyReady, "control");
    }

    /// The address at which others reach a port: the proxy's route when there is a proxy.
    [[nodiscard]] std::string through(const std::string &route, std::uint16_t port) const
    {
        return addressOf(options.proxied ? portIn(proxyReady, "route." + route) : port);
    }

    [[nodiscard]] std::map<std::string, std::string> commonSettings(const std::string &name) const
    {
        std::map<std::string, std::string> settings{
            {"process.name", name},
            {"process.threads", "2"},
            {"process.shards", std::to_string(options.deployment.shards)},
            {"process.seed", std::to_string(options.seed)},
            {"platform.table", through("table", platformPort)},
            {"platform.objects", through("table", platformPort)},
        };
        return settings;
    }

    void startEntry(std::uint32_t index)
    {
        Entry &entry = entries[index];
        const std::string name = "entry-" + std::to_string(index);
        auto settings = commonSettings(name);
        if (options.separateEntryTables) {
            settings["platform.table"] = through("entry-table-" + std::to_string(index), platformPort);
            settings["platform.objects"] = settings["platform.table"];
        }
        settings["process.role"] = "entry";
        settings["process.data_centre"] = options.deployment.dataCentres[index % options.deployment.dataCentres.size()];
        settings["listen.http"] = addressOf(entry.httpPort);
        settings["listen.grpc"] = addressOf(entry.grpcPort);
        settings["listen.advertise"] = through(name, entry.grpcPort);
        settings["entry.operator_token"] = std::string(Token);
        launch(name, settings, entry.process);
    }

    void startAgent(std::uint32_t index)
    {
        Host &host = hosts[index];
        const std::string suffix = std::to_string(index);
        auto settings = commonSettings(hostName(index));
        settings["process.role"] = "agent";
        settings["process.data_centre"] = dataCentreOf(index);
        settings["process.rack"] = "rack-" + std::to_string(index / options.deployment.hostsPerRack);
        settings["listen.http"] = addressOf(host.agentHttpPort);
        settings["listen.grpc"] = addressOf(host.agentGrpcPort);
        settings["listen.advertise"] = through("agent-" + suffix, host.agentGrpcPort);
        settings["platform.worker"] = through("worker-" + suffix, host.workerPort);
        settings["agent.cpu_millis"] = std::to_string(options.deployment.cpuMillis);
        settings["agent.memory_mib"] = std::to_string(options.deployment.memoryMiB);
        launch(hostName(index), settings, host.agent);
    }

    void
    launch(const std::string &name, std::map<std::string, std::string> settings, std::unique_ptr<ChildProcess> &process)
    {
        for (const auto &[key, value] : options.settings) {
            settings[key] = value;
        }
        const fs::path path = directory / (name + ".ini");
        writeSettings(path, settings);
        process = spawn(name, std::string(DaemonName), {"--settings", path.string()});
    }

    [[nodiscard]] std::string hostName(std::uint32_t index) const
    {
        return "host-" + std::to_string(index);
    }

    /// Racks are spread over the data centres in turn.
    [[nodiscard]] std::string dataCentreOf(std::uint32_t index) const
    {
        const auto &dataCentres = options.deployment.dataCentres;
        return dataCentres[(index / options.deployment.hostsPerRack) % dataCentres.size()];
    }

    Options options;
    fs::path directory;
    fs::path binaries;
    HttpCaller caller;
    PortReservation ports;
    int starts = 0;
    std::uint16_t platformPort = 0;
    std::uint16_t platformControlPort = 0;
    std::uint16_t proxyControlPort = 0;
    std::string proxyReady;
    std::unique_ptr<ChildProcess> platform;
    std::unique_ptr<ChildProcess> proxy;
    std::vector<Host> hosts;
    std::vector<Entry> entries;
};

Cluster::Cluster(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

Cluster::~Cluster()
{
    const fs::path directory = d->directory;
    const bool keep = std::uncaught_exceptions() > 0 || ::getenv("CAROBFLOW_KEEP_LOGS") != nullptr;
    d.reset();
    std::error_code ignored;
    if (!keep) {
        fs::remove_all(directory, ignored);
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
        agents += (agents.empty() ? "" : ",") + addressOf(host.agentHttpPort);
    }
    for (const auto &[port, agents] : agentsByControlPort) {
        d->caller.postJson(local(port), "/control", {{"agent", agents}});
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
    waitUntil("all entries are ready, as the platform's balancer sees it", [&] {
        for (std::uint32_t index = 0; index < d->entries.size(); ++index) {
            const auto outcome = d->caller.call(entry(index), {.target = "/readyz"});
            const auto *answer = std::get_if<HttpAnswer>(&outcome);
            if (answer == nullptr || answer->status != 200) {
                return false;
            }
        }
        return true;
    });
    waitUntil("all shards are led", [&] {
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
    return local(d->entries.at(index).httpPort);
}

HttpEndpoint Cluster::agentHttp(std::uint32_t index) const
{
    return local(d->hosts.at(index).agentHttpPort);
}

HttpEndpoint Cluster::platformControl() const
{
    return local(d->platformControlPort);
}

HttpEndpoint Cluster::platform() const
{
    return local(d->platformPort);
}

std::vector<HttpEndpoint> Cluster::entries() const
{
    std::vector<HttpEndpoint> endpoints;
    for (const Private::Entry &entry : d->entries) {
        endpoints.push_back(local(entry.httpPort));
    }
    return endpoints;
}

HttpEndpoint Cluster::hostControl(std::uint32_t index) const
{
    return local(d->hosts.at(index).controlPort);
}

HttpEndpoint Cluster::upstream(std::uint32_t index) const
{
    return local(d->hosts.at(index).upstreamPort);
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

void Cluster::restartEntry(std::uint32_t index)
{
    d->startEntry(index);
    entryProcess(index).waitForLine("event=ready");
}

void Cluster::restartAgent(std::uint32_t index)
{
    d->startAgent(index);
    agentProcess(index).waitForLine("event=ready");
}

void Cluster::setRoute(std::string_view route, std::string_view mode, std::uint32_t delayMilliseconds)
{
    d->caller.postJson(
        local(d->proxyControlPort), "/control", {{"route", route}, {"mode", mode}, {"delayMs", delayMilliseconds}});
}

void Cluster::setDistances()
{
    const auto microseconds = static_cast<std::int64_t>(d->options.deployment.dataCentreMilliseconds * 1000);
    for (std::size_t index = 0; index < d->hosts.size(); ++index) {
        d->caller.postJson(local(d->proxyControlPort),
                           "/control",
                           {{"route", "agent-" + std::to_string(index)}, {"mode", "delay"}, {"delayUs", microseconds}});
    }
}

std::map<std::string, std::uint64_t> Cluster::routeBytes()
{
    std::map<std::string, std::uint64_t> bytes;
    const auto routes = d->caller.postJson(local(d->proxyControlPort), "/control", json::object());
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
                                            .headers = {{"Authorization", "Bearer " + std::string(Token)},
                                                        {"If-Match", std::to_string(current)},
                                                        {"Carobflow-Author", "measurement"}},
                                            .body = text,
                                            .timeout = Milliseconds(10000)});
    if (answer.status != 200) {
        throw std::runtime_error("the sheet was refused: " + answer.body);
    }
    return current + 1;
}

void Cluster::setDataCentre(std::string_view dataCentre, bool inService, std::uint32_t entryIndex)
{
    const auto answer = d->caller.mustCall(
        entry(entryIndex),
        {.method = "POST",
         .target = "/v1/datacentres/" + std::string(dataCentre) + (inService ? "/in" : "/out"),
         .headers = {{"Authorization", "Bearer " + std::string(Token)}, {"Carobflow-Author", "measurement"}},
         .timeout = Milliseconds(10000)});
    if (answer.status != 200) {
        throw std::runtime_error("the data centre was not changed: " + answer.body);
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

std::uint32_t Cluster::leaderIndex()
{
    for (std::uint32_t index = 0; index < d->hosts.size(); ++index) {
        const auto outcome = d->caller.call(agentHttp(index), {.target = "/metrics"});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer != nullptr && answer->body.find("carobflow_shard_leading{shard=\"0\"} 1") != std::string::npos) {
            return index;
        }
    }
    throw std::runtime_error("no agent leads shard 0");
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

const fs::path &Cluster::directory() const
{
    return d->directory;
}

std::string_view Cluster::operatorToken()
{
    return Token;
}

} // namespace Carobflow::Bench
