#include "carobflow/scheduler/filleradmission.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

/// Lower bound of the divisor, so that the fraction of an exhausted headroom stays finite.
constexpr double MinExpectedHeadroom = 0.1;

} // namespace

FillerAdmission::FillerAdmission(Options options)
    : m_options(options)
    , m_model(HeadroomModel::Options{})
{
}

void FillerAdmission::observe(std::string_view host,
                              std::vector<HeadroomModel::Service> services,
                              std::span<const HeadroomModel::Filler> fillers,
                              TimePoint now)
{
    m_model.observe(host, services, fillers, now);
    auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        found = m_hosts.emplace(std::string(host), HostState{}).first;
    }
    found->second.services = std::move(services);
    found->second.limitedImages.clear();
    for (const HeadroomModel::Filler &filler : fillers) {
        if (filler.share < m_options.minShare) {
            found->second.limitedImages.emplace(filler.image);
        }
    }
}

void FillerAdmission::onPlaced(std::string_view host, std::string_view image, double cores, TimePoint now)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return;
    }
    std::erase_if(found->second.recent,
                  [&](const RecentFiller &filler) { return now - filler.placedAt > m_options.measurementLag; });
    found->second.recent.push_back({.image = std::string(image), .cores = cores, .placedAt = now});
}

double
FillerAdmission::expectedHeadroom(const HostState &host, const HeadroomModel::Service &service, TimePoint now) const
{
    double headroom = HeadroomModel::headroom(service.tailTarget, service.tailMs);
    for (const RecentFiller &filler : host.recent) {
        if (now - filler.placedAt <= m_options.measurementLag) {
            headroom -= m_model.effect(service.image, filler.image) * filler.cores;
        }
    }
    return headroom;
}

std::optional<double>
FillerAdmission::expectedLoss(std::string_view host, std::string_view image, double cores, TimePoint now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return 0;
    }
    if (found->second.limitedImages.contains(image)) {
        return std::nullopt;
    }
    double worst = 0;
    for (const HeadroomModel::Service &service : found->second.services) {
        const double loss = m_model.effect(service.image, image) * cores;
        const double headroom = expectedHeadroom(found->second, service, now);
        if (loss > m_options.negligibleLoss && headroom - loss < m_options.minHeadroom) {
            return std::nullopt;
        }
        worst = std::max(worst, loss / std::max(MinExpectedHeadroom, headroom));
    }
    return worst;
}

} // namespace Carobflow::Scheduling
