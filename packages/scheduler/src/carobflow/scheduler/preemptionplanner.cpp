#include "carobflow/scheduler/preemptionplanner.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

using Room = PreemptionPlanner::Room;

bool fits(const PreemptionPlanner::Waiting &waiting, const Room &room)
{
    const std::int64_t cpu = waiting.fillsLeftover ? room.leftoverCpu : room.free.cpuMillis;
    return cpu >= waiting.request.cpuMillis && room.free.accelerators >= waiting.request.accelerators
        && room.free.memoryMiB >= std::max(waiting.request.memoryMiB, waiting.memoryReserve);
}

/// Adds the resources of a run to a room, or takes them for one.
void change(Room &room, const Resources &request, bool fillsLeftover, std::int64_t sign)
{
    room.leftoverCpu += sign * request.cpuMillis;
    room.free.cpuMillis += fillsLeftover ? 0 : sign * request.cpuMillis;
    room.free.memoryMiB += sign * request.memoryMiB;
    room.free.accelerators += sign * request.accelerators;
}

double highestRate(const std::vector<const PreemptionPlanner::Candidate *> &victims)
{
    return std::ranges::max(victims, {}, &PreemptionPlanner::Candidate::rate)->rate;
}

} // namespace

void PreemptionPlanner::release(Room &room, const Resources &request, bool fillsLeftover)
{
    change(room, request, fillsLeftover, 1);
}

bool PreemptionPlanner::mayStop(const Candidate &candidate) const
{
    return candidate.ran >= m_options.minimumRun && candidate.left >= m_options.minimumLeft
        && candidate.sincePreempted >= m_options.pause;
}

bool PreemptionPlanner::yields(const Candidate &candidate, const Waiting &waiting) const
{
    if (candidate.rank <= waiting.rank || candidate.priority < waiting.priority) {
        return false;
    }
    // A reservation keeps work of a higher priority out, whatever its own job earns. Fillers reserve no processor time.
    const bool isOutranked = candidate.priority > waiting.priority && !candidate.fillsLeftover;
    const bool earnsLess = candidate.rate <= waiting.rate * m_options.rateRatio;
    return isOutranked || (candidate.fillsLeftover && earnsLess && !candidate.inTime);
}

PreemptionPlanner::Victims
PreemptionPlanner::victimsFor(const Waiting &waiting, const Room &room, const Victims &candidates) const
{
    Room freed = room;
    Victims victims;
    for (const Candidate *candidate : candidates) {
        if (fits(waiting, freed)) {
            break;
        }
        if (yields(*candidate, waiting)) {
            change(freed, candidate->request, candidate->fillsLeftover, 1);
            victims.push_back(candidate);
        }
    }
    if (!fits(waiting, freed)) {
        return {};
    }
    // A large run among the victims can make smaller ones before it needless.
    for (auto victim = victims.begin(); victim != victims.end();) {
        Room without = freed;
        change(without, (*victim)->request, (*victim)->fillsLeftover, -1);
        if (fits(waiting, without)) {
            freed = without;
            victim = victims.erase(victim);
        } else {
            ++victim;
        }
    }
    return victims;
}

std::vector<RunId> PreemptionPlanner::plan(std::span<const Waiting> waiting,
                                           std::span<const Candidate> running,
                                           std::span<const Room> rooms,
                                           TimePoint now)
{
    if (!isDue(now)) {
        return {};
    }
    m_plannedAt = now;
    std::vector<Room> left(rooms.begin(), rooms.end());
    std::vector<Victims> candidates(rooms.size());
    for (const Candidate &candidate : running) {
        if (mayStop(candidate)) {
            candidates[candidate.room].push_back(&candidate);
        }
    }
    for (Victims &onHost : candidates) {
        std::ranges::stable_sort(onHost, {}, &Candidate::rate);
    }
    std::vector<RunId> stops;
    for (const Waiting &step : waiting) {
        for (std::size_t task = 0; task < step.tasks; ++task) {
            const auto open = std::ranges::find_if(step.rooms,
                                                   [&](std::size_t room) { return fits(step, left[room]); });
            if (open != step.rooms.end()) {
                change(left[*open], step.request, step.fillsLeftover, -1);
                continue;
            }
            std::size_t chosen = 0;
            Victims best;
            for (const std::size_t room : step.rooms) {
                Victims victims = victimsFor(step, left[room], candidates[room]);
                if (victims.empty() || stops.size() + victims.size() > m_options.stopsPerInterval) {
                    continue;
                }
                if (best.empty() || victims.size() < best.size()
                    || (victims.size() == best.size() && highestRate(victims) < highestRate(best))) {
                    best = std::move(victims);
                    chosen = room;
                }
            }
            if (best.empty()) {
                break;
            }
            for (const Candidate *victim : best) {
                change(left[chosen], victim->request, victim->fillsLeftover, 1);
                std::erase(candidates[chosen], victim);
                stops.push_back(victim->run);
            }
            change(left[chosen], step.request, step.fillsLeftover, -1);
        }
    }
    return stops;
}

} // namespace Carobflow::Scheduling
