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

/// What agents announced, as the writers of the routing snapshot see it. Not safe for concurrent use.
class AnnouncementTable
{
public:
    struct Member {
        std::shared_ptr<const Upstream> upstream;
        bool leaving = false;
    };

    using Members = std::map<std::string, Member, std::less<>>;

    AnnouncementTable(Milliseconds timeout, UpstreamHealth::Options healthOptions);

    /// Takes an announcement and returns the services whose members changed. An announcement that is older than one
    /// already taken from the same host changes nothing.
    std::set<std::string> take(TimePoint now, const Announcement &announcement);

    /// Removes hosts whose announcements have timed out and returns the services whose members changed.
    std::set<std::string> expire(TimePoint now);

    /// Members of each service by host.
    [[nodiscard]] const std::map<std::string, Members, std::less<>> &services() const;

private:
    struct Host {
        std::uint64_t bootId = 0;
        std::uint64_t sequence = 0;
        /// Earlier boots of the agent; what they sent may still arrive.
        std::deque<std::uint64_t> earlierBoots;
        TimePoint announcedAt;
        bool listed = false;
    };

    bool isNewer(Host &host, const Announcement &announcement);

    const Milliseconds m_timeout;
    const UpstreamHealth::Options m_healthOptions;
    std::map<std::string, Host, std::less<>> m_hosts;
    std::map<std::string, Members, std::less<>> m_services;
};

} // namespace Carobflow
