#pragma once

#include "carobflow/scheduler/job.h"

#include <functional>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Carobflow::Scheduling
{

/// Decides which runs of batch work are stopped to continue on another host.
///
/// A host whose services come near their targets paces the batch work beside them. A step ends with its slowest task,
/// so one task that is paced to a fifth of its speed delays its whole job by many times its run time. A task with
/// checkpoints loses almost nothing by a move.
class Relocation
{
public:
    struct Options {
        /// A run that is paced to less than this percentage is slow.
        std::uint32_t slowShare = 50;
        /// A run that is paced to this percentage at most makes no progress that matters. Pacers stop images below 8 %.
        std::uint32_t standstillShare = 8;
        /// How long a run is slow before it moves. Pacing raises a share again after 0.4 s when the services allow it.
        Milliseconds slowFor{1000};
        /// Time that a move takes: a stop, a write to the store and a start from a checkpoint.
        Milliseconds cost{800};
        /// Smallest gain for which a run moves, beside the cost and the work that is lost without a checkpoint.
        Milliseconds minimumGain{1500};
        /// A task moves at most this often, so that it is not driven around while all hosts are under pressure.
        std::uint32_t maxMoves = 3;
        /// Number of moves in each interval. A move costs the leader a stop and a start.
        std::size_t movesPerInterval = 3;
        /// Number of runs in each interval for which a place is looked for; each look compares all hosts.
        std::size_t looksPerInterval = 8;
        Milliseconds interval{100};
    };

    /// A run that may move.
    struct Candidate {
        RunId run;
        Duration gain{};
    };

    /// Tells whether the task of a run would find another host.
    using HasPlace = std::function<bool(const RunId &run)>;

    /// Moves, and candidates for which no host was found; for the log.
    struct Summary {
        std::size_t moves = 0;
        std::size_t withoutPlace = 0;
    };

    explicit Relocation(Options options)
        : m_options(options)
    {
    }

    /// Time that the task gains by a move; none for a run that stays.
    [[nodiscard]] std::optional<Duration>
    gain(const StepSpec &step, const Task &task, const Attempt &attempt, TimePoint now) const;

    /// True for a run that makes no progress and would not lose any either by a stop. It moves although no host has
    /// room for it: what it holds on its host serves other tasks meanwhile.
    [[nodiscard]] bool standsStill(const StepSpec &step, const Attempt &attempt) const
    {
        return step.checkpointing && attempt.share <= m_options.standstillShare;
    }

    /// Selects the moves of one plan, with the largest gain first.
    [[nodiscard]] std::vector<RunId> select(std::vector<Candidate> candidates, const HasPlace &hasPlace, TimePoint now);

    /// Counts since the last call.
    Summary takeSummary()
    {
        return std::exchange(m_summary, {});
    }

    [[nodiscard]] const Options &options() const
    {
        return m_options;
    }

private:
    Options m_options;
    TimePoint m_intervalBegan;
    std::size_t m_movesInInterval = 0;
    std::size_t m_looksInInterval = 0;
    Summary m_summary;
};

} // namespace Carobflow::Scheduling
