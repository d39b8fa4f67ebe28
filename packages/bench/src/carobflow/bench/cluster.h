#pragma once

#include "carobflow/bench/childprocess.h"
#include "carobflow/bench/deployment.h"
#include "carobflow/bench/httpcaller.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace Carobflow::Bench
{

/// A complete system of real processes on the loopback interface: stand-ins for the platform and for each host, entries
/// and agents. The operating system assigns all ports.
class Cluster
{
public:
    struct Options {
        Deployment deployment = coopDeployment();
        /// Additional settings of the daemons by "section.key".
        std::map<std::string, std::string> settings;
        /// Additional arguments of all host stand-ins, and of individual ones by index.
        std::vector<std::string> hostArguments;
        std::map<std::uint32_t, std::vector<std::string>> singleHostArguments;
        /// True runs all connections through the fault-injecting proxy. Its routes are named table, worker-<i>,
        /// agent-<i> and entry-<j>.
        bool proxied = false;
        /// Number of agents that share one host stand-in, for large clusters without tasks. Agents must not share
        /// tasks, so a cluster that runs tasks needs 1.
        std::uint32_t agentsPerStandIn = 1;
        /// The daemon to run; empty for the one in the directory of this program.
        std::filesystem::path daemon;
        /// True gives each entry its own proxy route to the store, named entry-table-<j>, so that individual entries
        /// can be cut off from it. The route named table is then used by the agents only.
        bool separateEntryTables = false;
        std::uint64_t seed = 1;
    };

    explicit Cluster(Options options);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /// Starts all processes, applies the sheet, and waits until requests can be served and every shard has a leader.
    void start(const std::string &sheet);

    /// Stops all daemons gracefully; returns the names of those that did not end with code 0 in time.
    std::vector<std::string> stop(Milliseconds limit = Milliseconds(40000));

    HttpCaller &caller();
    [[nodiscard]] HttpEndpoint entry(std::uint32_t index) const;
    [[nodiscard]] HttpEndpoint agentHttp(std::uint32_t index) const;
    [[nodiscard]] HttpEndpoint platformControl() const;
    [[nodiscard]] HttpEndpoint platform() const;
    /// All entries, in the order of their indexes.
    [[nodiscard]] std::vector<HttpEndpoint> entries() const;
    [[nodiscard]] HttpEndpoint hostControl(std::uint32_t index) const;
    [[nodiscard]] HttpEndpoint upstream(std::uint32_t index) const;
    /// The address of a host's worker that bypasses the proxy.
    [[nodiscard]] HttpEndpoint worker(std::uint32_t index) const;
    [[nodiscard]] std::string hostName(std::uint32_t index) const;
    [[nodiscard]] std::string dataCentreOf(std::uint32_t index) const;

    ChildProcess &entryProcess(std::uint32_t index);
    ChildProcess &agentProcess(std::uint32_t index);

    /// Restarts an entry or agent that has ended, with the same addresses and with its settings overridden by
    /// `changed`.
    void restartEntry(std::uint32_t index, const std::map<std::string, std::string> &changed = {});
    void restartAgent(std::uint32_t index, const std::map<std::string, std::string> &changed = {});

    /// Sets the mode of a proxy route; "*" stands for all routes.
    void setRoute(std::string_view route, std::string_view mode, std::uint32_t delayMilliseconds = 0);

    /// Delays each chunk on the routes to the agents by the one-way latency between data centres.
    void applyDataCentreLatency();

    /// Bytes forwarded by the proxy in both directions, by route.
    std::map<std::string, std::uint64_t> routeBytes();

    /// Sets the mode of the platform stand-in.
    void setPlatform(std::string_view mode, std::uint32_t delayMilliseconds = 0, std::uint32_t dropReplies = 0);

    /// Applies a sheet through an entry and returns its version. Throws std::runtime_error when it is rejected.
    std::uint64_t applySheet(const std::string &text, std::uint32_t entryIndex = 0);
    void setDataCentre(std::string_view dataCentre, bool inService, std::uint32_t entryIndex = 0);

    void submitJob(std::string_view id,
                   std::string_view jobClass,
                   std::int64_t runSeconds,
                   std::int64_t cpuMillis = 1000,
                   std::string_view urgency = "normal",
                   std::int64_t deadlineUnixSeconds = 0);
    boost::json::object job(std::string_view id);

    /// The index of the agent that leads a shard, according to the agents' metrics. Throws std::runtime_error when no
    /// agent leads it.
    std::uint32_t leaderIndex(ShardId shard = 0);

    /// The event logs of all host stand-ins.
    std::vector<boost::json::object> hostLogs();

    [[nodiscard]] const Deployment &deployment() const;
    [[nodiscard]] const std::filesystem::path &directory() const;
    [[nodiscard]] static std::string_view operatorToken();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Carobflow::Bench
