#pragma once

#include "carobflow/core/types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace Carobflow
{

/// Assigns the slots of one upstream to requests and queues requests while no slot is free. It has no clock and does no
/// I/O. Not safe for concurrent use.
class Admission
{
public:
    using RequestId = std::uint64_t;

    /// Which queued request gets the next free slot.
    enum class Order { OldestFirst, EarliestDeadlineFirst, NewestFirst };

    struct Options {
        std::uint32_t slots = 1;
        /// Requests that may wait for a slot.
        std::uint32_t queueLimit = 16;
        /// Longest time for which an abandoned request keeps its slot.
        Milliseconds abandonedHold{10000};
        /// Order in which queued requests run during overload. In the simulation of admission_test.cpp at 2 to 3 times
        /// the capacity, NewestFirst spends 0.92 of the capacity on requests that are answered in time and the other
        /// orders 0.74 to 0.78, because they run requests that have little time left.
        Order overloadOrder = Order::NewestFirst;
        /// False selects the baseline policy: first in, first out, and refusals only while the queue is full.
        bool adaptivePolicy = true;
    };

    enum class Verdict { Run, Queued, Refused };

    struct Decision {
        Verdict verdict = Verdict::Refused;
        /// For Refused: the reason, and the delay after which a retry may succeed.
        std::string reason;
        Milliseconds retryAfter{0};
    };

    /// Queued requests that may run now, and those that were refused. Includes requests that request() has displaced
    /// from a full queue since the previous Changes.
    struct Changes {
        std::vector<RequestId> run;
        std::vector<RequestId> refused;
    };

    explicit Admission(Options options);

    /// Sets the number of slots that the upstream announced. Queued requests get additional slots at the next expire()
    /// or finish().
    void setSlots(std::uint32_t slots);

    /// Refuses all later requests and returns the queued ones as refused.
    Changes close();

    /// Asks for a slot. The request is refused at once when its deadline cannot be met.
    Decision request(TimePoint now, RequestId id, TimePoint deadline);

    /// Frees the slot of a request that the upstream has answered or is known to have stopped working on.
    Changes finish(TimePoint now, RequestId id, Duration serviceTime);

    /// Marks a running request whose caller no longer waits but which the upstream may still work on: its slot stays
    /// taken until finish() or until the hold time has passed.
    void abandon(TimePoint now, RequestId id);

    /// Removes a queued request whose caller no longer waits.
    void cancelQueued(RequestId id);

    /// Refuses queued requests whose deadline cannot be met, frees slots whose hold time has passed, and gives free
    /// slots to queued requests. Called every few milliseconds while requests are queued.
    Changes expire(TimePoint now);

    /// Number of slots in use, including those of abandoned requests.
    [[nodiscard]] std::uint32_t taken() const;
    [[nodiscard]] std::uint32_t queued() const;

    /// Estimated time that a request spends in the upstream: the median of recent requests, or 0 without any.
    [[nodiscard]] Duration expectedServiceTime() const;

private:
    struct QueuedRequest {
        RequestId id = 0;
        TimePoint deadline;
    };

    struct RunningRequest {
        bool abandoned = false;
        TimePoint startedAt;
        TimePoint releaseAt;
    };

    void run(TimePoint now, RequestId id);
    void addServiceTime(TimePoint now, Duration serviceTime);
    void updateExpectedServiceTime(TimePoint now);
    [[nodiscard]] bool canMeetDeadline(TimePoint now, TimePoint deadline, Duration wait) const;
    [[nodiscard]] Duration expectedWait(std::size_t requestsAhead) const;
    [[nodiscard]] bool isOverloaded(TimePoint now) const;
    QueuedRequest takeNext(TimePoint now);
    /// Gives free slots to queued requests, in order, and moves those that cannot finish in time to the refused.
    Changes dispatch(TimePoint now);

    Options m_options;
    bool m_closed = false;
    Duration m_expectedServiceTime{0};
    /// End times and service times of recent requests.
    boost::circular_buffer<std::pair<TimePoint, Duration>> m_serviceTimes;
    /// In order of arrival.
    std::deque<QueuedRequest> m_queue;
    /// Time since which the queue has not been empty.
    TimePoint m_queuedSince;
    std::vector<RequestId> m_displaced;
    std::unordered_map<RequestId, RunningRequest> m_running;
};

} // namespace Carobflow
