#pragma once

#include "carobflow/core/internal/upstreamhealth.h"
#include "carobflow/core/routing.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Carobflow
{

/// The current announcements of all agents, from which routing snapshots are built. Not safe for concurrent use.
class AnnouncementTable
{
public:
    struct Member {
        std::shared_ptr<const Upstream> upstream;
        bool leaving = false;
    };

    using Members = std::map<std::string, Member, std::less<>>;

    AnnouncementTable(Milliseconds timeout, UpstreamHealth::Options healthOptions);

    /// Applies an announcement and returns the services whose members changed. An announcement that is older than the
    /// latest one of the same host is ignored.
    std::set<std::string> apply(TimePoint now, const Announcement &announcement);

    /// Removes hosts whose announcements have timed out and returns the services whose members changed.
    std::set<std::string> expire(TimePoint now);

    /// Members of each service by host.
    [[nodiscard]] const std::map<std::string, Members, std::less<>> &services() const;

private:
    struct Host {
        std::uint64_t bootId = 0;
        std::uint64_t sequence = 0;
        /// Boot ids of earlier processes of the agent, whose announcements may still arrive.
        std::deque<std::uint64_t> earlierBootIds;
        TimePoint announcedAt;
        bool listed = false;
    };

    /// False for an announcement that is older than the latest one of the host. Records the former boot id when the
    /// agent has restarted.
    bool isNewer(Host &host, const Announcement &announcement);

    const Milliseconds m_timeout;
    const UpstreamHealth::Options m_healthOptions;
    std::map<std::string, Host, std::less<>> m_hosts;
    std::map<std::string, Members, std::less<>> m_services;
};

} // namespace Carobflow
