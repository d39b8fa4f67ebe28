#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"
#include "carobflow/logging/log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

enum class Role { Entry, Agent };

/// Standalone processes speak to the services of `connectors`; hosted ones run on the users' platform.
enum class Deployment { Standalone, Hosted };

/// An IP address and a port. Port 0 lets the system choose.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    [[nodiscard]] std::string toString() const;
};

/// What the connections to one address may use. The defaults are beyond what clients within the operators' limits need:
/// headers of 16,384 bytes, 3 s for a header, 15 s idle.
struct ClientLimits {
    /// Open connections; above, the one that has been idle longest is closed.
    std::int64_t connections = 2000;
    /// Request line, headers, trailers, chunk-size lines and chunk extensions of one request.
    std::int64_t headerBytes = 32768;
    /// All requests from their first byte until they are answered.
    std::int64_t readingBytes = 33554432;
    /// Time to send the headers of a request, from its first byte.
    Milliseconds headerTime{10000};
    /// Time to send a whole request, from its first byte.
    Milliseconds requestTime{60000};
    /// Time between requests.
    Milliseconds idleTime{60000};
    /// Time to read a response.
    Milliseconds writeTime{60000};
};

/// All settings of the daemon, with their defaults. `docs/OPERATIONS.md` describes each.
struct Settings {
    /// The file that the settings were read from.
    std::string path;

    // [process]
    Role role = Role::Entry;
    Deployment deployment = Deployment::Standalone;
    std::string name;
    std::string dataCentre;
    std::string rack;
    std::string logLevel = "info";
    std::int64_t threads = 2;
    std::int64_t shards = 1;
    bool adaptivePolicy = true;
    std::int64_t seed = 0;

    // [listen]
    Endpoint http;
    Endpoint grpc;
    /// The address under which other processes reach the gRPC port; empty for the listening address.
    std::string advertise;

    /// The address of the readiness check that the load balancer calls on a hosted entry.
    Endpoint ready;
    /// The address on which a hosted process serves its metrics; port 0 disables this.
    Endpoint metrics;

    // [hosted]
    Endpoint store;
    /// The address of the upstream on the agent's host.
    Endpoint upstream;
    /// Longest lease that the upstream grants to the work that runs on it.
    Milliseconds maxLease{6000};

    // [platform]
    Endpoint table;
    Endpoint objects;
    Endpoint worker;
    Milliseconds platformTimeout{1000};

    // [entry]
    std::string operatorToken;
    std::int64_t maxBodyBytes = 1048576;
    Milliseconds defaultTimeout{2000};
    Milliseconds maxTimeout{25000};
    double retryRatio = 0.2;
    std::int64_t maxChargeFlows = 1000;

    // [limits]
    ClientLimits limits;
    /// Connections to each of [listen] ready and metrics.
    std::int64_t statusConnections = 128;

    // [agent]
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    /// gRPC addresses of entries to announce to while the table cannot name them.
    std::vector<Endpoint> knownEntries;
    std::int64_t queueLimit = 16;

    // [scheduling]
    bool orderByValue = false;
    bool admission = false;
    bool preemption = false;
    bool relocation = false;
    bool groupServices = false;
    bool copies = false;
    bool hostSpeed = false;

    // [timing]
    Milliseconds announceInterval{500};
    Milliseconds announceTimeout{2000};
    Milliseconds sheetPollInterval{500};
    Milliseconds maxSheetAge{2000};
    Milliseconds leaderLease{4000};
    Milliseconds hostGrant{10000};
    Milliseconds workerLease{5000};
    Milliseconds reassignMargin{2000};
    Milliseconds outageGrace{300000};
    Milliseconds drainDelay{1500};
    Milliseconds stopTimeout{30000};
};

/// Reads and checks settings from an INI file. On failure the message has a line for each error with file, section,
/// key, expectation and remedy. Errors: NotFound, InvalidArgument.
Result<Settings> loadSettings(const std::string &path);

/// Reads and checks settings like loadSettings(), from text in memory; `path` is used in messages only.
Result<Settings> parseSettings(std::string_view text, std::string_view path);

/// The level that [process] log_level names.
LogLevel logLevelOf(std::string_view name);

/// Parses "address:port". Errors: InvalidArgument.
Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace Carobflow
