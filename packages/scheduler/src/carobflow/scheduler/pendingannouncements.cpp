#include "carobflow/scheduler/pendingannouncements.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobflow::Scheduling
{

void PendingAnnouncements::add(UpstreamAnnouncement announcement, TimePoint now)
{
    const auto known = std::ranges::find(m_entries, announcement.upstream.identity, [](const Entry &entry) {
        return entry.announcement.upstream.identity;
    });
    if (known != m_entries.end()) {
        if (announcement.sequence >= known->announcement.sequence) {
            known->announcement = std::move(announcement);
        }
        known->addedAt = now;
        return;
    }
    if (m_entries.size() == m_options.limit) {
        m_entries.erase(std::ranges::min_element(m_entries, {}, &Entry::addedAt));
    }
    m_entries.push_back({.announcement = std::move(announcement), .addedAt = now});
}

std::optional<UpstreamAnnouncement> PendingAnnouncements::next(TimePoint now)
{
    std::erase_if(m_entries, [&](const Entry &entry) { return now - entry.addedAt > m_options.retention; });
    if (m_entries.empty()) {
        return std::nullopt;
    }
    std::rotate(m_entries.begin(), std::next(m_entries.begin()), m_entries.end());
    return m_entries.back().announcement;
}

std::optional<UpstreamAnnouncement> PendingAnnouncements::take(const UpstreamIdentity &identity)
{
    const auto known = std::ranges::find(
        m_entries, identity, [](const Entry &entry) { return entry.announcement.upstream.identity; });
    if (known == m_entries.end()) {
        return std::nullopt;
    }
    UpstreamAnnouncement announcement = std::move(known->announcement);
    m_entries.erase(known);
    return announcement;
}

} // namespace Carobflow::Scheduling
