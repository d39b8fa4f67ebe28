#pragma once

#include "carobflow/scheduler/scheduler.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carobflow::Scheduling
{

/// A scheduler with a store that never fails and hosts whose reports the test provides.
class SchedulerFixture
{
public:
    SchedulerFixture();

    /// A job of one step in the queue "quick".
    static JobSpec quickJob(const std::string &id, std::uint32_t tasks = 1);

    /// The report of a host with nothing running.
    [[nodiscard]] HostReport reportOf(const std::string &host) const;

    /// Plans, commits all dirty jobs, and returns the start orders that are sent.
    std::vector<StartOrder> step(Milliseconds later = Milliseconds(0));

    /// Stop orders since the last call.
    std::vector<StopOrder> stops()
    {
        return scheduler->takeStops();
    }

    void advance(Milliseconds time)
    {
        now += time;
    }

    /// Reports the end of a run from its host.
    void end(const StartOrder &start, RunEnd how, std::uint64_t number);

    /// Sends a report of each host that lists the given runs as running.
    void reportAll(const std::vector<StartOrder> &running = {});

    Epoch epoch = 7;
    std::unique_ptr<Scheduler> scheduler;
    std::shared_ptr<OperatorView> view = std::make_shared<OperatorView>();
    std::vector<std::string> hostNames{"host-1", "host-2", "host-3"};
    TimePoint now{Seconds(1000)};
    std::int64_t unixMs = 1'700'000'000'000;
};

} // namespace Carobflow::Scheduling
