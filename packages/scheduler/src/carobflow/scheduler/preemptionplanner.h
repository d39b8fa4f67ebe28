#pragma once

#include "carobflow/scheduler/workload.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Carobflow::Scheduling
{

/// Decides which runs of batch work are stopped for work that loses more by waiting.
///
/// Under overload, jobs that will end late occupy hosts while jobs that could still end in time wait. A task with
/// checkpoints loses at most the work since its last checkpoint by a stop and continues from there later. The room of a
/// stopped run goes to the waiting job because that job comes first in the order of the plan.
class PreemptionPlanner
{
public:
    struct Options {
        /// A filler is stopped when its job earns at most this part of the waiting job's rate, so that the progress of
        /// either job does not reverse the decision soon.
        double rateRatio = 0.5;
        /// A run is not stopped earlier after its start; its first checkpoint is a second away.
        Milliseconds minimumRun{1000};
        /// A run with less time left frees its room about as soon as a stop, a report and a start do.
        Milliseconds minimumLeft{1000};
        /// A task is not stopped again before this time has passed.
        Milliseconds pause{10000};
        /// Stops in each interval. A stop and the restart after it cost the leader about 1 ms of its 0.15 of a core.
        std::size_t stopsPerInterval = 2;
        Milliseconds interval{100};
    };

    /// Resources of a host that a plan may use.
    struct Room {
        /// Resources that no run reserves, including those of runs that are being stopped.
        Resources free;
        /// Processor time for fillers; see Host::leftoverCpu().
        std::int64_t leftoverCpu = 0;
    };

    /// Tasks of one step that find no host, and whose job can still meet its objective.
    struct Waiting {
        std::uint32_t priority = 0;
        double rate = 0;
        /// Place of the job in the order of the plan.
        std::size_t rank = 0;
        std::size_t tasks = 1;
        Resources request;
        bool fillsLeftover = false;
        /// Memory that must be free on a host beforehand.
        std::int64_t memoryReserve = 0;
        /// Indices of the rooms of the hosts that could take a task, apart from their resources.
        std::vector<std::size_t> rooms;
    };

    /// A running task of a batch step with checkpoints.
    struct Candidate {
        RunId run;
        /// Index of the room of its host.
        std::size_t room = 0;
        std::uint32_t priority = 0;
        double rate = 0;
        /// The job is expected to end within its objective.
        bool inTime = false;
        std::size_t rank = 0;
        Resources request;
        bool fillsLeftover = false;
        Duration ran{};
        /// Expected time until its end.
        Duration left{};
        /// Time since the task was last stopped for other work.
        Duration sincePreempted = Duration::max();
    };

    /// Adds the resources of a run that ends to a room.
    static void release(Room &room, const Resources &request, bool fillsLeftover);

    explicit PreemptionPlanner(Options options)
        : m_options(options)
    {
    }

    /// True when a new interval has begun, so that plan() may stop runs.
    [[nodiscard]] bool isDue(TimePoint now) const
    {
        return now - m_plannedAt >= m_options.interval;
    }

    /// Returns the runs to stop, none unless isDue(). `waiting` is in the order of the plan. For each waiting task, the
    /// host with the fewest stops is chosen, and on it the runs that earn least.
    [[nodiscard]] std::vector<RunId> plan(std::span<const Waiting> waiting,
                                          std::span<const Candidate> running,
                                          std::span<const Room> rooms,
                                          TimePoint now);

private:
    /// Candidates of one host that have not been chosen, the one that earns least first.
    using Victims = std::vector<const Candidate *>;

    [[nodiscard]] bool mayStop(const Candidate &candidate) const;
    [[nodiscard]] bool yields(const Candidate &candidate, const Waiting &waiting) const;
    /// Fewest victims whose stop makes the room large enough; none when that is not possible.
    [[nodiscard]] Victims victimsFor(const Waiting &waiting, const Room &room, const Victims &candidates) const;

    Options m_options;
    TimePoint m_plannedAt;
};

} // namespace Carobflow::Scheduling
