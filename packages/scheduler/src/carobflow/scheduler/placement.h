#pragma once

#include "carobflow/scheduler/filleradmission.h"
#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/hostspeed.h"
#include "carobflow/scheduler/job.h"
#include "carobflow/scheduler/operatorview.h"
#include "carobflow/scheduler/refusals.h"
#include "carobflow/scheduler/unplaceableshapes.h"

#include <optional>
#include <span>

namespace Carobflow::Scheduling
{

/// Chooses the host for each task of one plan. The order in which tasks are placed is the concern of JobOrder.
///
/// Services are packed onto few hosts, together with short tasks, so that other hosts are free for fillers. Fillers are
/// placed where most processor time is left over, and never where there is less than they request: fillers that compete
/// for the same processor time all finish late.
class Placement
{
public:
    struct Options {
        /// Memory in MiB that fillers leave free on each host for tasks whose clients wait; enough for about four of
        /// the largest quick tasks of both deployments.
        std::int64_t fillerMemoryReserve = 8000;
        /// Allows a filler on a host where a service is left with too little headroom, and chooses the host with the
        /// least expected loss. The pacer then keeps the service below its target.
        bool allowsInterference = false;
        /// Groups services by image, so that each host has services of few images. A filler slows down the services of
        /// some images only, and is placed where it disturbs none.
        bool groupsServices = false;
        /// Prefers hosts that are not slow; null when speeds are not considered.
        const HostSpeed *hostSpeed = nullptr;
    };

    Placement(Options options,
              const OperatorView &view,
              const FillerAdmission &fillerAdmission,
              std::span<Host *const> hosts)
        : m_options(options)
        , m_view(view)
        , m_fillerAdmission(fillerAdmission)
        , m_hosts(hosts)
    {
    }

    [[nodiscard]] bool allowsInterference() const
    {
        return m_options.allowsInterference;
    }

    /// Chooses the host for one more run of the task. Returns null when no host can take it now.
    [[nodiscard]] Host *choose(const Job &job, const TaskId &id, TimePoint now);

    /// True when the host could take a run of the task if it had enough free resources.
    [[nodiscard]] bool isSuitable(const Host &host, const Job &job, const TaskId &id, TimePoint now) const;

    [[nodiscard]] const Options &options() const
    {
        return m_options;
    }

    /// Resources of hosts have been given back since the last choice.
    void onReleased()
    {
        m_unplaceable.clear();
    }

    /// How many hosts were compared for all choices so far.
    [[nodiscard]] std::size_t comparisons() const
    {
        return m_comparisons;
    }

    /// Refusals of the hosts compared in the choices that found none, of fillers and of other tasks.
    [[nodiscard]] const Refusals &fillerRefusals() const
    {
        return m_fillerRefusals;
    }

    [[nodiscard]] const Refusals &otherRefusals() const
    {
        return m_otherRefusals;
    }

private:
    /// False when most hosts are suspect, since the cause then lies in the tasks. Otherwise suspect hosts are avoided,
    /// because waiting for another host is better than a failed run, which counts as an attempt.
    [[nodiscard]] bool avoidsSuspects(TimePoint now) const;
    /// Empty when the host can take the task, but for what fillers cost its services.
    [[nodiscard]] std::optional<Refusal> refusalOf(const Host &host, const Job &job, const TaskId &id) const;
    /// The part of refusalOf() that does not depend on free resources.
    [[nodiscard]] bool isAllowed(const Host &host, const Job &job, const TaskId &id) const;
    /// Rates the host for the task; the highest score wins. `fillerLoss` is the fraction of a service's headroom that
    /// the task would take.
    [[nodiscard]] double
    score(const Host &host, const Job &job, const TaskId &id, double fillerLoss, TimePoint now) const;

    Options m_options;
    const OperatorView &m_view;
    const FillerAdmission &m_fillerAdmission;
    std::span<Host *const> m_hosts;
    UnplaceableShapes m_unplaceable;
    std::size_t m_comparisons = 0;
    Refusals m_fillerRefusals;
    Refusals m_otherRefusals;
};

} // namespace Carobflow::Scheduling
