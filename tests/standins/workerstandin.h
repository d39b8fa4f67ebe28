#pragma once

#include "standins/httpserver.h"

#include "carobflow/core/types.h"

#include <functional>
#include <map>
#include <set>

namespace Carobflow::StandIn
{

/// The worker runtime of one host. Tasks do no real work: their progress follows the clock.
class WorkerStandIn
{
public:
    struct Options {
        Resources capacity{.cpuMillis = 32000, .memoryMiB = 125000, .accelerators = 0};
        /// Work seconds done in a second of the clock.
        double speed = 1;
        /// Measured usage as a factor of the declared size.
        double usageFactor = 1;
        std::chrono::milliseconds usageLag{500};
        /// Time between the order to stop and the end of the task, while it still holds its resources.
        std::chrono::milliseconds stopTime{50};
        /// False lets tasks start that do not fit, to test whether the caller prevents it.
        bool enforceCapacity = true;
        bool failAll = false;
        /// Tasks of these classes fail on every host.
        std::set<std::string> failingClasses = {};
    };

    WorkerStandIn(boost::asio::io_context &io, Options options);

    boost::asio::awaitable<ServerReply> serve(const ServerRequest &request);

    void setFailAll(bool failAll)
    {
        m_options.failAll = failAll;
    }

    /// Calls the function for each task that occupies the host, with its class and its share of processor time in
    /// percent.
    void forEachActive(const std::function<void(const std::string &, double)> &visit) const;

    /// Adds the events, the overcommit flags and the counts of refusals to the log.
    void addToLog(boost::json::object &log) const;

private:
    struct Task {
        std::string jobClass;
        std::string state = "running";
        std::string checkpoint;
        std::string result;
        std::string reason;
        Resources reserved;
        std::int64_t runMilliseconds = 0;
        double workMilliseconds = 0;
        double throttle = 100;
        /// The throttle that the reported usage still reflects.
        double laggingThrottle = 100;
        std::int64_t usageChangesAt = 0;
        std::int64_t leaseEndsAt = 0;
        std::int64_t stopEndsAt = 0;
        std::int64_t startedAt = 0;
        std::int64_t endedAt = 0;

        [[nodiscard]] bool isActive() const
        {
            return endedAt == 0;
        }
    };

    using Key = std::pair<std::string, Fence>;

    boost::asio::awaitable<void> tick();
    void advance();
    void end(const Key &key, Task &task, const std::string &state, const std::string &reason);
    void record(const char *event, const Key &key, const Task &task);
    /// True when the call arrived after the time of the worker's clock that it names.
    bool isLate(const boost::json::object &body);
    ServerReply start(const boost::json::object &body);
    ServerReply command(const Key &key, const std::string &verb, const boost::json::object &body);
    [[nodiscard]] ServerReply list() const;
    [[nodiscard]] Resources usageOf(const Task &task, double throttle) const;
    void checkOvercommit();

    Options m_options;
    std::map<Key, Task> m_tasks;
    std::map<std::string, Fence> m_lastFence;
    std::int64_t m_advancedAt;
    bool m_overcommitted = false;
    bool m_usageExceeded = false;
    std::uint64_t m_refusedFence = 0;
    std::uint64_t m_refusedSize = 0;
    std::uint64_t m_refusedLate = 0;
    boost::json::array m_events;
};

} // namespace Carobflow::StandIn
