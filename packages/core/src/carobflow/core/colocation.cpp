#include "carobflow/core/colocation.h"

#include <algorithm>
#include <cmath>

namespace Carobflow
{

namespace
{

/// Tail latencies as multiples of the service's deadline.
struct Levels {
    /// Above it neighbours are reduced.
    double act = 0;
    /// Reductions and raises are sized to end here.
    double aim = 0;
    /// Below it throttles may be raised.
    double room = 0;
};

/// The tail follows the deadline closely where throughput of the batch work matters more.
Levels levelsFor(Objective objective)
{
    return objective == Objective::Latency ? Levels{.act = 0.9, .aim = 0.7, .room = 0.55}
                                           : Levels{.act = 1.0, .aim = 0.9, .room = 0.75};
}

/// Windows in a row before an action, so that one noisy window does not cause any.
constexpr std::uint32_t ViolationsToAct = 2;
constexpr std::uint32_t WindowsToRaise = 5;
/// Windows with fewer requests say too little about a tail.
constexpr std::uint32_t MinCompleted = 20;
constexpr std::uint32_t PercentStep = 25;
constexpr std::uint32_t FullPercent = 100;
constexpr std::uint32_t MaxRaiseDelayFactor = 16;
/// A violation within this time after a raise is taken as its consequence. With 12 s a host whose tail was near the
/// target after the raise went on being raised and reduced by noise (seed 924 of the simulation in the test).
constexpr Seconds RaiseConsequenceTime{300};
/// Services whose last window is older are taken as gone from the host.
constexpr Seconds WindowLifetime{30};
/// Neighbours with a smaller effect (5%) are left alone: the load explains the tail, not they.
constexpr double MinEffect = 0.05;
/// Share of the standard deviation that is added to an estimated effect, so that an unknown neighbour is reduced before
/// one that is known to be harmless.
constexpr double DeviationShare = 0.5;

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
    const auto isGone = [tasks](const TaskRef &task) {
        return std::ranges::find(tasks, task, &ColocatedTask::task) == tasks.end();
    };
    std::erase_if(host.percents, [&isGone](const auto &entry) { return isGone(entry.first); });
    std::erase_if(host.evicting, isGone);
    std::erase_if(host.heldOff, [now](const auto &entry) { return entry.second <= now; });
    if (now < host.mixedUntil || window.completed < MinCompleted) {
        return {};
    }
    m_model.observe(window, sharesOf(host, window, tasks));

    const ServiceEntry *entry = findService(window.service);
    if (entry == nullptr) {
        return {};
    }
    const Levels levels = levelsFor(entry->objective);
    const double relativeTail = window.p99Milliseconds / static_cast<double>(entry->deadline.count());
    ServiceState &state = host.services[window.service];
    state.windowAt = now;
    state.load = window.load;
    state.violations = relativeTail > levels.act ? state.violations + 1 : 0;
    if (relativeTail < levels.room) {
        ++state.withRoom;
        state.tailMilliseconds = std::max(state.tailMilliseconds, window.p99Milliseconds);
    } else {
        state.withRoom = 0;
        state.tailMilliseconds = 0;
    }

    Decisions decisions;
    if (state.violations >= ViolationsToAct) {
        decisions = reduce(now, host, window, tasks);
    } else if (state.violations == 0) {
        decisions = raise(now, host, tasks);
    }
    if (!decisions.empty()) {
        host.mixedUntil = now + m_options.measurementLag + window.length;
        host.services.clear();
    }
    return decisions;
}

std::uint32_t ColocationController::percentOf(std::string_view hostName, const TaskRef &task) const
{
    const auto host = m_hosts.find(hostName);
    if (host == m_hosts.end()) {
        return FullPercent;
    }
    const auto percent = host->second.percents.find(task);
    return percent == host->second.percents.end() ? FullPercent : percent->second;
}

bool ColocationController::holdsOff(TimePoint now, std::string_view hostName, std::string_view jobClass) const
{
    const auto host = m_hosts.find(hostName);
    if (host == m_hosts.end()) {
        return false;
    }
    const auto until = host->second.heldOff.find(jobClass);
    return until != host->second.heldOff.end() && now < until->second;
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
    // A window names classes and not tasks, so each entry of a class gets the mean share of the class.
    std::map<std::string_view, std::pair<double, int>> sums;
    for (const ColocatedTask &task : tasks) {
        const auto percent = host.percents.find(task.task);
        auto &[sum, count] = sums[task.jobClass];
        sum += shareOf(percent == host.percents.end() ? FullPercent : percent->second);
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
        const double effect = std::log(prediction.factor) + DeviationShare * prediction.deviation;
        if (effect >= MinEffect) {
            const auto percent = host.percents.find(task.task);
            neighbours.push_back({.task = &task,
                                  .percent = percent == host.percents.end() ? FullPercent : percent->second,
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
    if (host.raisedAt && now - *host.raisedAt < RaiseConsequenceTime) {
        host.raiseDelayFactor = std::min(2 * host.raiseDelayFactor, MaxRaiseDelayFactor);
    }
    host.raisedAt.reset();
    const ServiceEntry &entry = *findService(window.service);
    const Levels levels = levelsFor(entry.objective);
    const double relativeTail = window.p99Milliseconds / static_cast<double>(entry.deadline.count());

    const Neighbour *toThrottle = nullptr;
    const Neighbour *toEvict = nullptr;
    double reducible = 0;
    const auto present = [](const Neighbour &neighbour) { return neighbour.effect * shareOf(neighbour.percent); };
    const auto neighbours = neighboursOf(host, window.service, window.load, tasks);
    for (const Neighbour &neighbour : neighbours) {
        if (neighbour.percent > m_options.minPercent) {
            reducible += neighbour.effect * shareOf(neighbour.percent - m_options.minPercent);
            if (toThrottle == nullptr || present(neighbour) > present(*toThrottle)) {
                toThrottle = &neighbour;
            }
        } else if (toEvict == nullptr || neighbour.effect > toEvict->effect) {
            toEvict = &neighbour;
        }
    }
    const bool throttlingSuffices = reducible >= std::log(relativeTail / levels.act);
    if (toEvict != nullptr && (toThrottle == nullptr || !throttlingSuffices)) {
        if (takeEviction(now)) {
            host.heldOff[toEvict->task->jobClass] = now + m_options.holdOff;
            host.noRaiseUntil = now + m_options.holdOff;
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
    const double wanted = shareOf(toThrottle->percent) - std::log(relativeTail / levels.aim) / toThrottle->effect;
    const auto steps = static_cast<std::uint32_t>(std::max(0.0, wanted) * FullPercent / PercentStep);
    const std::uint32_t percent = std::max(
        m_options.minPercent, std::min(steps * PercentStep, std::max(toThrottle->percent, PercentStep) - PercentStep));
    host.percents[toThrottle->task->task] = percent;
    return {{.kind = ColocationDecision::Kind::Throttle,
             .task = toThrottle->task->task,
             .percent = percent,
             .reason = "the tail of " + window.service + " is too high and the task explains most of it"}};
}

ColocationController::Decisions
ColocationController::raise(TimePoint now, Host &host, std::span<const ColocatedTask> tasks)
{
    if (host.percents.empty() || now < host.noRaiseUntil
        || now - host.violatedAt < m_options.raiseDelay * host.raiseDelayFactor) {
        return {};
    }
    // The smallest raise in effect comes first.
    const ColocatedTask *best = nullptr;
    double bestEffect = 0;
    for (const ColocatedTask &task : tasks) {
        const auto percent = host.percents.find(task.task);
        if (percent == host.percents.end() || host.evicting.contains(task.task)
            || !hasRoomFor(now, host, task, shareOf(std::min(PercentStep, FullPercent - percent->second)))) {
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
    const std::uint32_t percent = std::min(FullPercent, host.percents[best->task] + PercentStep);
    if (percent == FullPercent) {
        host.percents.erase(best->task);
    } else {
        host.percents[best->task] = percent;
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

bool ColocationController::hasRoomFor(TimePoint now,
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
        const double effect = std::log(prediction.factor) + DeviationShare * prediction.deviation;
        const double tail = state.tailMilliseconds * std::exp(effect * addedShare);
        return state.withRoom >= WindowsToRaise
            && tail <= levelsFor(entry->objective).aim * static_cast<double>(entry->deadline.count());
    });
}

std::uint32_t ColocationController::evictionsLeft(TimePoint now)
{
    while (!m_evictions.empty() && now - m_evictions.front() >= std::chrono::minutes(1)) {
        m_evictions.pop_front();
    }
    return m_options.evictionsPerMinute - static_cast<std::uint32_t>(m_evictions.size());
}

bool ColocationController::takeEviction(TimePoint now)
{
    if (evictionsLeft(now) == 0) {
        return false;
    }
    m_evictions.push_back(now);
    return true;
}

} // namespace Carobflow
