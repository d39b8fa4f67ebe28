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

/// Chooses the tasks of normal jobs to evict for urgent jobs, and reserves the freed capacity until the urgent jobs are
/// assigned.
class PreemptionPlanner
{
public:
    struct Inputs {
        TimePoint now;
        std::int64_t unixSeconds = 0;
        const ShardState &state;
        /// Hosts that may be assigned tasks, with their reserved resources.
        std::span<const SchedulableHost> hosts;
        /// True when the job's task may be evicted in this batch.
        std::function<bool(std::string_view job)> mayEvict;
    };

    void reset();

    /// Drops reservations of jobs that are no longer pending, and of hosts whose tasks did not stop in time.
    void update(TimePoint now, const ShardState &state);

    /// True when capacity of the host is reserved for an urgent job.
    [[nodiscard]] bool isReserved(std::string_view host) const;

    /// Returns the evictions that make room for a job, at most `limit`; none when the job already has a reservation or
    /// no host can hold it within the limit. Chooses the host that needs the fewest evictions, and on it the jobs with
    /// the most slack.
    std::vector<TaskStopRequested> planPreemption(const Inputs &inputs, const WaitingJob &waiting, std::size_t limit);

private:
    struct Reservation {
        std::string host;
        TimePoint until;
    };

    struct Plan {
        std::vector<const JobRecord *> evicted;
        /// Smallest slack among the evicted jobs.
        std::int64_t slackSeconds = 0;
        bool sufficient = false;
    };

    static Plan planOnHost(const Inputs &inputs, const SchedulableHost &host, const Resources &needed);

    std::map<std::string, Reservation, std::less<>> m_reservations;
};

} // namespace Carobflow
