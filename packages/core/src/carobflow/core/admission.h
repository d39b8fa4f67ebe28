#pragma once

#include "carobflow/core/types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Carobflow
{

/// Counts the slots of one upstream and queues requests for them. It has no clock and does no I/O; its owner calls it
/// from one thread at a time.
class Admission
{
public:
    using RequestId = std::uint64_t;

    struct Options {
        std::uint32_t slots = 1;
        /// Requests that may wait for a slot.
        std::uint32_t queueLimit = 16;
        /// How long an abandoned request holds its slot at most.
        Milliseconds abandonedHold{10000};
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

    /// What became of queued requests: each may run now or is refused.
    struct Changes {
        std::vector<RequestId> run;
        std::vector<RequestId> refused;
    };

    explicit Admission(Options options);

    /// Changes the number of slots, as announced by the upstream.
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

    /// Refuses queued requests whose deadline cannot be met and frees slots whose hold time has passed.
    Changes expire(TimePoint now);

    /// Slots that are taken, abandoned requests included.
    [[nodiscard]] std::uint32_t taken() const;
    [[nodiscard]] std::uint32_t queued() const;

    /// Estimated time that a request spends in the upstream, from recent requests.
    [[nodiscard]] Duration expectedServiceTime() const;

private:
    struct Waiting {
        RequestId id = 0;
        TimePoint deadline;
    };

    struct Holding {
        bool abandoned = false;
        TimePoint releaseAt;
    };

    Options m_options;
    bool m_closed = false;
    Duration m_expectedServiceTime{0};
    std::deque<Waiting> m_queue;
    std::unordered_map<RequestId, Holding> m_holding;
};

} // namespace Carobflow
