#pragma once

#include "carobflow/scheduler/workload.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// The report of an agent on its host.
struct HostReport {
    std::string host;
    /// Address at which the agent accepts orders.
    std::string address;
    std::string dataCentre;
    /// A random number that each start of the agent's process draws.
    std::uint64_t agentIncarnation = 0;
    /// The epoch of the leader under which the upstream has confirmed its list of runs.
    Epoch fencedEpoch = 0;
    std::optional<UpstreamDescription> upstream;
    /// Time since the last answer of the upstream.
    Milliseconds silence{0};
    /// Time until every lease of the upstream's runs has expired if none is renewed.
    Milliseconds leaseLeft{0};
    /// Time until the leases have expired that calls for former incarnations may have given the upstream. Positive
    /// after a restart of the upstream under its id.
    Milliseconds formerLeaseLeft{0};
    /// Largest ratio of tail latency to its target among the tasks that serve requests.
    double tailPressure = 0;
    std::vector<RunningRun> running;
    /// Ends that the leader has not acknowledged yet.
    std::vector<EndedRun> ended;
    /// The upstream may have further ended runs, which it lists once these are acknowledged. Until then a run that is
    /// not listed may have ended.
    bool moreEnds = false;
};

/// A host as the leader knows it, with the resources that attempts reserve there.
class Host
{
public:
    explicit Host(std::string name)
        : m_name(std::move(name))
    {
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

    /// Records a report. Returns true when the upstream has been replaced by another incarnation.
    bool apply(const HostReport &report, TimePoint now);

    /// The latest report without its lists of runs, which the scheduler applies to its attempts.
    [[nodiscard]] const HostReport &report() const
    {
        return m_report;
    }

    [[nodiscard]] const UpstreamDescription *upstream() const
    {
        return m_report.upstream ? &*m_report.upstream : nullptr;
    }

    [[nodiscard]] TimePoint reportedAt() const
    {
        return m_reportedAt;
    }

    [[nodiscard]] bool hasReported() const
    {
        return m_reported;
    }

    [[nodiscard]] std::string_view rack() const
    {
        return m_report.upstream ? std::string_view(m_report.upstream->rack) : std::string_view();
    }

    void reserve(const StepSpec &step);
    void release(const StepSpec &step);

    /// Notes a start that the upstream has not survived yet, and that it has survived it or that the run is given up.
    void addRecentStart(std::string_view job, bool suspected);
    void removeRecentStart(std::string_view job, bool suspected);

    /// False when the start could not be told from that of another job if the upstream crashes, and one of the two is
    /// suspected to crash it.
    [[nodiscard]] bool admitsStart(std::string_view job, bool suspected) const;

    /// True when the start of a suspected task here has not been survived yet.
    [[nodiscard]] bool hasSuspectedStart() const;

    /// True when a task of the step fits into the resources that are not reserved.
    [[nodiscard]] bool fits(const StepSpec &step) const;

    /// True when an upstream has shrunk below what is reserved on it.
    [[nodiscard]] bool isOvercommitted() const
    {
        return m_report.upstream && !m_reserved.fitsIn(m_report.upstream->capacity);
    }

    /// Processor time, in thousandths of a core, that is available to further fillers: what is neither reserved nor
    /// requested by the fillers on the host, and the expected idle part of the reservations of services.
    [[nodiscard]] std::int64_t leftoverCpu() const;

    [[nodiscard]] std::int64_t freeMemory() const
    {
        return free().memoryMiB;
    }

    /// Resources that no run reserves; negative on an upstream that has shrunk.
    [[nodiscard]] Resources free() const;

    /// Number of tasks of latency-critical services on this host.
    [[nodiscard]] std::uint32_t servingTasks() const
    {
        return m_servingTasks;
    }

    /// Number of these tasks that run this image, and number of other images among them.
    [[nodiscard]] std::uint32_t servingTasks(std::string_view image) const;
    [[nodiscard]] std::size_t otherServingImages(std::string_view image) const;

    [[nodiscard]] bool hasLabel(std::string_view label) const;

    /// Records a failed run. Callers leave out repeated failures of the same task or job, so that a job that fails
    /// everywhere does not make its hosts suspect.
    void recordFailure(TimePoint now);
    void recordSuccess();
    void recordStall(TimePoint now);

    /// Records that a task was placed here. A host on probation gets one task at a time until one of them succeeds.
    void recordPlacement(TimePoint now);

    /// True while placements avoid this host because runs have failed or stalled here.
    [[nodiscard]] bool isSuspect(TimePoint now) const
    {
        return now < m_suspectUntil;
    }

private:
    struct RecentStarts {
        std::uint32_t count = 0;
        std::uint32_t suspected = 0;
    };

    std::string m_name;
    HostReport m_report;
    /// Starts that the upstream has not survived yet, by job.
    std::map<std::string, RecentStarts, std::less<>> m_recentStarts;
    bool m_reported = false;
    TimePoint m_reportedAt;
    Resources m_reserved;
    std::int64_t m_fillerCpu = 0;
    std::uint32_t m_servingTasks = 0;
    std::map<std::string, std::uint32_t, std::less<>> m_servingImages;
    /// Processor time reserved by tasks that serve requests; included in m_reserved.
    std::int64_t m_servingCpu = 0;
    std::uint32_t m_consecutiveFailures = 0;
    TimePoint m_suspectUntil;
    /// The host has been suspect, and no run has succeeded here since.
    bool m_onProbation = false;
};

} // namespace Carobflow::Scheduling
