#pragma once

#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/job.h"
#include "carobflow/scheduler/jobvalue.h"
#include "carobflow/scheduler/placement.h"
#include "carobflow/scheduler/preemptionplanner.h"

#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Collects what a PreemptionPlanner compares: the steps that a plan has left waiting and that are worth a stop, the
/// runs that may be stopped, and the free resources of the hosts.
///
/// The cost is one look at each task of the jobs that run, and one at each host for a few waiting steps.
class PreemptionSurvey
{
public:
    /// `order` holds the open jobs in the order of the plan, and `unplaced` one task of each waiting step in the same
    /// order.
    PreemptionSurvey(std::span<Job *const> order,
                     std::span<const TaskId> unplaced,
                     std::span<Host *const> hosts,
                     const Placement &placement,
                     TimePoint now);

    [[nodiscard]] std::span<const PreemptionPlanner::Waiting> waiting() const
    {
        return m_waiting;
    }

    [[nodiscard]] std::span<const PreemptionPlanner::Candidate> running() const
    {
        return m_running;
    }

    [[nodiscard]] std::span<const PreemptionPlanner::Room> rooms() const
    {
        return m_rooms;
    }

private:
    void addWaiting(const Job &job,
                    const TaskId &id,
                    std::size_t rank,
                    std::span<Host *const> hosts,
                    const Placement &placement,
                    TimePoint now);
    void addRunning(Job &job, std::size_t rank, TimePoint now);

    JobValue m_value{JobValue::Options{}};
    std::map<std::string_view, std::size_t> m_roomIndex;
    std::vector<PreemptionPlanner::Waiting> m_waiting;
    std::vector<PreemptionPlanner::Candidate> m_running;
    std::vector<PreemptionPlanner::Room> m_rooms;
};

} // namespace Carobflow::Scheduling
