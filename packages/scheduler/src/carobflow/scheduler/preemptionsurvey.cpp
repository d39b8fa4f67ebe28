#include "carobflow/scheduler/preemptionsurvey.h"

#include <algorithm>
#include <iterator>

namespace Carobflow::Scheduling
{
namespace
{

/// Time from a stop until the waiting task runs: the end of the run, a report, a write to the store and a start.
constexpr Milliseconds HandoverTime{400};
/// Steps for which one plan looks for room. Those behind them in the order earn less, so that they find fewer victims.
constexpr std::size_t MaxWaitingSteps = 8;

bool isSameStep(const TaskId &left, const TaskId &right)
{
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

/// Expected time until the end of a run. The percentage shows the progress even where the estimate is wrong.
Duration timeLeft(const StepSpec &step, const Attempt &attempt)
{
    const double share = std::max(1.0, static_cast<double>(attempt.share)) / 100;
    const std::chrono::duration<double> left = step.estimate * (1 - std::min(100U, attempt.percent) / 100.0);
    return std::chrono::duration_cast<Duration>(left / share);
}

} // namespace

PreemptionSurvey::PreemptionSurvey(std::span<Job *const> order,
                                   std::span<const TaskId> unplaced,
                                   std::span<Host *const> hosts,
                                   const Placement &placement,
                                   TimePoint now)
{
    for (const Host *host : hosts) {
        m_roomIndex.emplace(host->name(), m_rooms.size());
        m_rooms.push_back({.free = host->free(), .leftoverCpu = host->leftoverCpu()});
    }
    auto next = unplaced.begin();
    for (std::size_t rank = 0; rank < order.size() && m_waiting.size() < MaxWaitingSteps; ++rank) {
        for (; next != unplaced.end() && next->job == order[rank]->spec().id; ++next) {
            // A step with tasks that have failed is noted once for each of these.
            if (next == unplaced.begin() || !isSameStep(*next, *std::prev(next))) {
                addWaiting(*order[rank], *next, rank, hosts, placement, now);
            }
        }
    }
    for (std::size_t rank = 0; rank < order.size() && !m_waiting.empty(); ++rank) {
        if (!order[rank]->isIdle() && !order[rank]->isService()) {
            addRunning(*order[rank], rank, now);
        }
    }
}

void PreemptionSurvey::addWaiting(const Job &job,
                                  const TaskId &id,
                                  std::size_t rank,
                                  std::span<Host *const> hosts,
                                  const Placement &placement,
                                  TimePoint now)
{
    const StepSpec &step = job.step(id);
    const TimePoint end = now + HandoverTime + job.remainingLikelyPath();
    // A gang needs the room of all its members at once.
    if (step.gang || (!job.isService() && m_value.worthAt(job, end) < 1)) {
        return;
    }
    PreemptionPlanner::Waiting waiting{.priority = job.queue().priority,
                                       .rate = m_value.rate(job, now),
                                       .rank = rank,
                                       .request = step.request,
                                       .fillsLeftover = step.fillsLeftover,
                                       .memoryReserve = step.fillsLeftover ? placement.options().fillerMemoryReserve
                                                                           : 0};
    waiting.tasks = static_cast<std::size_t>(
        std::ranges::count_if(job.stepTasks(id.occurrence, id.step), [&](const Task &task) {
            return !task.done && task.attempts.empty() && task.notBefore <= now;
        }));
    for (std::size_t room = 0; room < hosts.size(); ++room) {
        if (placement.isSuitable(*hosts[room], job, id, now)) {
            waiting.rooms.push_back(room);
        }
    }
    m_waiting.push_back(std::move(waiting));
}

void PreemptionSurvey::addRunning(Job &job, std::size_t rank, TimePoint now)
{
    job.forEachTask([&](const TaskId &id, const Task &task) {
        const StepSpec &step = job.step(id);
        for (const Attempt &attempt : task.attempts) {
            const auto room = m_roomIndex.find(attempt.host);
            if (room == m_roomIndex.end()) {
                continue;
            }
            if (attempt.phase == AttemptPhase::Stopping) {
                PreemptionPlanner::release(m_rooms[room->second], step.request, step.fillsLeftover);
            }
            const bool isConfirmed = attempt.phase == AttemptPhase::Running && attempt.listed && !attempt.restored
                && !attempt.mayRunOnSuccessor;
            if (!isConfirmed || !step.checkpointing || step.gang || step.longRunning || task.attempts.size() != 1) {
                continue;
            }
            // The remaining path counts a step in full until its last task ends. A job that would end in time must not
            // be taken for a late one, so the step counts with the rest of this run, or with one task that has to
            // start yet.
            const Duration left = timeLeft(step, attempt);
            const Duration laterSteps = std::max<Duration>(Duration(0),
                                                           job.remainingLikelyPath() - likelyStepLength(step));
            const bool allStarted = std::ranges::all_of(job.stepTasks(id.occurrence, id.step), [](const Task &sibling) {
                return sibling.done || !sibling.attempts.empty();
            });
            const TimePoint end = now + laterSteps + std::max<Duration>(left, allStarted ? Duration(0) : step.estimate);
            m_running.push_back({.run = {.task = id, .run = attempt.run},
                                 .room = room->second,
                                 .priority = job.queue().priority,
                                 .rate = m_value.rateWithEnd(job, end),
                                 .inTime = m_value.worthAt(job, end) >= 1,
                                 .rank = rank,
                                 .request = step.request,
                                 .fillsLeftover = step.fillsLeftover,
                                 .ran = now - attempt.startedAt,
                                 .left = left,
                                 .sincePreempted = task.preemptedAt ? now - *task.preemptedAt : Duration::max()});
        }
    });
}

} // namespace Carobflow::Scheduling
