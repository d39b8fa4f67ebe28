#include "carobflow/scheduler/fillerguide.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Hosts report no load of single services; their effect on the tail is learned as part of its base.
constexpr double AssumedLoad = 0.5;
/// Weight of a figure: that of a window with this many requests.
constexpr std::uint32_t AssumedRequests = 100;
constexpr double FullShare = 100;
/// A pressure that no host with fillers may have.
constexpr double HeldBack = 10;

} // namespace

FillerGuide::FillerGuide(Options options)
    : m_options(options)
    , m_model({.priorFactor = 1.3})
{
}

void FillerGuide::observe(std::string_view host,
                          std::vector<ServingTask> serving,
                          std::span<const std::string> fillerImages,
                          std::uint32_t share)
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        found = m_hosts.emplace(std::string(host), HostState{}).first;
    }
    HostState &state = found->second;
    state.share = fillerImages.empty() ? static_cast<std::uint32_t>(FullShare) : share;
    const std::vector<double> shares(fillerImages.size(), share / FullShare);
    for (const ServingTask &task : serving) {
        if (task.tailMs <= 0) {
            continue;
        }
        ServiceWindow window;
        window.service = task.image;
        window.completed = AssumedRequests;
        window.p99Milliseconds = static_cast<double>(task.tailMs);
        window.load = AssumedLoad;
        window.jobClasses = {fillerImages.begin(), fillerImages.end()};
        m_model.observe(window, shares);
    }
    state.serving = std::move(serving);
}

void FillerGuide::onPlaced(std::string_view host, std::string_view image, TimePoint now)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    std::erase_if(found->second.recent,
                  [&](const RecentFiller &filler) { return now - filler.placedAt > m_options.figureLag; });
    found->second.recent.push_back({.image = std::string(image), .placedAt = now});
}

double FillerGuide::pressureWith(std::string_view host, std::string_view image, TimePoint now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || found->second.serving.empty()) {
        return 0;
    }
    const HostState &state = found->second;
    if (state.share < m_options.leastShare) {
        return HeldBack;
    }
    double worst = 0;
    for (const ServingTask &task : state.serving) {
        if (task.tailTarget.count() <= 0) {
            continue;
        }
        double pressure = static_cast<double>(task.tailMs) / static_cast<double>(task.tailTarget.count())
            * m_model.predict(task.image, image, AssumedLoad).factor;
        for (const RecentFiller &filler : state.recent) {
            if (now - filler.placedAt <= m_options.figureLag) {
                pressure *= m_model.predict(task.image, filler.image, AssumedLoad).factor;
            }
        }
        worst = std::max(worst, pressure);
    }
    return worst;
}

} // namespace Carobflow::Scheduling
