#pragma once

#include "carobflow/scheduler/fillerguide.h"
#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/job.h"
#include "carobflow/scheduler/operatorview.h"

#include <span>

namespace Carobflow::Scheduling
{

/// Chooses the host for a task. Answers the question "where", not "which task next".
///
/// Services are packed onto few hosts, together with short work, so that fillers find hosts where they disturb nobody.
/// Fillers go where most processor time is left over, and never where there is less than they ask for: two fillers
/// that share one share of a processor both finish late.
class Placement
{
public:
    struct Options {
        /// Memory in MiB that fillers leave free on each host for tasks that serve waiting clients; about four of the
        /// largest quick tasks of both sites.
        std::int64_t fillerMemoryReserve = 8000;
        /// Takes the host where a filler does least harm, although it leaves a service too little headroom; pacing then
        /// keeps the service below its target.
        bool acceptsLoss = false;
    };

    Placement(Options options, const OperatorView &view, const FillerGuide &guide, std::span<Host *const> hosts)
        : m_options(options)
        , m_view(view)
        , m_guide(guide)
        , m_hosts(hosts)
    {
    }

    [[nodiscard]] bool acceptsLoss() const
    {
        return m_options.acceptsLoss;
    }

    /// The host for one more run of the task, or null when none can take it now.
    [[nodiscard]] Host *choose(const Job &job, const TaskId &id, TimePoint now) const;

private:
    /// Waiting for room elsewhere is better than a run that fails and counts as an attempt; but where most hosts are
    /// suspect, the cause lies in the tasks.
    [[nodiscard]] bool avoidsSuspects(TimePoint now) const;
    [[nodiscard]] bool isEligible(const Host &host, const Job &job, const TaskId &id) const;
    /// How good the host is for the task; `fillerLoss` is the part of a service's headroom that it would take.
    [[nodiscard]] double
    score(const Host &host, const Job &job, const TaskId &id, double fillerLoss, TimePoint now) const;

    Options m_options;
    const OperatorView &m_view;
    const FillerGuide &m_guide;
    std::span<Host *const> m_hosts;
};

} // namespace Carobflow::Scheduling
