#pragma once

#include "carobflow/bench/childprocess.h"
#include "carobflow/bench/httpcaller.h"
#include "carobflow/bench/internal/portreservation.h"
#include "standins/serverstandin.h"
#include "standins/storestandin.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

namespace Carobflow::Bench
{

/// Real daemons against stand-ins of the users' platform: a store, workers, and a configuration with one queue.
class HostedSystem
{
public:
    struct Options {
        std::size_t entries = 1;
        std::size_t agents = 3;
        std::int64_t workerCpuMillis = 4000;
        /// Longest lease that workers grant.
        Milliseconds maxLease{6000};
        /// Threads of each agent's event loop; the daemon's default when it is 0.
        std::size_t agentThreads = 0;
        /// Lines for the section [limits] of every process; empty leaves the defaults.
        std::string limits{};
    };

    struct Ports {
        std::uint16_t http = 0;
        std::uint16_t ready = 0;
        std::uint16_t grpc = 0;
        std::uint16_t metrics = 0;
    };

    explicit HostedSystem(Options options);
    ~HostedSystem();
    HostedSystem(const HostedSystem &) = delete;
    HostedSystem &operator=(const HostedSystem &) = delete;

    /// Waits until a job can be submitted.
    void waitUntilReady();

    /// Submits a job of `tasks` tasks that each run for `work`; returns the HTTP status of the answer.
    unsigned submit(const std::string &id, std::size_t tasks, Milliseconds work, std::size_t entry = 0);

    /// Submits a job in the form in which clients send it.
    unsigned submitBody(const std::string &id, std::string body, std::size_t entry = 0);

    /// The state that clients are shown; the HTTP status of the answer when it is not 200.
    std::string state(const std::string &id, std::size_t entry = 0);
    unsigned cancel(const std::string &id, std::size_t entry = 0);

    /// Sends a check-in to an agent as any program can; returns the HTTP status of the answer.
    unsigned checkIn(std::size_t agent, const std::string &id, const boost::json::object &report);

    /// Writes the next configuration, with or without the queue and its service.
    void configure(bool withQueue);

    /// The text of an agent's metrics.
    std::string agentMetrics(std::size_t index);

    /// Waits until a job is reported in this state; false when the limit passes first.
    bool waitForState(const std::string &id, const std::string &state, Milliseconds limit);

    /// Waits until this many tasks run and returns the index of the worker that runs most of them.
    std::size_t waitForRunning(std::size_t tasks);

    /// Runs a function on the thread of the stand-ins.
    void onStandIns(const std::function<void()> &function);

    /// The runs that the workers have recorded.
    std::vector<StandIn::ObservedRun> runs();

    /// Index of the agent that leads, by its log; none when no agent does.
    std::optional<std::size_t> leader();

    void startAgent(std::size_t index);
    void startEntry(std::size_t index);

    ChildProcess &agent(std::size_t index)
    {
        return *m_agents[index];
    }

    ChildProcess &entry(std::size_t index)
    {
        return *m_entries[index];
    }

    [[nodiscard]] const Ports &entryPorts(std::size_t index) const
    {
        return m_entryPorts[index];
    }

    [[nodiscard]] const Ports &agentPorts(std::size_t index) const
    {
        return m_agentPorts[index];
    }

    StandIn::StoreStandIn &store()
    {
        return *m_store;
    }

    StandIn::ServerStandIn &worker(std::size_t index)
    {
        return *m_workers[index];
    }

    /// Violations of the invariants of every test: two runs of a task at once, a run after a finished one, or a
    /// write that the store rejects for its size.
    std::vector<std::string> violations();

private:
    std::string
    writeSettings(const std::string &name, const std::string &role, const Ports &ports, std::uint16_t upstream);
    [[nodiscard]] HttpEndpoint entryEndpoint(std::size_t entry) const;

    Options m_options;
    /// Number of processes started so far; makes the names of their log files unique.
    std::size_t m_starts = 0;
    std::int64_t m_configurationVersion = 1;
    PortReservation m_ports;
    std::string m_directory;
    boost::asio::io_context m_io;
    std::unique_ptr<StandIn::StoreStandIn> m_store;
    std::vector<StandIn::ObservedRun> m_record;
    std::vector<std::unique_ptr<StandIn::ServerStandIn>> m_workers;
    std::vector<Ports> m_entryPorts;
    std::vector<Ports> m_agentPorts;
    std::vector<std::unique_ptr<ChildProcess>> m_entries;
    std::vector<std::unique_ptr<ChildProcess>> m_agents;
    HttpCaller m_caller;
    std::thread m_thread;
};

} // namespace Carobflow::Bench
