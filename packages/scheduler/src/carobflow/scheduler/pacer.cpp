#include "carobflow/scheduler/pacer.h"

#include <algorithm>
#include <set>

namespace Carobflow::Scheduling
{
namespace
{

constexpr std::uint32_t FullShare = 100;

} // namespace

void Pacer::adjustShare(TimePoint now)
{
    if (now - m_changedAt < m_options.interval) {
        return;
    }
    const std::uint32_t before = m_share;
    if (m_pressure > m_options.cutHardAbove) {
        m_share = static_cast<std::uint32_t>(m_share * m_options.hardCutFactor);
    } else if (m_pressure > m_options.cutAbove) {
        m_share = static_cast<std::uint32_t>(m_share * m_options.cutFactor);
    } else if (m_pressure < m_options.raiseBelow) {
        m_share = std::min(FullShare, m_share + m_options.raiseStep);
    }
    if (m_share < before && m_share < m_options.leastShare) {
        m_share = 0;
    }
    if (m_share != before) {
        m_changedAt = now;
    }
}

std::vector<Pacer::Command> Pacer::update(std::span<const PacedTask> tasks, TimePoint now)
{
    m_pressure = 0;
    std::set<RunId> present;
    for (const PacedTask &task : tasks) {
        present.insert(task.run);
        if (task.tailTarget.count() > 0) {
            const double ratio = static_cast<double>(task.tailMs) / static_cast<double>(task.tailTarget.count());
            m_pressure = std::max(m_pressure, ratio);
        }
    }
    std::erase_if(m_applied, [&](const auto &entry) { return !present.contains(entry.first); });
    adjustShare(now);
    std::vector<Command> commands;
    for (const PacedTask &task : tasks) {
        if (!task.fillsLeftover) {
            continue;
        }
        const auto applied = m_applied.find(task.run);
        const std::uint32_t current = applied == m_applied.end() ? FullShare : applied->second;
        if (current != m_share) {
            m_applied[task.run] = m_share;
            commands.push_back({.run = task.run, .percent = m_share});
        }
    }
    return commands;
}

} // namespace Carobflow::Scheduling
