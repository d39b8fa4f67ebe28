#include "carobflow/core/colocation.h"

#include <algorithm>
#include <cmath>

namespace Carobflow
{

namespace
{

/// Tail latencies as multiples of the service's deadline.
struct TailLevels {
    /// Tails above this level are violations and lead to throttling or eviction.
    double reduceAbove = 0;
    /// The tail that throttles are sized for.
    double target = 0;
    /// Tails below this level allow throttles to be raised.
    double raiseBelow = 0;
};

/// Services with the throughput objective run closer to their deadline, in favour of batch throughput.
TailLevels tailLevelsFor(Objective objective)
{
    return objective == Objective::Latency ? TailLevels{.reduceAbove = 0.9, .target = 0.7, .raiseBelow = 0.55}
                                           : TailLevels{.reduceAbove = 1.0, .target = 0.9, .raiseBelow = 0.75};
}

/// Consecutive windows required before an action, so that a single noisy window causes none.
constexpr std::uint32_t ViolationsBeforeReduction = 2;
constexpr std::uint32_t WindowsBeforeRaise = 5;
/// Windows with fewer completed requests do not give a usable tail latency.
constexpr std::uint32_t MinCompleted = 20;
constexpr std::uint32_t PercentStep = 25;
constexpr std::uint32_t FullPercent = 100;
constexpr std::uint32_t MaxRaiseDelayFactor = 16;
/// A violation within this time after a raise is attributed to the raise. With 12 s, noise made the throttles of a host
/// oscillate when its tail was near the target after a raise (seed 924 of the simulation in the unit test).
constexpr Seconds RaiseAttributionTime{300};
/// A service whose last window is older is assumed to have left the host.
constexpr Seconds WindowLifetime{30};
/// Neighbours with a smaller effect (5%) are not throttled: the tail is due to the load rather than to them.
constexpr double MinEffect = 0.05;
/// Number of standard deviations added to an estimated effect, so that an unknown neighbour is throttled before one
/// that is known to be harmless.
constexpr double DeviationWeight = 0.5;

double shareOf(std::uint32_t percent)
{
    return static_cast<double>(percent) / FullPercent;
}

} // namespace

ColocationController::ColocationController(Options options, InterferenceModel &model)
    : m_options(options)
    , m_model(model)
{
}

void ColocationController::setServices(std::vector<ServiceEntry> services)
{
    m_services = std::move(services);
}

std::vector<ColocationDecision> ColocationController::onWindow(TimePoint now,
                                                               std::string_view hostName,
                                                               const ServiceWindow &window,
                                                               std::span<const ColocatedTask> tasks)
{
    Host &host = m_hosts.try_emplace(std::string(hostName)).first->second;
    const auto hasEnded = [tasks](const TaskRef &task) {
        return std::ranges::find(tasks, task, &ColocatedTask::task) == tasks.end();
    };
    std::erase_if(host.throttlePercents, [&hasEnded](const auto &entry) { return hasEnded(entry.first); });
    std::erase_if(host.evicting, hasEnded);
    std::erase_if(host.cooldownUntil, [now](const auto &entry) { return entry.second <= now; });
    if (now < host.ignoreWindowsUntil || window.completed < MinCompleted) {
        return {};
    }
    m_model.observe(window, sharesOf(host, window, tasks));

    const ServiceEntry *entry = findService(window.service);
    if (entry == nullptr) {
        return {};
    }
    const TailLevels levels = tailLevelsFor(entry->objective);
    const double relativeTail = window.p99Milliseconds / static_cast<double>(entry->deadline.count());
    ServiceState &state = host.services[window.service];
    state.windowAt = now;
    state.load = window.load;
    state.violations = relativeTail > levels.reduceAbove ? state.violations + 1 : 0;
    if (relativeTail < levels.raiseBelow) {
        ++state.windowsWithHeadroom;
        state.tailMilliseconds = std::max(state.tailMilliseconds, window.p99Milliseconds);
    } else {
        state.windowsWithHeadroom = 0;
        state.tailMilliseconds = 0;
    }

    Decisions decisions;
    if (state.violations >= ViolationsBeforeReduction) {
        decisions = reduce(now, host, window, tasks);
    } else if (state.violations == 0) {
        decisions = raise(now, host, tasks);
    }
    if (!decisions.empty()) {
        host.ignoreWindowsUntil = now + m_options.measurementLag + window.length;
        host.services.clear();
    }
    return decisions;
}

std::uint32_t ColocationController::throttlePercent(std::string_view hostName, const TaskRef &task) const
{
    const auto host = m_hosts.find(hostName);
    if (host == m_hosts.end()) {
        return FullPercent;
    }
    const auto percent = host->second.throttlePercents.find(task);
    return percent == host->second.throttlePercents.end() ? FullPercent : percent->second;
}

bool ColocationController::isCoolingDown(TimePoint now, std::string_view hostName, std::string_view jobClass) const
{
    const auto host = m_hosts.find(hostName);
    if (host == m_hosts.end()) {
        return false;
    }
    const auto until = host->second.cooldownUntil.find(jobClass);
    return until != host->second.cooldownUntil.end() && now < until->second;
}

void ColocationController::forgetHost(std::string_view hostName)
{
    if (const auto host = m_hosts.find(hostName); host != m_hosts.end()) {
        m_hosts.erase(host);
    }
}

const ServiceEntry *ColocationController::findService(std::string_view name) const
{
    const auto found = std::ranges::find(m_services, name, &ServiceEntry::name);
    return found == m_services.end() ? nullptr : &*found;
}

std::vector<double> ColocationController::sharesOf(const Host &host,
                                                   const ServiceWindow &window,
                                                   std::span<const ColocatedTask> tasks) const
{
    // A window lists classes rather than tasks, so each entry of a class gets the mean share of its tasks.
    std::map<std::string_view, std::pair<double, int>> sums;
    for (const ColocatedTask &task : tasks) {
        const auto percent = host.throttlePercents.find(task.task);
        auto &[sum, count] = sums[task.jobClass];
        sum += shareOf(percent == host.throttlePercents.end() ? FullPercent : percent->second);
        ++count;
    }
    std::vector<double> shares;
    shares.reserve(window.jobClasses.size());
    for (const std::string &jobClass : window.jobClasses) {
        const auto found = sums.find(jobClass);
        shares.push_back(found == sums.end() ? 1 : found->second.first / found->second.second);
    }
    return shares;
}

std::vector<ColocationController::Neighbour> ColocationController::neighboursOf(
    const Host &host, std::string_view service, double load, std::span<const ColocatedTask> tasks) const
{
    std::vector<Neighbour> neighbours;
    for (const ColocatedTask &task : tasks) {
        if (host.evicting.contains(task.task)) {
            continue;
        }
        const auto prediction = m_model.predict(service, task.jobClass, load);
        const double effect = std::log(prediction.factor) + DeviationWeight * prediction.deviation;
        if (effect >= MinEffect) {
            const auto percent = host.throttlePercents.find(task.task);
            neighbours.push_back({.task = &task,
                                  .percent = percent == host.throttlePercents.end() ? FullPercent : percent->second,
                                  .effect = effect});
        }
    }
    return neighbours;
}

ColocationController::Decisions ColocationController::reduce(TimePoint now,
                                                             Host &host,
                                                             const ServiceWindow &window,
                                                             std::span<const ColocatedTask> tasks)
{
    host.violatedAt = now;
    if (host.raisedAt && now - *host.raisedAt < RaiseAttributionTime) {
        host.raiseDelayFactor = std::min(2 * host.raiseDelayFactor, MaxRaiseDelayFactor);
    }
    host.raisedAt.reset();
    const ServiceEntry &entry = *findService(window.service);
    const TailLevels levels = tailLevelsFor(entry.objective);
    const double relativeTail = window.p99Milliseconds / static_cast<double>(entry.deadline.count());

    const Neighbour *toThrottle = nullptr;
    const Neighbour *toEvict = nullptr;
    double reducible = 0;
    const auto currentEffect = [](const Neighbour &neighbour) { return neighbour.effect * shareOf(neighbour.percent); };
    const auto neighbours = neighboursOf(host, window.service, window.load, tasks);
    for (const Neighbour &neighbour : neighbours) {
        if (neighbour.percent > m_options.minPercent) {
            reducible += neighbour.effect * shareOf(neighbour.percent - m_options.minPercent);
            if (toThrottle == nullptr || currentEffect(neighbour) > currentEffect(*toThrottle)) {
                toThrottle = &neighbour;
            }
        } else if (toEvict == nullptr || neighbour.effect > toEvict->effect) {
            toEvict = &neighbour;
        }
    }
    const bool throttlingSuffices = reducible >= std::log(relativeTail / levels.reduceAbove);
    if (toEvict != nullptr && (toThrottle == nullptr || !throttlingSuffices)) {
        if (tryCountEviction(now)) {
            host.cooldownUntil[toEvict->task->jobClass] = now + m_options.evictionCooldown;
            host.noRaiseUntil = now + m_options.evictionCooldown;
            host.evicting.insert(toEvict->task->task);
            return {{.kind = ColocationDecision::Kind::Evict,
                     .task = toEvict->task->task,
                     .percent = 0,
                     .reason = "the tail of " + window.service + " stays too high with the task throttled"}};
        }
    }
    if (toThrottle == nullptr) {
        return {};
    }
    const double targetShare = shareOf(toThrottle->percent)
        - std::log(relativeTail / levels.target) / toThrottle->effect;
    const auto steps = static_cast<std::uint32_t>(std::max(0.0, targetShare) * FullPercent / PercentStep);
    const std::uint32_t percent = std::max(
        m_options.minPercent, std::min(steps * PercentStep, std::max(toThrottle->percent, PercentStep) - PercentStep));
    host.throttlePercents[toThrottle->task->task] = percent;
    return {{.kind = ColocationDecision::Kind::Throttle,
             .task = toThrottle->task->task,
             .percent = percent,
             .reason = "the tail of " + window.service + " is too high and the task explains most of it"}};
}

ColocationController::Decisions
ColocationController::raise(TimePoint now, Host &host, std::span<const ColocatedTask> tasks)
{
    if (host.throttlePercents.empty() || now < host.noRaiseUntil
        || now - host.violatedAt < m_options.raiseDelay * host.raiseDelayFactor) {
        return {};
    }
    // The task whose raise affects the services least comes first.
    const ColocatedTask *best = nullptr;
    double bestEffect = 0;
    for (const ColocatedTask &task : tasks) {
        const auto percent = host.throttlePercents.find(task.task);
        if (percent == host.throttlePercents.end() || host.evicting.contains(task.task)
            || !hasHeadroomFor(now, host, task, shareOf(std::min(PercentStep, FullPercent - percent->second)))) {
            continue;
        }
        double effect = 0;
        for (const auto &[service, state] : host.services) {
            effect = std::max(effect, m_model.predict(service, task.jobClass, state.load).factor);
        }
        if (best == nullptr || effect < bestEffect) {
            best = &task;
            bestEffect = effect;
        }
    }
    if (best == nullptr) {
        return {};
    }
    const std::uint32_t percent = std::min(FullPercent, host.throttlePercents[best->task] + PercentStep);
    if (percent == FullPercent) {
        host.throttlePercents.erase(best->task);
    } else {
        host.throttlePercents[best->task] = percent;
    }
    if (host.raisedAt) {
        host.raiseDelayFactor = std::max(1U, host.raiseDelayFactor / 2);
    }
    host.raisedAt = now;
    return {{.kind = ColocationDecision::Kind::Throttle,
             .task = best->task,
             .percent = percent,
             .reason = "the services on the host have room"}};
}

bool ColocationController::hasHeadroomFor(TimePoint now,
                                          const Host &host,
                                          const ColocatedTask &task,
                                          double addedShare) const
{
    return std::ranges::all_of(host.services, [&](const auto &item) {
        const auto &[service, state] = item;
        const ServiceEntry *entry = findService(service);
        if (entry == nullptr || now - state.windowAt > WindowLifetime) {
            return true;
        }
        const auto prediction = m_model.predict(service, task.jobClass, state.load);
        const double effect = std::log(prediction.factor) + DeviationWeight * prediction.deviation;
        const double tail = state.tailMilliseconds * std::exp(effect * addedShare);
        return state.windowsWithHeadroom >= WindowsBeforeRaise
            && tail <= tailLevelsFor(entry->objective).target * static_cast<double>(entry->deadline.count());
    });
}

std::uint32_t ColocationController::evictionsLeft(TimePoint now)
{
    while (!m_evictions.empty() && now - m_evictions.front() >= std::chrono::minutes(1)) {
        m_evictions.pop_front();
    }
    return m_options.evictionsPerMinute - static_cast<std::uint32_t>(m_evictions.size());
}

bool ColocationController::tryCountEviction(TimePoint now)
{
    if (evictionsLeft(now) == 0) {
        return false;
    }
    m_evictions.push_back(now);
    return true;
}

} // namespace Carobflow
