#pragma once

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/load.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace Carobflow::Bench
{

/// The value of a metric without labels; 0 when the process does not answer or has none.
std::uint64_t metricOf(Cluster &cluster, const HttpEndpoint &process, std::string_view name);

/// The HTTP addresses of all entries and agents.
std::vector<HttpEndpoint> allProcesses(const Cluster &cluster);

/// Waits until every entry and agent reports this version of the sheet, and returns the time since `since`.
Milliseconds waitUntilInForce(Cluster &cluster, SheetVersion version, TimePoint since);

/// Waits until one agent leads shard 0 and is not the given one; returns its index.
std::uint32_t waitForLeader(Cluster &cluster, std::optional<std::uint32_t> otherThan = std::nullopt);

/// Starts the operators' client against an entry.
std::unique_ptr<ChildProcess>
startClient(const Cluster &cluster, std::uint32_t entry, std::vector<std::string> arguments);

/// Writes a sheet to a file of the cluster's directory and returns its path.
std::string sheetFile(const Cluster &cluster, const std::string &name, const std::string &text);

/// Milliseconds of the monotonic clock that the stand-ins' logs use.
std::int64_t monotonicMilliseconds();

/// Times at which tasks started on the hosts of a data centre; an empty name means all data centres.
std::vector<std::int64_t> taskStarts(Cluster &cluster, std::string_view dataCentre);

/// Requests that the upstreams of a data centre have executed.
std::uint64_t executedRequests(Cluster &cluster, std::string_view dataCentre);

/// Calls a function repeatedly on a thread of its own, until stopped or destroyed.
class RepeatedCall
{
public:
    RepeatedCall(std::function<void()> function, Milliseconds interval);
    ~RepeatedCall();
    RepeatedCall(const RepeatedCall &) = delete;
    RepeatedCall &operator=(const RepeatedCall &) = delete;

    /// Ends the calls.
    void stop();

private:
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

/// Sends requests through the entries whose /readyz succeeds, as the platform's balancer does.
class BalancedLoad
{
public:
    BalancedLoad(Cluster &cluster, double requestsPerSecond);

    /// Requests that were answered so far.
    [[nodiscard]] std::uint64_t answered() const;

    /// Ends the load and returns all outcomes.
    LoadSummary stop();

private:
    void sendBatch();

    Cluster &m_cluster;
    double m_rate;
    std::uint64_t m_seed = 0;
    mutable std::mutex m_mutex;
    LoadSummary m_summary;
    RepeatedCall m_sending;
};

/// Submits short jobs at a steady rate and remembers those that were accepted.
class JobStream
{
public:
    JobStream(Cluster &cluster, std::string prefix, Milliseconds interval, std::int64_t runSeconds = 1);

    void stop();
    [[nodiscard]] std::size_t submitted() const;

    /// Accepted jobs that have not finished, with their states.
    [[nodiscard]] std::vector<std::string> unfinished() const;

    /// The number of accepted jobs from the given one on that have finished.
    [[nodiscard]] std::size_t finishedSince(std::size_t first) const;

private:
    void submitOne();
    [[nodiscard]] std::map<std::string, std::string> states() const;

    Cluster &m_cluster;
    std::string m_prefix;
    std::int64_t m_runSeconds;
    std::uint64_t m_next = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_accepted;
    RepeatedCall m_submitting;
};

/// Waits until all accepted jobs have finished; the message names those that have not.
void waitUntilFinished(std::initializer_list<const JobStream *> streams, Milliseconds limit);

} // namespace Carobflow::Bench
