#include "carobflow/scheduler/headroommodel.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Bounds of the headroom: tail latencies above five times the target, or below a sixth of it, are not distinguished.
constexpr double MinHeadroom = 0.2;
constexpr double MaxHeadroom = 6;
/// Changes of processor use below this, in cores, are within the measurement error.
constexpr double MinCoreChange = 0.2;

/// A service that has just started has no tail latency yet.
bool isMeasured(const HeadroomModel::Service &service)
{
    return service.tailMs > 0 && service.tailTarget.count() > 0;
}

} // namespace

double HeadroomModel::headroom(Milliseconds tailTarget, std::int64_t tailMs)
{
    if (tailMs <= 0) {
        return MaxHeadroom;
    }
    return std::clamp(static_cast<double>(tailTarget.count()) / static_cast<double>(tailMs), MinHeadroom, MaxHeadroom);
}

void HeadroomModel::observe(std::string_view host,
                            std::span<const Service> services,
                            std::span<const Filler> fillers,
                            TimePoint now)
{
    auto found = m_history.find(host);
    if (found == m_history.end()) {
        found = m_history.emplace(std::string(host), std::deque<Sample>()).first;
    }
    std::deque<Sample> &history = found->second;
    Sample sample{.at = now, .services = {}, .cores = {}};
    for (const Filler &filler : fillers) {
        sample.cores[filler.image] += filler.cores;
    }
    for (const Service &service : services) {
        if (isMeasured(service)) {
            sample.services.push_back({.run = service.run, .headroom = headroom(service.tailTarget, service.tailMs)});
        }
    }
    while (history.size() > 1 && now - history[1].at >= m_options.sampleSpacing) {
        history.pop_front();
    }
    const bool hasPredecessor = !history.empty() && now - history.front().at >= m_options.sampleSpacing
        && now - history.front().at < 2 * m_options.sampleSpacing;
    const CoreChanges changes = hasPredecessor ? changesBetween(history.front(), sample) : CoreChanges();
    if (!changes.empty()) {
        for (const Service &service : services) {
            const auto before = std::ranges::find(history.front().services, service.run, &ServiceHeadroom::run);
            if (isMeasured(service) && before != history.front().services.end()) {
                learn(service.image, changes, headroom(service.tailTarget, service.tailMs) - before->headroom);
            }
        }
    }
    history.push_back(std::move(sample));
}

HeadroomModel::CoreChanges HeadroomModel::changesBetween(const Sample &before, const Sample &after)
{
    CoreChanges changes;
    for (const auto &[filler, cores] : after.cores) {
        changes[filler] += cores;
    }
    for (const auto &[filler, cores] : before.cores) {
        changes[filler] -= cores;
    }
    std::erase_if(changes, [](const auto &entry) { return std::abs(entry.second) < MinCoreChange; });
    return changes;
}

void HeadroomModel::learn(std::string_view image, const CoreChanges &changes, double headroomChange)
{
    auto found = m_services.find(image);
    if (found == m_services.end()) {
        if (m_services.size() >= m_options.maxImages) {
            m_services.erase(m_services.begin());
        }
        found = m_services.emplace(std::string(image), ServiceState{}).first;
    }
    ServiceState &state = found->second;
    if (state.parameters.size() >= m_options.maxImages) {
        state = {};
    }
    RecursiveRegression::Features features;
    for (const auto &[filler, cores] : changes) {
        auto parameter = state.parameters.find(filler);
        if (parameter == state.parameters.end()) {
            const std::size_t index = state.regression.addParameter(
                m_options.priorEffect, m_options.priorDeviation * m_options.priorDeviation);
            parameter = state.parameters.emplace(std::string(filler), index).first;
        }
        features.emplace_back(parameter->second, cores);
    }
    state.regression.observe(features, -headroomChange, m_options.noiseVariance, m_options.drift);
}

double HeadroomModel::effect(std::string_view service, std::string_view filler) const
{
    const auto state = m_services.find(service);
    if (state == m_services.end()) {
        return m_options.priorEffect;
    }
    const auto parameter = state->second.parameters.find(filler);
    if (parameter == state->second.parameters.end()) {
        return m_options.priorEffect;
    }
    return std::max(0.0, state->second.regression.mean(parameter->second));
}

} // namespace Carobflow::Scheduling
