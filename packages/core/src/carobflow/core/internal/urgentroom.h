#pragma once

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/internal/ledgerrecord.h"
#include "carobflow/core/shardstate.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// Chooses the normal tasks that are evicted for urgent jobs, and keeps the room for them until they start.
class UrgentRoom
{
public:
    struct Inputs {
        TimePoint now;
        std::int64_t unixSeconds = 0;
        const ShardState &state;
        /// Hosts that may get a task, with what is reserved there.
        std::span<const SchedulableHost> hosts;
        /// True when a task may be evicted in this batch.
        std::function<bool(std::string_view job)> mayEvict;
    };

    void reset();

    /// Forgets jobs that wait no more, and hosts whose tasks did not stop in time.
    void update(TimePoint now, const ShardState &state);

    /// True when the host has room that is kept for an urgent job.
    [[nodiscard]] bool isKept(std::string_view host) const;

    /// The evictions that make room for a job, at most `limit`; none when room is already being made or when no host
    /// can be cleared. The host with the fewest evictions is chosen, and on it the jobs with the most slack.
    std::vector<TaskStopRequested> makeRoom(const Inputs &inputs, const WaitingJob &waiting, std::size_t limit);

private:
    struct Kept {
        std::string host;
        TimePoint until;
    };

    struct Plan {
        std::vector<const JobRecord *> evicted;
        /// Least slack of the evicted jobs.
        std::int64_t slackSeconds = 0;
        bool sufficient = false;
    };

    static Plan planFor(const Inputs &inputs, const SchedulableHost &host, const Resources &needed);

    std::map<std::string, Kept, std::less<>> m_kept;
};

} // namespace Carobflow
