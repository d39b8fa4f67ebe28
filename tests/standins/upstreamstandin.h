#pragma once

#include "standins/httpserver.h"

#include "standins/workerstandin.h"

#include <map>
#include <random>

namespace Carobflow::StandIn
{

/// The upstream of one host: echoes each request after a service time that grows with the tasks on the same host.
class UpstreamStandIn
{
public:
    struct Options {
        std::string name = "upstream";
        std::string service = "desk";
        std::uint32_t slots = 8;
        /// Median of the lognormal service time on an idle host.
        std::chrono::milliseconds serviceTime{20};
        /// Shape of the lognormal distribution.
        double sigma = 0.4;
        std::uint64_t seed = 1;
        /// Draws the hidden slowdown factors; hosts that share it slow down in the same way.
        std::uint64_t pairSeed = 1;
        /// The largest slowdown factor of one task at full load.
        double maxSlowdown = 3;
    };

    UpstreamStandIn(Options options, const WorkerStandIn &worker);

    boost::asio::awaitable<ServerReply> serve(const ServerRequest &request);

    /// Sets the mode of answers: "normal", "stall" (none until the mode changes), "truncate" or "late" (by a delay).
    void setMode(const std::string &mode, std::chrono::milliseconds lateBy);

    /// Adds the executed requests, keys and short bodies with their counts and the highest concurrency to the log.
    void addToLog(boost::json::object &log) const;

private:
    [[nodiscard]] double slowdown() const;
    [[nodiscard]] double hiddenFactor(const std::string &jobClass) const;

    Options m_options;
    const WorkerStandIn &m_worker;
    std::mt19937_64 m_random;
    std::lognormal_distribution<double> m_distribution;
    std::string m_mode = "normal";
    std::chrono::milliseconds m_lateBy{0};
    std::uint32_t m_concurrent = 0;
    std::uint32_t m_maxConcurrent = 0;
    std::uint64_t m_executed = 0;
    std::map<std::string, std::uint64_t> m_requestIds;
    std::map<std::string, std::uint64_t> m_idempotencyKeys;
    std::map<std::string, std::uint64_t> m_bodies;
};

} // namespace Carobflow::StandIn
