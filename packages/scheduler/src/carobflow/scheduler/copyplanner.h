#pragma once

#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/job.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Carobflow::Scheduling
{

/// Decides which tasks of speculative steps get a second attempt.
///
/// A step ends with its slowest task, and a few tasks take many times as long as their siblings because of their host
/// or by chance. A second attempt on another host draws a new run time. It pays when the time that the first attempt
/// still needs, predicted from its progress, clearly exceeds the time that a whole run takes.
class CopyPlanner
{
public:
    struct Options {
        /// Time between two examinations of the running steps.
        Milliseconds interval{100};
        /// A task gets a copy when it needs more than this multiple of the time of a run, and the cost of a start.
        double gainFactor = 2;
        /// Time that a start takes: a write to the store, an order, and the report of the end.
        Milliseconds startCost{300};
        /// Number of known run times below which no time of a run is expected.
        std::size_t minimumSiblings = 3;
        /// Percentages are measured up to 500 ms before they are reported; this is the mean.
        Milliseconds progressLag{250};
        /// Time in which a running task reports progress at least once: an interval of reports and of measurements.
        Milliseconds progressInterval{900};
        /// Number of copies in each interval. A copy costs the leader a write, a start and a stop.
        std::size_t copiesPerInterval = 3;
        /// Part of the free processor time of all hosts that copies may reserve.
        double freeShare = 0.1;
    };

    /// What is known of one task of a step.
    struct Sibling {
        std::uint32_t index = 0;
        /// Time since the start of the attempt, and between that and the last change of its percentage.
        Duration elapsed{};
        Duration progressedAfter{};
        std::uint32_t percent = 0;
        /// One attempt of the task runs, and a second one is allowed.
        bool mayBeCopied = false;
        bool running = false;
        bool done = false;
        /// Run time of the attempt that finished the task; zero when it is not known.
        Duration took{};
    };

    /// A task of a step that is slow, and how much earlier a copy is expected to end.
    struct SlowTask {
        std::uint32_t index = 0;
        Duration remaining{};
        Duration gain{};
    };

    /// A task that gets a copy.
    struct Copy {
        TaskId task;
        Duration gain{};
    };

    explicit CopyPlanner(Options options)
        : m_options(options)
    {
    }

    /// Time that a new attempt of a task is expected to take: the median of the run times of finished siblings, or of
    /// the predicted ones of running siblings as well while few have finished. None while too little is known.
    [[nodiscard]] std::optional<Duration> expectedTime(std::span<const Sibling> step) const;

    /// Least time that a running attempt can be expected to need still. None while its progress tells nothing.
    [[nodiscard]] std::optional<Duration> remainingTime(const Sibling &sibling, Duration expected) const;

    /// The tasks of a step for which a copy is expected to end clearly earlier than the running attempt.
    [[nodiscard]] std::vector<SlowTask> slowTasks(std::span<const Sibling> step) const;

    /// Chooses the copies to start now, with the largest gain first. Does nothing before the interval has passed.
    [[nodiscard]] std::vector<Copy> plan(std::span<Job *const> jobs, std::span<Host *const> hosts, TimePoint now);

    /// Number of steps whose tasks have been compared so far; most of the processor time of this class.
    [[nodiscard]] std::size_t examinedSteps() const
    {
        return m_examinedSteps;
    }

private:
    struct Candidate;

    /// Adds the slow tasks of a step. Returns the processor time that copies of its tasks reserve.
    std::int64_t examine(Job &job, const TaskId &first, std::vector<Candidate> &candidates, TimePoint now);

    Options m_options;
    TimePoint m_plannedAt;
    std::size_t m_examinedSteps = 0;
};

} // namespace Carobflow::Scheduling
