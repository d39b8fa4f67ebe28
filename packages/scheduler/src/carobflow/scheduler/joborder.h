#pragma once

#include "carobflow/scheduler/job.h"

#include <vector>

namespace Carobflow::Scheduling
{

/// Orders jobs whose tasks compete for room.
///
/// Queues of higher priority come first. Among equals a job that can still meet its latency objective comes before one
/// that is late already, and a job that is so late that its result has lost its value comes last: under overload room
/// spent on those makes every job after them late as well. Within each group the least slack comes first. Services are
/// never late and come before all others of their priority.
class JobOrder
{
public:
    explicit JobOrder(TimePoint now)
        : m_now(now)
    {
    }

    /// Sorts by order of service.
    void sort(std::vector<Job *> &jobs) const;

private:
    struct Rank {
        std::uint32_t priority = 0;
        int lateness = 0;
        Duration slack{};
        TimePoint acceptedAt;

        // clang-tidy 14 takes the defaulted comparison for a literal 0.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const Rank &) const = default;
    };

    [[nodiscard]] Rank rankOf(const Job &job) const;

    TimePoint m_now;
};

} // namespace Carobflow::Scheduling
