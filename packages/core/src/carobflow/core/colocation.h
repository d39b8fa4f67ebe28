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

/// A running batch task, a neighbour of the services on its host.
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
    /// For logs: what led to the decision.
    std::string reason;
};

/// Keeps the tail latency of the services of a shard under their deadlines by throttling and evicting batch tasks
/// beside them, and raises the throttles again while there is room. It has no clock and does no I/O; its owner calls it
/// from one thread at a time.
class ColocationController
{
public:
    struct Options {
        /// Time from an order until a window that it affected arrives, without the window's own length.
        Milliseconds measurementLag{3000};
        /// After an eviction no throttle on that host is raised, and no task of that class is placed there.
        Milliseconds holdOff{60000};
        /// Time without a violation after which a throttle is raised. It doubles, up to 16 times, each time that a
        /// raise was followed by a violation.
        Milliseconds raiseDelay{30000};
        /// In the whole shard.
        std::uint32_t evictionsPerMinute = 6;
        /// The lowest throttle; a task that still disturbs there is evicted.
        std::uint32_t minPercent = 25;
    };

    /// The model must outlive the controller, which passes windows on to it.
    ColocationController(Options options, InterferenceModel &model);

    /// The services of the sheet in force. Windows of others are learned from but lead to no decision.
    void setServices(std::vector<ServiceEntry> services);

    /// Learns from a window of a host and decides what to do about the tasks that run there now. Decisions for a host
    /// are at least a measurement lag and a window apart.
    std::vector<ColocationDecision>
    onWindow(TimePoint now, std::string_view host, const ServiceWindow &window, std::span<const ColocatedTask> tasks);

    /// The throttle in force for a task; 100 for a task that was not throttled.
    [[nodiscard]] std::uint32_t percentOf(std::string_view host, const TaskRef &task) const;

    /// True while no task of the class should be placed on the host because one was evicted there.
    [[nodiscard]] bool holdsOff(TimePoint now, std::string_view host, std::string_view jobClass) const;

    /// Counts an eviction against the cap, which evictions for other reasons share. Returns false, and counts nothing,
    /// when the cap is reached.
    bool takeEviction(TimePoint now);

    /// How many evictions the cap leaves now.
    [[nodiscard]] std::uint32_t evictionsLeft(TimePoint now);

    /// Forgets a host that is gone.
    void forgetHost(std::string_view host);

private:
    /// The recent windows of one service on one host.
    struct ServiceState {
        std::uint32_t violations = 0;
        std::uint32_t withRoom = 0;
        /// Highest tail of the windows counted in `withRoom`.
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
        std::map<TaskRef, std::uint32_t, TaskOrder> percents;
        /// Tasks that were evicted and still run, for example while they write their checkpoint.
        std::set<TaskRef, TaskOrder> evicting;
        std::map<std::string, ServiceState, std::less<>> services;
        /// Classes that were evicted, with the end of their hold-off.
        std::map<std::string, TimePoint, std::less<>> heldOff;
        /// Windows that arrive before this time are mixed: they were measured partly before the last action.
        TimePoint mixedUntil;
        TimePoint violatedAt;
        /// The last raise that no violation has followed.
        std::optional<TimePoint> raisedAt;
        TimePoint noRaiseUntil;
        std::uint32_t raiseDelayFactor = 1;
    };

    struct Neighbour {
        const ColocatedTask *task = nullptr;
        std::uint32_t percent = 100;
        /// Likely upper value of the logarithm of the slowdown without a throttle.
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
    [[nodiscard]] bool hasRoomFor(TimePoint now, const Host &host, const ColocatedTask &task, double addedShare) const;

    Options m_options;
    InterferenceModel &m_model;
    std::vector<ServiceEntry> m_services;
    std::map<std::string, Host, std::less<>> m_hosts;
    /// Times of the evictions of the last minute.
    std::deque<TimePoint> m_evictions;
};

} // namespace Carobflow
