#pragma once

#include "carobflow/scheduler/workload.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Carobflow::Scheduling
{

/// A task as the pacing of its host sees it.
struct PacedTask {
    RunId run;
    std::string image;
    /// Of a task that serves; 0 for others.
    Milliseconds tailTarget{0};
    bool fillsLeftover = false;
    /// Tail latency in milliseconds of a task that serves.
    std::int64_t tailMs = 0;
};

/// Limits fillers on one host so that the tasks that serve stay below their tail latency targets.
///
/// The figures are those of the last half second and swing, so the share of the fillers is cut by factors when a tail
/// comes near its target and is given back in small steps once it is well below.
class Pacer
{
public:
    struct Options {
        /// Part of the target above which fillers are cut.
        double cutAbove = 0.85;
        /// Part of the target above which fillers are cut hard.
        double cutHardAbove = 1.0;
        /// Part of the target below which share is given back.
        double raiseBelow = 0.7;
        double cutFactor = 0.75;
        double hardCutFactor = 0.4;
        std::uint32_t raiseStep = 15;
        /// Shares below this count as none.
        std::uint32_t leastShare = 8;
        /// Time between changes: pacing takes effect after 100 ms and the figures cover half a second.
        Milliseconds interval{600};
    };

    struct Command {
        RunId run;
        std::uint32_t percent = 100;
    };

    explicit Pacer(Options options)
        : m_options(options)
    {
    }

    /// Takes the newest figures and returns the limits that have to change.
    std::vector<Command> update(std::span<const PacedTask> tasks, TimePoint now);

    /// A limit did not reach the upstream and has to be sent again.
    void forget(const RunId &run)
    {
        m_applied.erase(run);
    }

    /// Largest ratio of tail latency to target at the last update.
    [[nodiscard]] double pressure() const
    {
        return m_pressure;
    }

    [[nodiscard]] std::uint32_t share() const
    {
        return m_share;
    }

private:
    void adjustShare(TimePoint now);

    Options m_options;
    std::uint32_t m_share = 100;
    double m_pressure = 0;
    TimePoint m_changedAt;
    /// Limits that the upstream has; runs start without one.
    std::map<RunId, std::uint32_t> m_applied;
};

} // namespace Carobflow::Scheduling
