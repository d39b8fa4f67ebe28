#pragma once

#include "carobflow/scheduler/job.h"

#include <vector>

namespace Carobflow::Scheduling
{

/// Orders jobs whose tasks compete for resources.
///
/// Queues of higher priority come first. Within a priority, jobs that can still meet their latency objective come
/// before late ones, and jobs that are so late that their result is worthless come last: under overload, resources
/// spent on those make every later job late as well. Within each of these groups, jobs are ordered by least slack.
/// Services are never late and come first within their priority.
class JobOrder
{
public:
    explicit JobOrder(TimePoint now)
        : m_now(now)
    {
    }

    /// Sorts the jobs; the first one is served first.
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
