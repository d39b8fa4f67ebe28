#pragma once

#include "standins/httpserver.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Carobflow::StandIn
{

/// The record of one run of a task on a worker.
struct ObservedRun {
    std::string task;
    std::uint32_t run = 0;
    std::string worker;
    std::string checkpoint;
    std::int64_t startedAt = 0;
    /// 0 while it runs.
    std::int64_t endedAt = 0;
    std::string endState;
};

/// A worker of the users' platform: runs tasks under leases, refuses lower fencing tokens, lists ends until they are
/// acknowledged, and checks in at its agent. A task runs for the number of milliseconds that its specification holds.
class ServerStandIn
{
public:
    struct Options {
        std::int64_t cpuMillis = 4000;
        std::string id;
        std::uint16_t port = 0;
        /// Port of the agent's check-ins.
        std::uint16_t agentPort = 0;
        std::string service = "desk";
        std::string zone = "zone-1";
        std::chrono::milliseconds maxHold{6000};
    };

    /// All workers of a test write to the same record.
    ServerStandIn(boost::asio::io_context &io, Options options, std::vector<ObservedRun> &record);

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    /// Checks in at the agent from now on, every 300 ms.
    void checkIn(std::uint16_t agentPort);

    /// The worker crashes and starts again as another process with the same id.
    void restart();

    /// What the worker's next check-in says.
    [[nodiscard]] boost::json::object report() const;

    [[nodiscard]] std::size_t runningCount() const
    {
        return m_running.size();
    }

    /// Carries out this many of the next starts after a delay, without an answer.
    std::uint32_t lateStarts = 0;
    std::chrono::milliseconds lateBy{700};
    /// Carries out this many of the next starts and loses the answers.
    std::uint32_t lostStarts = 0;
    /// Calls for the lists of runs so far.
    std::uint64_t listCalls = 0;
    bool draining = false;
    /// Does not answer any call.
    bool silent = false;

private:
    struct Running {
        std::size_t record = 0;
        std::uint32_t run = 0;
        std::int64_t endsAt = 0;
        std::int64_t startedAt = 0;
    };

    struct Ended {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string endState;
    };

    boost::asio::awaitable<ServerReply> serve(const ServerRequest &request);
    boost::asio::awaitable<ServerReply> hold(const boost::json::object &body);
    ServerReply start(const boost::json::object &body);
    ServerReply stop(const boost::json::object &body);
    boost::asio::awaitable<void> checkInLoop();
    void advance();
    void end(const std::string &task, const std::string &endState);
    [[nodiscard]] ServerReply conflict(std::string_view reason) const;
    /// The worker's own clock, which starts anew with each of its processes.
    [[nodiscard]] std::int64_t clock() const;
    /// When the lease that a call asks for ends, on the clock of the test.
    [[nodiscard]] std::int64_t leaseEnd(const boost::json::object &body) const;

    boost::asio::io_context &m_io;
    Options m_options;
    std::vector<ObservedRun> &m_record;
    std::map<std::string, Running> m_running;
    std::vector<Ended> m_ended;
    std::map<std::string, std::uint32_t> m_highestEnded;
    std::uint64_t m_nextEnd = 1;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    /// Time on the clock of the test at which the worker's own clock showed 0.
    std::int64_t m_clockStart;
    std::int64_t m_born;
    /// Of the next check-in.
    std::uint64_t m_sequence = 1;
    HttpServer m_server;
    std::uint16_t m_port;
};

} // namespace Carobflow::StandIn
