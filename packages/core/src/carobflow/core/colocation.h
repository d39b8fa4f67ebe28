#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/interference.h"
#include "carobflow/core/sheet.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Carobflow
{

/// A running batch task that shares its host with services.
struct ColocatedTask {
    TaskRef task;
    std::string jobClass;
};

struct ColocationDecision {
    enum class Kind { Throttle, Evict };

    Kind kind = Kind::Throttle;
    TaskRef task;
    /// For Throttle: the share of its processor time that the task may use from now on, in percent.
    std::uint32_t percent = 100;
    /// For logs: why the decision was taken.
    std::string reason;
};

/// Keeps the tail latency of the services of a shard below their deadlines by throttling and evicting batch tasks on
/// the same hosts, and raises the throttles again while there is headroom. It has no clock and does no I/O. Not
/// thread-safe: its owner calls it from one thread at a time.
class ColocationController
{
public:
    struct Options {
        /// Delay from an order to the arrival of a window that it affected, not counting the window's own length.
        Milliseconds measurementLag{3000};
        /// Time after an eviction in which no throttle on that host is raised and no task of that class is placed
        /// there.
        Milliseconds evictionCooldown{60000};
        /// Time without a violation after which a throttle is raised. Each raise that is followed by a violation
        /// doubles it, up to 16 times this value.
        Milliseconds raiseDelay{30000};
        /// Limit for the whole shard.
        std::uint32_t evictionsPerMinute = 6;
        /// The lowest throttle; a task that causes violations even there is evicted.
        std::uint32_t minPercent = 25;
    };

    /// The controller feeds windows to the model, which must outlive it.
    ColocationController(Options options, InterferenceModel &model);

    /// Sets the services of the sheet in force. Windows of other services train the model but lead to no decision.
    void setServices(std::vector<ServiceEntry> services);

    /// Trains the model with a window of a host and decides on the tasks that run there now. Decisions for a host are
    /// at least a measurement lag and a window apart.
    std::vector<ColocationDecision>
    onWindow(TimePoint now, std::string_view host, const ServiceWindow &window, std::span<const ColocatedTask> tasks);

    /// The throttle in force for a task; 100 for a task that was not throttled.
    [[nodiscard]] std::uint32_t throttlePercent(std::string_view host, const TaskRef &task) const;

    /// True during the cooldown after an eviction, in which no task of the class should be placed on the host.
    [[nodiscard]] bool isCoolingDown(TimePoint now, std::string_view host, std::string_view jobClass) const;

    /// Counts an eviction against the rate limit, which evictions for other reasons share. Returns false, and counts
    /// nothing, when the limit is reached.
    bool tryCountEviction(TimePoint now);

    /// Number of evictions that the rate limit allows now.
    [[nodiscard]] std::uint32_t evictionsLeft(TimePoint now);

    /// Discards the state of a host that has left.
    void forgetHost(std::string_view host);

private:
    /// The recent windows of one service on one host.
    struct ServiceState {
        std::uint32_t violations = 0;
        std::uint32_t windowsWithHeadroom = 0;
        /// Highest tail of the windows counted in `windowsWithHeadroom`.
        double tailMilliseconds = 0;
        double load = 0;
        TimePoint windowAt;
    };

    struct TaskOrder {
        bool operator()(const TaskRef &left, const TaskRef &right) const
        {
            return std::tie(left.job, left.fence) < std::tie(right.job, right.fence);
        }
    };

    struct Host {
        std::map<TaskRef, std::uint32_t, TaskOrder> throttlePercents;
        /// Evicted tasks that still run, for example while they write their checkpoint.
        std::set<TaskRef, TaskOrder> evicting;
        std::map<std::string, ServiceState, std::less<>> services;
        /// Evicted classes with the end of their cooldown.
        std::map<std::string, TimePoint, std::less<>> cooldownUntil;
        /// Windows that arrive before this time were measured partly before the last action.
        TimePoint ignoreWindowsUntil;
        TimePoint violatedAt;
        /// The last raise, unset once a violation has followed it.
        std::optional<TimePoint> raisedAt;
        TimePoint noRaiseUntil;
        std::uint32_t raiseDelayFactor = 1;
    };

    struct Neighbour {
        const ColocatedTask *task = nullptr;
        std::uint32_t percent = 100;
        /// Estimated logarithm of the unthrottled slowdown, plus a margin for its uncertainty.
        double effect = 0;
    };

    using Decisions = std::vector<ColocationDecision>;

    [[nodiscard]] const ServiceEntry *findService(std::string_view name) const;
    [[nodiscard]] std::vector<double>
    sharesOf(const Host &host, const ServiceWindow &window, std::span<const ColocatedTask> tasks) const;
    [[nodiscard]] std::vector<Neighbour>
    neighboursOf(const Host &host, std::string_view service, double load, std::span<const ColocatedTask> tasks) const;
    Decisions reduce(TimePoint now, Host &host, const ServiceWindow &window, std::span<const ColocatedTask> tasks);
    Decisions raise(TimePoint now, Host &host, std::span<const ColocatedTask> tasks);
    [[nodiscard]] bool
    hasHeadroomFor(TimePoint now, const Host &host, const ColocatedTask &task, double addedShare) const;

    Options m_options;
    InterferenceModel &m_model;
    std::vector<ServiceEntry> m_services;
    std::map<std::string, Host, std::less<>> m_hosts;
    /// Times of the evictions within the last minute.
    std::deque<TimePoint> m_evictions;
};

} // namespace Carobflow
