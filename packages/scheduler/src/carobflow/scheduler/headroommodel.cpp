#include "carobflow/scheduler/headroommodel.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// A tail of five times its target is as bad as a longer one, and one of a sixth of it as good as a shorter one.
constexpr double LeastHeadroom = 0.2;
constexpr double MostHeadroom = 6;
/// Changes of use below this, in cores, are within the roughness of the figures.
constexpr double LeastChange = 0.2;

} // namespace

double HeadroomModel::headroom(Milliseconds tailTarget, std::int64_t tailMs)
{
    if (tailMs <= 0) {
        return MostHeadroom;
    }
    return std::clamp(
        static_cast<double>(tailTarget.count()) / static_cast<double>(tailMs), LeastHeadroom, MostHeadroom);
}

void HeadroomModel::observe(std::string_view host,
                            std::span<const Service> services,
                            std::span<const Filler> fillers,
                            TimePoint now)
{
    auto found = m_history.find(host);
    if (found == m_history.end()) {
        found = m_history.emplace(std::string(host), std::deque<Figures>()).first;
    }
    std::deque<Figures> &history = found->second;
    Figures figures{.at = now, .headroom = {}, .cores = {}};
    for (const Filler &filler : fillers) {
        figures.cores[filler.image] += filler.cores;
    }
    for (const Service &service : services) {
        // A service that has just started has no tail yet.
        if (service.tailMs > 0 && service.tailTarget.count() > 0) {
            figures.headroom.emplace(service.run, headroom(service.tailTarget, service.tailMs));
        }
    }
    while (history.size() > 1 && now - history[1].at >= m_options.span) {
        history.pop_front();
    }
    const bool hasPredecessor = !history.empty() && now - history.front().at >= m_options.span
        && now - history.front().at < 2 * m_options.span;
    if (hasPredecessor) {
        for (const Service &service : services) {
            const auto before = history.front().headroom.find(service.run);
            const auto after = figures.headroom.find(service.run);
            if (before != history.front().headroom.end() && after != figures.headroom.end()) {
                learn(service.image, history.front(), figures, after->second - before->second);
            }
        }
    }
    history.push_back(std::move(figures));
}

void HeadroomModel::learn(std::string_view image, const Figures &before, const Figures &after, double change)
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
    std::map<std::string_view, double> changes;
    for (const auto &[filler, cores] : after.cores) {
        changes[filler] += cores;
    }
    for (const auto &[filler, cores] : before.cores) {
        changes[filler] -= cores;
    }
    RecursiveRegression::Features features;
    for (const auto &[filler, cores] : changes) {
        if (std::abs(cores) < LeastChange) {
            continue;
        }
        auto parameter = state.parameters.find(filler);
        if (parameter == state.parameters.end()) {
            const std::size_t index = state.regression.addParameter(
                m_options.priorEffect, m_options.priorDeviation * m_options.priorDeviation);
            parameter = state.parameters.emplace(std::string(filler), index).first;
        }
        features.emplace_back(parameter->second, cores);
    }
    if (!features.empty()) {
        state.regression.observe(features, -change, m_options.noiseVariance, m_options.drift);
    }
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
