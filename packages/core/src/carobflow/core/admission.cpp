#include "carobflow/core/admission.h"

#include "carobflow/core/invariant.h"

#include <algorithm>

namespace Carobflow
{

namespace
{

constexpr std::size_t ServiceTimeSamples = 64;
/// Older samples are discarded, so that an estimate from a slow period does not refuse requests indefinitely.
constexpr Seconds SampleLifetime{10};
/// The upstream counts as overloaded once the queue has not been empty for this many service times. While the load is
/// below the capacity, a queue that was built up by a burst drains before that.
constexpr int OverloadServiceTimes = 4;
/// Lower bound of that time, also used while there is no estimate.
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
    for (const QueuedRequest &queuedRequest : m_queue) {
        changes.refused.push_back(queuedRequest.id);
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
    const bool isKnown = m_running.contains(id) || std::ranges::find(m_queue, id, &QueuedRequest::id) != m_queue.end();
    if (isKnown) {
        return refuse("the request id is in use", MinRetryAfter);
    }
    if (m_queue.empty() && taken() < m_options.slots) {
        if (!canMeetDeadline(now, deadline, {})) {
            return refuse("the deadline cannot be met", m_expectedServiceTime);
        }
        run(now, id);
        return {.verdict = Verdict::Run, .reason = {}};
    }
    // While newer requests run first, the wait depends on later arrivals and not on the queue.
    const bool newestFirst = m_options.adaptivePolicy && m_options.overloadOrder == Order::NewestFirst
        && isOverloaded(now);
    if (!canMeetDeadline(now, deadline, expectedWait(newestFirst ? 0 : m_queue.size()))) {
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
    if (m_running.erase(id) > 0) {
        addServiceTime(now, serviceTime);
    }
    return dispatch(now);
}

void Admission::abandon(TimePoint now, RequestId id)
{
    const auto running = m_running.find(id);
    if (running != m_running.end() && !running->second.abandoned) {
        running->second.abandoned = true;
        running->second.releaseAt = now + m_options.abandonedHold;
    }
}

void Admission::cancelQueued(RequestId id)
{
    std::erase_if(m_queue, [id](const QueuedRequest &queuedRequest) { return queuedRequest.id == id; });
    std::erase(m_displaced, id);
}

Admission::Changes Admission::expire(TimePoint now)
{
    for (auto running = m_running.begin(); running != m_running.end();) {
        if (running->second.abandoned && running->second.releaseAt <= now) {
            // The request took at least this long.
            addServiceTime(now, now - running->second.startedAt);
            running = m_running.erase(running);
        } else {
            ++running;
        }
    }
    Changes changes = dispatch(now);
    if (m_options.adaptivePolicy) {
        std::erase_if(m_queue, [&](const QueuedRequest &queuedRequest) {
            const bool tooLate = !canMeetDeadline(now, queuedRequest.deadline, {});
            if (tooLate) {
                changes.refused.push_back(queuedRequest.id);
            }
            return tooLate;
        });
    }
    return changes;
}

std::uint32_t Admission::taken() const
{
    return static_cast<std::uint32_t>(m_running.size());
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
    m_running.emplace(id, RunningRequest{.startedAt = now, .releaseAt = {}});
    requireInvariant(m_running.size() <= m_options.slots, "slots-exceeded", "a request ran without a free slot");
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
    // The median is robust against a few requests that hung.
    std::vector<Duration> times;
    times.reserve(m_serviceTimes.size());
    for (const auto &sample : m_serviceTimes) {
        times.push_back(sample.second);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    m_expectedServiceTime = *middle;
}

bool Admission::canMeetDeadline(TimePoint now, TimePoint deadline, Duration wait) const
{
    if (!m_options.adaptivePolicy) {
        return true;
    }
    // An idle upstream runs a request even when the estimate says that it would end too late: without new samples, a
    // wrong estimate would refuse all requests and never be corrected.
    if (m_running.empty()) {
        return now < deadline;
    }
    return now + wait + m_expectedServiceTime < deadline;
}

Duration Admission::expectedWait(std::size_t requestsAhead) const
{
    // Abandoned requests may keep their slots for a long time, so only the other slots are expected to become free.
    const auto abandoned = std::ranges::count_if(m_running, [](const auto &entry) { return entry.second.abandoned; });
    const auto active = std::max<std::int64_t>(1, static_cast<std::int64_t>(m_options.slots) - abandoned);
    return m_expectedServiceTime * static_cast<std::int64_t>(requestsAhead + 1) / active;
}

bool Admission::isOverloaded(TimePoint now) const
{
    const auto threshold = std::max<Duration>(MinOverloadTime, OverloadServiceTimes * m_expectedServiceTime);
    return !m_queue.empty() && now - m_queuedSince > threshold;
}

Admission::QueuedRequest Admission::takeNext(TimePoint now)
{
    auto next = m_queue.begin();
    if (m_options.adaptivePolicy && isOverloaded(now)) {
        if (m_options.overloadOrder == Order::NewestFirst) {
            next = std::prev(m_queue.end());
        } else if (m_options.overloadOrder == Order::EarliestDeadlineFirst) {
            next = std::ranges::min_element(m_queue, {}, &QueuedRequest::deadline);
        }
    }
    const QueuedRequest queuedRequest = *next;
    m_queue.erase(next);
    return queuedRequest;
}

Admission::Changes Admission::dispatch(TimePoint now)
{
    updateExpectedServiceTime(now);
    Changes changes{.run = {}, .refused = std::exchange(m_displaced, {})};
    while (!m_queue.empty() && taken() < m_options.slots) {
        const QueuedRequest queuedRequest = takeNext(now);
        if (canMeetDeadline(now, queuedRequest.deadline, {})) {
            run(now, queuedRequest.id);
            changes.run.push_back(queuedRequest.id);
        } else {
            changes.refused.push_back(queuedRequest.id);
        }
    }
    return changes;
}

} // namespace Carobflow
