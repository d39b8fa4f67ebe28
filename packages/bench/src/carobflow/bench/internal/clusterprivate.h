#pragma once

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/internal/portreservation.h"

namespace Carobflow::Bench
{

/// File name of the daemon, which lies in the directory of the test program.
inline constexpr std::string_view DaemonName = "carobflowd";
inline constexpr std::string_view OperatorToken = "measurement-token";

/// Starts and owns the processes of a cluster.
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

    explicit Private(Options given);

    std::unique_ptr<ChildProcess>
    spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments);

    void startStandIns();

    void reservePorts();

    void startProxy();

    /// The address at which other processes reach a port: that of the proxy route when the cluster is proxied.
    [[nodiscard]] std::string routedAddress(const std::string &route, std::uint16_t port) const;

    [[nodiscard]] std::map<std::string, std::string> commonSettings(const std::string &name) const;

    void startEntry(std::uint32_t index, const std::map<std::string, std::string> &changed = {});

    void startAgent(std::uint32_t index, const std::map<std::string, std::string> &changed = {});

    /// Starts a daemon; `changed` overrides settings for this start only.
    void launch(const std::string &name,
                const std::map<std::string, std::string> &settings,
                const std::map<std::string, std::string> &changed,
                std::unique_ptr<ChildProcess> &process);

    [[nodiscard]] std::string hostName(std::uint32_t index) const;

    /// Racks are assigned to the data centres in turn.
    [[nodiscard]] std::string dataCentreOf(std::uint32_t index) const;

    Options options;
    std::filesystem::path directory;
    std::filesystem::path binaries;
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

HttpEndpoint localEndpoint(std::uint16_t port);
std::string localAddress(std::uint16_t port);

} // namespace Carobflow::Bench
