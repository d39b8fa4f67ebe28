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

/// Counts the slots of one upstream and queues requests for them. It has no clock and does no I/O; its owner calls it
/// from one thread at a time.
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
        /// How long an abandoned request holds its slot at most.
        Milliseconds abandonedHold{10000};
        /// Order while the queue has not been empty for a while. In the simulation of admission_test.cpp at 2 to 3
        /// times the capacity, newest first kept 0.92 of the capacity useful, the others 0.74 to 0.78: they run
        /// requests that have little time left.
        Order overloadOrder = Order::NewestFirst;
        /// False selects the baseline: a queue in order of arrival that sheds only when it is full.
        bool adaptivePolicy = true;
    };

    enum class Verdict { Run, Queued, Refused };

    struct Decision {
        Verdict verdict = Verdict::Refused;
        /// For Refused: why, and when a retry makes sense.
        std::string reason;
        Milliseconds retryAfter{0};
    };

    /// What became of queued requests: each may run now or is refused. This includes queued requests that a request()
    /// since the previous Changes displaced from a full queue.
    struct Changes {
        std::vector<RequestId> run;
        std::vector<RequestId> refused;
    };

    explicit Admission(Options options);

    /// Changes the number of slots, as announced by the upstream. Queued requests take new slots with the next expire()
    /// or finish().
    void setSlots(std::uint32_t slots);

    /// Refuses everything from now on; queued requests are returned as refused.
    Changes close();

    /// Asks for a slot. The request is refused at once when its deadline cannot be met.
    Decision request(TimePoint now, RequestId id, TimePoint deadline);

    /// The upstream answered, or certainly works on the request no more.
    Changes finish(TimePoint now, RequestId id, Duration serviceTime);

    /// The caller gave the request up but the upstream may still work on it: its slot stays taken until finish() or
    /// until the hold time has passed.
    void abandon(TimePoint now, RequestId id);

    /// Removes a queued request that its caller gave up.
    void cancelQueued(RequestId id);

    /// Refuses queued requests whose deadline cannot be met, frees slots whose hold time has passed, and gives free
    /// slots to queued requests. Called every few milliseconds while requests are queued.
    Changes expire(TimePoint now);

    /// Slots that are taken, abandoned requests included.
    [[nodiscard]] std::uint32_t taken() const;
    [[nodiscard]] std::uint32_t queued() const;

    /// Estimated time that a request spends in the upstream: the median of recent requests, or 0 without any.
    [[nodiscard]] Duration expectedServiceTime() const;

private:
    struct Waiting {
        RequestId id = 0;
        TimePoint deadline;
    };

    struct Holding {
        bool abandoned = false;
        TimePoint startedAt;
        TimePoint releaseAt;
    };

    void run(TimePoint now, RequestId id);
    void addServiceTime(TimePoint now, Duration serviceTime);
    void updateExpectedServiceTime(TimePoint now);
    [[nodiscard]] bool canFinish(TimePoint now, TimePoint deadline, Duration wait) const;
    [[nodiscard]] Duration expectedWait(std::size_t requestsAhead) const;
    [[nodiscard]] bool isOverloaded(TimePoint now) const;
    Waiting takeNext(TimePoint now);
    /// Gives free slots to queued requests, in order, and moves those that cannot finish in time to the refused.
    Changes dispatch(TimePoint now);

    Options m_options;
    bool m_closed = false;
    Duration m_expectedServiceTime{0};
    /// Times of recent requests, with the time at which each ended.
    boost::circular_buffer<std::pair<TimePoint, Duration>> m_serviceTimes;
    /// In order of arrival.
    std::deque<Waiting> m_queue;
    /// Since when the queue has not been empty.
    TimePoint m_queuedSince;
    std::vector<RequestId> m_displaced;
    std::unordered_map<RequestId, Holding> m_holding;
};

} // namespace Carobflow
