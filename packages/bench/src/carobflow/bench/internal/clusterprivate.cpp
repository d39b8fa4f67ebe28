#include "carobflow/bench/internal/clusterprivate.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace Carobflow::Bench
{
namespace
{

constexpr std::string_view Loopback = "127.0.0.1";

std::uint16_t portIn(const std::string &line, std::string_view key)
{
    return static_cast<std::uint16_t>(std::stoul(valueInLine(line, key)));
}

std::filesystem::path createDirectory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carobflow-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    return pattern;
}

/// Writes settings as an INI file; the part of each key before the dot is its section.
void writeSettings(const std::filesystem::path &path, const std::map<std::string, std::string> &settings)
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

HttpEndpoint localEndpoint(std::uint16_t port)
{
    return {.host = std::string(Loopback), .port = port};
}

std::string localAddress(std::uint16_t port)
{
    return std::string(Loopback) + ":" + std::to_string(port);
}

Cluster::Private::Private(Options given)
    : options(std::move(given))
    , directory(createDirectory())
    , binaries(std::filesystem::read_symlink("/proc/self/exe").parent_path())
{
}

std::unique_ptr<ChildProcess>
Cluster::Private::spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments)
{
    return std::make_unique<ChildProcess>(ChildProcess::Options{
        .name = name,
        .program = program == DaemonName && !options.daemon.empty() ? options.daemon : binaries / program,
        .arguments = std::move(arguments),
        .output = directory / (name + "-" + std::to_string(++starts) + ".log")});
}

void Cluster::Private::startStandIns()
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
        if (const auto single = options.singleHostArguments.find(index); single != options.singleHostArguments.end()) {
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

void Cluster::Private::reservePorts()
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

void Cluster::Private::startProxy()
{
    if (!options.proxied) {
        return;
    }
    std::vector<std::string> arguments{"proxy", "--route", "table@0=" + localAddress(platformPort)};
    const auto add = [&](const std::string &name, std::uint16_t port) {
        arguments.insert(arguments.end(), {"--route", name + "@0=" + localAddress(port)});
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

std::string Cluster::Private::routedAddress(const std::string &route, std::uint16_t port) const
{
    return localAddress(options.proxied ? portIn(proxyReady, "route." + route) : port);
}

std::map<std::string, std::string> Cluster::Private::commonSettings(const std::string &name) const
{
    std::map<std::string, std::string> settings{
        {"process.name", name},
        {"process.threads", "2"},
        {"process.shards", std::to_string(options.deployment.shards)},
        {"process.seed", std::to_string(options.seed)},
        {"platform.table", routedAddress("table", platformPort)},
        {"platform.objects", routedAddress("table", platformPort)},
    };
    return settings;
}

void Cluster::Private::startEntry(std::uint32_t index, const std::map<std::string, std::string> &changed)
{
    Entry &entry = entries[index];
    const std::string name = "entry-" + std::to_string(index);
    auto settings = commonSettings(name);
    if (options.separateEntryTables) {
        settings["platform.table"] = routedAddress("entry-table-" + std::to_string(index), platformPort);
        settings["platform.objects"] = settings["platform.table"];
    }
    settings["process.role"] = "entry";
    settings["process.data_centre"] = options.deployment.dataCentres[index % options.deployment.dataCentres.size()];
    settings["listen.http"] = localAddress(entry.httpPort);
    settings["listen.grpc"] = localAddress(entry.grpcPort);
    settings["listen.advertise"] = routedAddress(name, entry.grpcPort);
    settings["entry.operator_token"] = std::string(OperatorToken);
    launch(name, settings, changed, entry.process);
}

void Cluster::Private::startAgent(std::uint32_t index, const std::map<std::string, std::string> &changed)
{
    Host &host = hosts[index];
    const std::string suffix = std::to_string(index);
    auto settings = commonSettings(hostName(index));
    settings["process.role"] = "agent";
    settings["process.data_centre"] = dataCentreOf(index);
    settings["process.rack"] = "rack-" + std::to_string(index / options.deployment.hostsPerRack);
    settings["listen.http"] = localAddress(host.agentHttpPort);
    settings["listen.grpc"] = localAddress(host.agentGrpcPort);
    settings["listen.advertise"] = routedAddress("agent-" + suffix, host.agentGrpcPort);
    settings["platform.worker"] = routedAddress("worker-" + suffix, host.workerPort);
    settings["agent.cpu_millis"] = std::to_string(options.deployment.cpuMillis);
    settings["agent.memory_mib"] = std::to_string(options.deployment.memoryMiB);
    launch(hostName(index), settings, changed, host.agent);
}

void Cluster::Private::launch(const std::string &name,
                              const std::map<std::string, std::string> &settings,
                              const std::map<std::string, std::string> &changed,
                              std::unique_ptr<ChildProcess> &process)
{
    std::map<std::string, std::string> all = changed;
    all.insert(options.settings.begin(), options.settings.end());
    all.insert(settings.begin(), settings.end());
    const std::filesystem::path path = directory / (name + ".ini");
    writeSettings(path, all);
    process = spawn(name, std::string(DaemonName), {"--settings", path.string()});
}

std::string Cluster::Private::hostName(std::uint32_t index) const
{
    return "host-" + std::to_string(index);
}

std::string Cluster::Private::dataCentreOf(std::uint32_t index) const
{
    const auto &dataCentres = options.deployment.dataCentres;
    return dataCentres[(index / options.deployment.hostsPerRack) % dataCentres.size()];
}

} // namespace Carobflow::Bench
