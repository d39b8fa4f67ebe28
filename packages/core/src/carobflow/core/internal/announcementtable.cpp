#include "carobflow/core/internal/announcementtable.h"

#include <algorithm>

namespace Carobflow
{

namespace
{

constexpr std::size_t MaxEarlierBootIds = 4;
/// The state of a host that timed out is kept for this multiple of the timeout, so that a delayed announcement from
/// before its departure does not list the host again.
constexpr int RetentionFactor = 30;

bool isSame(const Upstream &upstream, const Announcement &announcement, const Announcement::Service &service)
{
    return upstream.dataCentre == announcement.dataCentre && upstream.agentAddress == announcement.agentAddress
        && upstream.slots == service.slots;
}

} // namespace

AnnouncementTable::AnnouncementTable(Milliseconds timeout, UpstreamHealth::Options healthOptions)
    : m_timeout(timeout)
    , m_healthOptions(healthOptions)
{
}

bool AnnouncementTable::isNewer(Host &host, const Announcement &announcement)
{
    if (announcement.bootId == host.bootId) {
        return announcement.sequence > host.sequence;
    }
    if (std::ranges::find(host.earlierBootIds, announcement.bootId) != host.earlierBootIds.end()) {
        return false;
    }
    host.earlierBootIds.push_back(host.bootId);
    if (host.earlierBootIds.size() > MaxEarlierBootIds) {
        host.earlierBootIds.pop_front();
    }
    return true;
}

std::set<std::string> AnnouncementTable::apply(TimePoint now, const Announcement &announcement)
{
    const auto [position, isNew] = m_hosts.try_emplace(announcement.host);
    Host &host = position->second;
    if (!isNew && !isNewer(host, announcement)) {
        return {};
    }
    const bool restarted = !isNew && host.bootId != announcement.bootId;
    host.bootId = announcement.bootId;
    host.sequence = announcement.sequence;
    host.announcedAt = now;
    host.listed = true;

    std::set<std::string> changed;
    for (auto &[name, members] : m_services) {
        const bool announced = std::ranges::find(announcement.services, name, &Announcement::Service::name)
            != announcement.services.end();
        if (!announced && members.erase(announcement.host) > 0) {
            changed.insert(name);
        }
    }
    for (const auto &service : announcement.services) {
        Member &member = m_services[service.name][announcement.host];
        auto health = member.upstream ? member.upstream->health : std::make_shared<UpstreamHealth>(m_healthOptions);
        health->onAnnounced(now);
        if (restarted) {
            health->onRestart(now);
        }
        if (member.upstream && member.leaving == service.leaving && isSame(*member.upstream, announcement, service)) {
            continue;
        }
        member.leaving = service.leaving;
        member.upstream = std::make_shared<Upstream>(Upstream{.host = announcement.host,
                                                              .dataCentre = announcement.dataCentre,
                                                              .agentAddress = announcement.agentAddress,
                                                              .service = service.name,
                                                              .slots = service.slots,
                                                              .health = std::move(health)});
        changed.insert(service.name);
    }
    return changed;
}

std::set<std::string> AnnouncementTable::expire(TimePoint now)
{
    std::set<std::string> changed;
    for (auto host = m_hosts.begin(); host != m_hosts.end();) {
        const Duration age = now - host->second.announcedAt;
        if (host->second.listed && age > m_timeout) {
            host->second.listed = false;
            for (auto &[name, members] : m_services) {
                if (members.erase(host->first) > 0) {
                    changed.insert(name);
                }
            }
        }
        host = age > RetentionFactor * m_timeout ? m_hosts.erase(host) : std::next(host);
    }
    std::erase_if(m_services, [](const auto &service) { return service.second.empty(); });
    return changed;
}

const std::map<std::string, AnnouncementTable::Members, std::less<>> &AnnouncementTable::services() const
{
    return m_services;
}

} // namespace Carobflow
