#include "carobflow/scheduler/pacer.h"

#include <algorithm>
#include <set>

namespace Carobflow::Scheduling
{
namespace
{

constexpr double FullShare = 100;
/// Below this share, the processor use of fillers does not allow a reliable estimate of their use without a limit.
constexpr double MinShareForEstimate = 10;
/// Images that cause less than this fraction of a service's total loss of headroom are not cut for it.
constexpr double MinLossFraction = 0.15;

double pressureOf(const PacedTask &service)
{
    return static_cast<double>(service.load) / static_cast<double>(service.tailTarget.count());
}

bool serves(const PacedTask &task)
{
    return task.tailTarget.count() > 0;
}

} // namespace

std::uint32_t Pacer::share(std::string_view image) const
{
    const auto found = m_images.find(image);
    return static_cast<std::uint32_t>(found == m_images.end() ? FullShare : found->second.share);
}

std::string Pacer::describeShares() const
{
    std::string text;
    for (const auto &[name, image] : m_images) {
        text += (text.empty() ? "" : ",") + name + ":" + std::to_string(static_cast<std::uint32_t>(image.share));
    }
    return text;
}

double Pacer::headroomLoss(const PacedTask &service, std::string_view filler, double cores) const
{
    const auto known = m_effects.find({service.image, std::string(filler)});
    return (known == m_effects.end() ? HeadroomModel::Options{}.priorEffect : known->second) * cores;
}

void Pacer::addCutFactors(const PacedTask &service, std::map<std::string, double, std::less<>> &factors) const
{
    double totalLoss = 0;
    for (const auto &[name, image] : m_images) {
        totalLoss += headroomLoss(service, name, image.cores);
    }
    if (totalLoss <= m_options.negligibleLoss) {
        return;
    }
    const double headroom = HeadroomModel::headroom(service.tailTarget, service.load);
    const double missing = 1 / m_options.cutGoal - headroom;
    const double maxFactor = pressureOf(service) > 1 ? m_options.maxCutFactorOverTarget : m_options.maxCutFactor;
    const double factor = std::clamp(1 - missing / totalLoss, m_options.minCutFactor, maxFactor);
    for (const auto &[name, image] : m_images) {
        if (headroomLoss(service, name, image.cores) >= MinLossFraction * totalLoss) {
            const auto known = factors.find(name);
            factors[name] = known == factors.end() ? factor : std::min(known->second, factor);
        }
    }
}

bool Pacer::mayRaise(std::string_view filler, const Image &image, std::span<const PacedTask> tasks) const
{
    return std::ranges::all_of(tasks, [&](const PacedTask &task) {
        return !serves(task) || pressureOf(task) < m_options.raiseBelow
            || headroomLoss(task, filler, image.unlimitedCores) <= m_options.negligibleLoss;
    });
}

void Pacer::adjustShares(std::span<const PacedTask> tasks, TimePoint now)
{
    if (m_pressure <= 1) {
        m_overSince = {};
    } else if (m_overSince == TimePoint{}) {
        m_overSince = now;
    }
    if (now - m_changedAt < m_options.interval) {
        return;
    }
    const bool cutsAll = m_overSince != TimePoint{} && now - m_overSince >= m_options.maxTimeOverTarget;
    std::map<std::string, double, std::less<>> factors;
    for (const PacedTask &task : tasks) {
        if (serves(task) && pressureOf(task) > m_options.cutAbove) {
            addCutFactors(task, factors);
        }
    }
    for (auto &[name, image] : m_images) {
        const double before = image.share;
        const auto factor = factors.find(name);
        if (cutsAll) {
            image.share *= factor == factors.end() ? m_options.cutAllFactor
                                                   : std::min(factor->second, m_options.cutAllFactor);
        } else if (factor != factors.end()) {
            image.share *= factor->second;
        } else if (mayRaise(name, image, tasks)) {
            const bool harmless = m_pressure >= m_options.raiseBelow;
            image.share = std::min(FullShare,
                                   image.share + (harmless ? m_options.harmlessRaiseStep : m_options.raiseStep));
        }
        if (image.share < before && image.share < m_options.minShare) {
            image.share = 0;
        }
        if (image.share != before) {
            m_changedAt = now;
        }
    }
}

std::vector<Pacer::Command> Pacer::update(std::span<const PacedTask> tasks, TimePoint now)
{
    m_pressure = 0;
    std::set<RunId> present;
    std::map<std::string, double, std::less<>> cores;
    for (const PacedTask &task : tasks) {
        present.insert(task.run);
        if (serves(task)) {
            m_pressure = std::max(m_pressure, pressureOf(task));
        } else if (task.fillsLeftover) {
            cores[task.image] += coresOf(task.load);
        }
    }
    std::erase_if(m_applied, [&](const auto &entry) { return !present.contains(entry.first); });
    std::erase_if(m_images, [&](const auto &entry) { return !cores.contains(entry.first); });
    for (const auto &[name, used] : cores) {
        Image &image = m_images[name];
        image.cores = used;
        if (image.share >= MinShareForEstimate) {
            image.unlimitedCores = used * FullShare / image.share;
        }
    }
    adjustShares(tasks, now);
    std::vector<Command> commands;
    for (const PacedTask &task : tasks) {
        if (!task.fillsLeftover) {
            continue;
        }
        const std::uint32_t wanted = share(task.image);
        const auto applied = m_applied.find(task.run);
        const std::uint32_t current = applied == m_applied.end() ? static_cast<std::uint32_t>(FullShare)
                                                                 : applied->second;
        if (current != wanted) {
            m_applied[task.run] = wanted;
            commands.push_back({.run = task.run, .percent = wanted});
        }
    }
    return commands;
}

} // namespace Carobflow::Scheduling
