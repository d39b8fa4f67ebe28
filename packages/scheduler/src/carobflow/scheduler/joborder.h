#pragma once

#include "carobflow/scheduler/jobvalue.h"

#include <span>
#include <vector>

namespace Carobflow::Scheduling
{

/// Orders jobs whose tasks compete for resources.
///
/// Queues of higher priority come first, and services, which are never late, before all jobs of their priority. Within
/// a priority there are two rules:
///
/// - Least slack: jobs that can still meet their latency objective come before late ones, and jobs that are so late
///   that their result is worthless come last: under overload, resources spent on those make every later job late as
///   well. Within each of these groups, jobs are ordered by least slack.
/// - Value: jobs are ordered by the value that a unit of their remaining work earns. Under lasting overload, least
///   slack starts each job just before it becomes late, so that nearly all end late.
class JobOrder
{
public:
    enum class Rule { LeastSlack, Value };

    JobOrder(Rule rule, TimePoint now)
        : m_rule(rule)
        , m_now(now)
    {
    }

    /// Sorts the jobs; the first one is served first.
    void sort(std::vector<Job *> &jobs) const;

    /// Work that remains of those jobs that are served before another one, in core-milliseconds.
    [[nodiscard]] double workBefore(const Job &job, std::span<const Job *const> jobs) const;

private:
    struct Rank {
        std::uint32_t priority = 0;
        int lateness = 0;
        /// The negative rate of the job under the rule Value.
        double cost = 0;
        Duration slack{};
        TimePoint acceptedAt;

        // clang-tidy 14 takes the defaulted comparison for a literal 0.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const Rank &) const = default;
    };

    [[nodiscard]] Rank rankOf(const Job &job) const;
    [[nodiscard]] Rank rankBySlack(const Job &job) const;
    [[nodiscard]] Rank rankByValue(const Job &job) const;

    Rule m_rule;
    TimePoint m_now;
    JobValue m_value{JobValue::Options{}};
};

} // namespace Carobflow::Scheduling
