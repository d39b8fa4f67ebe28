#include "carobflow/core/admission.h"

#include "carobflow/core/invariant.h"

#include <algorithm>

namespace Carobflow
{

namespace
{

constexpr std::size_t ServiceTimeSamples = 64;
/// Older samples are dropped, so that an estimate from a slow period cannot keep requests out for ever.
constexpr Seconds SampleLifetime{10};
/// The upstream counts as overloaded once the queue has not been empty for this many service times: a queue that a
/// burst has built up is gone before that when the load is below the capacity.
constexpr int OverloadServiceTimes = 4;
/// Lower bound of that time, which also holds while there is no estimate.
constexpr Milliseconds MinOverloadTime{20};
constexpr Milliseconds MinRetryAfter{50};
constexpr Milliseconds ClosedRetryAfter{1000};

} // namespace

Admission::Admission(Options options)
    : m_options(options)
    , m_serviceTimes(ServiceTimeSamples)
{
}

void Admission::setSlots(std::uint32_t slots)
{
    m_options.slots = slots;
}

Admission::Changes Admission::close()
{
    m_closed = true;
    Changes changes{.run = {}, .refused = std::exchange(m_displaced, {})};
    for (const Waiting &waiting : m_queue) {
        changes.refused.push_back(waiting.id);
    }
    m_queue.clear();
    return changes;
}

Admission::Decision Admission::request(TimePoint now, RequestId id, TimePoint deadline)
{
    const auto refuse = [](std::string reason, Duration retryAfter) {
        return Decision{.verdict = Verdict::Refused,
                        .reason = std::move(reason),
                        .retryAfter = std::max(MinRetryAfter, std::chrono::ceil<Milliseconds>(retryAfter))};
    };
    if (m_closed) {
        return refuse("the upstream is leaving", ClosedRetryAfter);
    }
    if (m_options.slots == 0) {
        return refuse("the upstream has announced no slots", ClosedRetryAfter);
    }
    updateExpectedServiceTime(now);
    const bool isKnown = m_holding.contains(id) || std::ranges::find(m_queue, id, &Waiting::id) != m_queue.end();
    if (isKnown) {
        return refuse("the request id is in use", MinRetryAfter);
    }
    if (m_queue.empty() && taken() < m_options.slots) {
        if (!canFinish(now, deadline, {})) {
            return refuse("the deadline cannot be met", m_expectedServiceTime);
        }
        run(now, id);
        return {.verdict = Verdict::Run, .reason = {}};
    }
    // While newer requests run first, the wait depends on later arrivals and not on the queue.
    const bool newestFirst = m_options.adaptivePolicy && m_options.overloadOrder == Order::NewestFirst
        && isOverloaded(now);
    if (!canFinish(now, deadline, expectedWait(newestFirst ? 0 : m_queue.size()))) {
        return refuse("the deadline cannot be met", expectedWait(m_queue.size()));
    }
    if (m_queue.size() >= m_options.queueLimit) {
        if (!newestFirst || m_queue.empty()) {
            return refuse("the queue is full", expectedWait(m_queue.size()));
        }
        m_displaced.push_back(m_queue.front().id);
        m_queue.pop_front();
    }
    if (m_queue.empty()) {
        m_queuedSince = now;
    }
    m_queue.push_back({.id = id, .deadline = deadline});
    return {.verdict = Verdict::Queued, .reason = {}};
}

Admission::Changes Admission::finish(TimePoint now, RequestId id, Duration serviceTime)
{
    if (m_holding.erase(id) > 0) {
        addServiceTime(now, serviceTime);
    }
    return dispatch(now);
}

void Admission::abandon(TimePoint now, RequestId id)
{
    const auto holding = m_holding.find(id);
    if (holding != m_holding.end() && !holding->second.abandoned) {
        holding->second.abandoned = true;
        holding->second.releaseAt = now + m_options.abandonedHold;
    }
}

void Admission::cancelQueued(RequestId id)
{
    std::erase_if(m_queue, [id](const Waiting &waiting) { return waiting.id == id; });
    std::erase(m_displaced, id);
}

Admission::Changes Admission::expire(TimePoint now)
{
    for (auto holding = m_holding.begin(); holding != m_holding.end();) {
        if (holding->second.abandoned && holding->second.releaseAt <= now) {
            // The request took at least this long.
            addServiceTime(now, now - holding->second.startedAt);
            holding = m_holding.erase(holding);
        } else {
            ++holding;
        }
    }
    Changes changes = dispatch(now);
    if (m_options.adaptivePolicy) {
        std::erase_if(m_queue, [&](const Waiting &waiting) {
            const bool tooLate = !canFinish(now, waiting.deadline, {});
            if (tooLate) {
                changes.refused.push_back(waiting.id);
            }
            return tooLate;
        });
    }
    return changes;
}

std::uint32_t Admission::taken() const
{
    return static_cast<std::uint32_t>(m_holding.size());
}

std::uint32_t Admission::queued() const
{
    return static_cast<std::uint32_t>(m_queue.size());
}

Duration Admission::expectedServiceTime() const
{
    return m_expectedServiceTime;
}

void Admission::run(TimePoint now, RequestId id)
{
    m_holding.emplace(id, Holding{.startedAt = now, .releaseAt = {}});
    requireInvariant(m_holding.size() <= m_options.slots, "slots-exceeded", "a request ran without a free slot");
}

void Admission::addServiceTime(TimePoint now, Duration serviceTime)
{
    m_serviceTimes.push_back({now, serviceTime});
    updateExpectedServiceTime(now);
}

void Admission::updateExpectedServiceTime(TimePoint now)
{
    while (!m_serviceTimes.empty() && now - m_serviceTimes.front().first > SampleLifetime) {
        m_serviceTimes.pop_front();
    }
    if (m_serviceTimes.empty()) {
        m_expectedServiceTime = Duration{0};
        return;
    }
    // The median is not moved by a few requests that hung.
    std::vector<Duration> times;
    times.reserve(m_serviceTimes.size());
    for (const auto &sample : m_serviceTimes) {
        times.push_back(sample.second);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    m_expectedServiceTime = *middle;
}

bool Admission::canFinish(TimePoint now, TimePoint deadline, Duration wait) const
{
    if (!m_options.adaptivePolicy) {
        return true;
    }
    // With nothing in progress a request runs even when the estimate says that it is too late, because without new
    // samples a wrong estimate would refuse everything.
    if (m_holding.empty()) {
        return now < deadline;
    }
    return now + wait + m_expectedServiceTime < deadline;
}

Duration Admission::expectedWait(std::size_t requestsAhead) const
{
    // Abandoned requests may hold their slots for long, so only the others count as slots that become free.
    const auto abandoned = std::ranges::count_if(m_holding, [](const auto &entry) { return entry.second.abandoned; });
    const auto active = std::max<std::int64_t>(1, static_cast<std::int64_t>(m_options.slots) - abandoned);
    return m_expectedServiceTime * static_cast<std::int64_t>(requestsAhead + 1) / active;
}

bool Admission::isOverloaded(TimePoint now) const
{
    const auto threshold = std::max<Duration>(MinOverloadTime, OverloadServiceTimes * m_expectedServiceTime);
    return !m_queue.empty() && now - m_queuedSince > threshold;
}

Admission::Waiting Admission::takeNext(TimePoint now)
{
    auto next = m_queue.begin();
    if (m_options.adaptivePolicy && isOverloaded(now)) {
        if (m_options.overloadOrder == Order::NewestFirst) {
            next = std::prev(m_queue.end());
        } else if (m_options.overloadOrder == Order::EarliestDeadlineFirst) {
            next = std::ranges::min_element(m_queue, {}, &Waiting::deadline);
        }
    }
    const Waiting waiting = *next;
    m_queue.erase(next);
    return waiting;
}

Admission::Changes Admission::dispatch(TimePoint now)
{
    updateExpectedServiceTime(now);
    Changes changes{.run = {}, .refused = std::exchange(m_displaced, {})};
    while (!m_queue.empty() && taken() < m_options.slots) {
        const Waiting waiting = takeNext(now);
        if (canFinish(now, waiting.deadline, {})) {
            run(now, waiting.id);
            changes.run.push_back(waiting.id);
        } else {
            changes.refused.push_back(waiting.id);
        }
    }
    return changes;
}

} // namespace Carobflow
