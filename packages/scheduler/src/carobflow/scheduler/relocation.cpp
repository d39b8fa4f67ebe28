#include "carobflow/scheduler/relocation.h"

#include <algorithm>

namespace Carobflow::Scheduling
{

std::optional<Duration>
Relocation::gain(const StepSpec &step, const Task &task, const Attempt &attempt, TimePoint now) const
{
    const bool mayMove = step.checkpointing && step.fillsLeftover && !step.gang && !step.longRunning;
    const bool isSlow = attempt.phase == AttemptPhase::Running && attempt.listed && attempt.slowSince
        && now - *attempt.slowSince >= m_options.slowFor;
    if (!mayMove || !isSlow || task.moves >= m_options.maxMoves || task.attempts.size() != 1) {
        return std::nullopt;
    }
    const double share = std::max(1.0, static_cast<double>(attempt.share)) / 100;
    const std::chrono::duration<double> left = step.estimate * (1 - std::min(100U, attempt.percent) / 100.0);
    const auto gained = std::chrono::duration_cast<Duration>(left / share - left) - m_options.cost;
    return gained >= m_options.minimumGain ? std::optional(gained) : std::nullopt;
}

std::vector<RunId> Relocation::select(std::vector<Candidate> candidates, std::size_t firstWaitingRank, TimePoint now)
{
    if (now - m_intervalBegan >= m_options.interval) {
        m_intervalBegan = now;
        m_movesInInterval = 0;
    }
    std::erase_if(candidates, [&](const Candidate &candidate) { return candidate.jobRank > firstWaitingRank; });
    std::ranges::sort(candidates, std::ranges::greater(), &Candidate::gain);
    std::vector<RunId> moves;
    for (Candidate &candidate : candidates) {
        if (m_movesInInterval >= m_options.movesPerInterval) {
            break;
        }
        ++m_movesInInterval;
        moves.push_back(std::move(candidate.run));
    }
    return moves;
}

} // namespace Carobflow::Scheduling
