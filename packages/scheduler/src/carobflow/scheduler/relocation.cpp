#include "carobflow/scheduler/relocation.h"

#include <algorithm>

namespace Carobflow::Scheduling
{

std::optional<Duration>
Relocation::gain(const StepSpec &step, const Task &task, const Attempt &attempt, TimePoint now) const
{
    const bool mayMove = step.fillsLeftover && !step.gang && !step.longRunning;
    const bool isSlow = attempt.phase == AttemptPhase::Running && attempt.listed && attempt.slowSince
        && now - *attempt.slowSince >= m_options.slowFor;
    if (!mayMove || !isSlow || task.moves >= m_options.maxMoves || task.attempts.size() != 1) {
        return std::nullopt;
    }
    const double share = std::max(1.0, static_cast<double>(attempt.share)) / 100;
    const std::chrono::duration<double> whole = step.estimate;
    const auto left = whole * (1 - std::min(100U, attempt.percent) / 100.0);
    const auto gained = std::chrono::duration_cast<Duration>(left / share - (step.checkpointing ? left : whole))
        - m_options.cost;
    return gained >= m_options.minimumGain ? std::optional(gained) : std::nullopt;
}

std::vector<RunId> Relocation::select(std::vector<Candidate> candidates, const HasPlace &hasPlace, TimePoint now)
{
    if (now - m_intervalBegan >= m_options.interval) {
        m_intervalBegan = now;
        m_movesInInterval = 0;
        m_looksInInterval = 0;
    }
    std::ranges::sort(candidates, std::ranges::greater(), &Candidate::gain);
    std::vector<RunId> moves;
    for (Candidate &candidate : candidates) {
        if (m_movesInInterval >= m_options.movesPerInterval || m_looksInInterval >= m_options.looksPerInterval) {
            break;
        }
        ++m_looksInInterval;
        if (hasPlace(candidate.run)) {
            ++m_movesInInterval;
            ++m_summary.moves;
            moves.push_back(std::move(candidate.run));
        } else {
            ++m_summary.withoutPlace;
        }
    }
    return moves;
}

} // namespace Carobflow::Scheduling
