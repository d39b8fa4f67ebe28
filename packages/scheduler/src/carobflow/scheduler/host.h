#pragma once

#include "carobflow/scheduler/workload.h"

#include <optional>
#include <string>
#include <vector>

namespace Carobflow::Scheduling
{

/// What an agent reports about its host.
struct HostReport {
    std::string host;
    /// Where the agent takes orders.
    std::string address;
    std::string dataCentre;
    /// Random for each start of the agent's process.
    std::uint64_t agentIncarnation = 0;
    /// The leader's epoch under which the upstream has confirmed its list of runs.
    Epoch fencedEpoch = 0;
    std::optional<UpstreamDescription> upstream;
    /// Time since the upstream's last answer.
    Milliseconds silence{0};
    /// The time after which no run of the upstream can hold a lease, if none is renewed.
    Milliseconds leaseLeft{0};
    /// Largest ratio of tail latency to its target among the tasks that serve.
    double tailPressure = 0;
    std::vector<RunningRun> running;
    /// Ends that the leader has not acknowledged.
    std::vector<EndedRun> ended;
};

/// A host as the leader knows it, with the room that attempts hold there.
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

    /// Records a report. Returns true when the upstream is another incarnation than before.
    bool apply(const HostReport &report, TimePoint now);

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

    void hold(const StepSpec &step);
    void free(const StepSpec &step);

    /// True when a task of the step fits beside what is here.
    [[nodiscard]] bool fits(const StepSpec &step) const;

    /// Processor time that is left over for fillers, less what those here ask for.
    [[nodiscard]] std::int64_t leftoverCpu() const;

    [[nodiscard]] std::int64_t freeMemory() const
    {
        return m_report.upstream ? m_report.upstream->capacity.memoryMiB - m_reserved.memoryMiB : 0;
    }

    /// Tasks of latency-critical services on this host.
    [[nodiscard]] std::uint32_t servingTasks() const
    {
        return m_serving;
    }

    [[nodiscard]] bool isLabelled(std::string_view label) const;

    /// Counts a run that failed here, for tasks of different jobs.
    void noteFailure(TimePoint now);
    void noteSuccess();
    void noteStall(TimePoint now);

    /// A task was placed here. A host that has been suspect gets one task at a time until one of them succeeds.
    void notePlaced(TimePoint now);

    /// True while placements avoid this host because runs fail or stall here.
    [[nodiscard]] bool isSuspect(TimePoint now) const
    {
        return now < m_suspectUntil;
    }

private:
    std::string m_name;
    HostReport m_report;
    bool m_reported = false;
    TimePoint m_reportedAt;
    Resources m_reserved;
    std::int64_t m_fillerCpu = 0;
    std::uint32_t m_serving = 0;
    /// Reserved by tasks that serve; part of m_reserved.
    std::int64_t m_servingCpu = 0;
    std::uint32_t m_failuresInARow = 0;
    TimePoint m_suspectUntil;
    /// It has been suspect, and no run has succeeded here since.
    bool m_onTrial = false;
};

} // namespace Carobflow::Scheduling
