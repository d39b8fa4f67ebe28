#pragma once

#include "carobflow/core/routing.h"
#include "carobflow/core/types.h"

#include <atomic>
#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>

namespace Carobflow
{

/// The load and health of one upstream as observed by this process. Safe to call from several threads; the functions
/// that choose() calls for each candidate only read atomics.
class UpstreamHealth
{
public:
    struct Options {
        std::uint32_t ejectAfterFailures = 3;
        Milliseconds ejectionTime{1000};
        bool canEject = true;
    };

    enum class Availability { Available, ProbeDue, Ejected };

    /// The load of an upstream at one moment.
    struct Load {
        /// Requests in progress, including those of other entries as far as they are known.
        double requests = 0;
        /// Recent latency in milliseconds; empty without a recent answer.
        std::optional<double> latency;
        /// Time for which requests have been in progress without any answer: a lower bound of the latency.
        double stalledMs = 0;
        /// Latency factor of at least 1, which rises with each attempt without an answer since the last answer.
        double penalty = 1;
    };

    explicit UpstreamHealth(Options options);

    /// Records an announcement, which shows that the agent is alive.
    void onAnnounced(TimePoint now);
    [[nodiscard]] bool isAnnouncedSince(TimePoint earliest) const;

    /// Makes the next probe due at once, because the agent has restarted.
    void onRestart(TimePoint now);

    [[nodiscard]] Availability availability(TimePoint now) const;
    [[nodiscard]] Load load(TimePoint now) const;
    [[nodiscard]] std::uint32_t outstanding() const;

    /// Counts the start of an attempt.
    void begin(TimePoint now);

    /// Reserves the one probe of an ejected upstream; false when no probe is due or another attempt has it.
    bool tryBeginProbe(TimePoint now);

    /// Ends an attempt that begin() counted; `probe` when tryBeginProbe() reserved it.
    void settle(TimePoint now, AttemptResult result, Duration latency, std::uint32_t reported, bool probe);

private:
    static constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::min();

    void onAnswer(std::int64_t now, double milliseconds);
    void addLatency(std::int64_t now, double milliseconds);
    void eject(std::int64_t now);
    void onProbeFailed(std::int64_t now);

    const Options m_options;
    std::atomic<std::int64_t> m_announcedAt{Never};
    std::atomic<std::uint32_t> m_outstanding{0};
    /// Last time at which the upstream answered, or became busy after it was idle.
    std::atomic<std::int64_t> m_progressAt{Never};
    /// Time from which a probe of an ejected upstream is due; `Never` while the upstream is not ejected.
    std::atomic<std::int64_t> m_ejectedUntil{Never};
    std::atomic<bool> m_probing{false};
    /// Attempts since the last answer that ended as unknown (failures) or were refused (refusals).
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<std::uint32_t> m_refusals{0};
    /// Milliseconds; negative without a sample.
    std::atomic<double> m_latency{-1};
    std::atomic<std::int64_t> m_latencyAt{Never};
    /// Requests of other entries, from the agent's latest reply.
    std::atomic<std::uint32_t> m_otherRequests{0};
    std::atomic<std::int64_t> m_otherRequestsAt{Never};

    /// Serialises changes of the state below and of the groups of atomics above that change together.
    std::mutex m_mutex;
    std::int64_t m_answeredAt = Never;
    std::int64_t m_ejectedAt = Never;
    std::uint32_t m_failedProbes = 0;
};

} // namespace Carobflow
