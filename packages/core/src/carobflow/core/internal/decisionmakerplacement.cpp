// The steps of DecisionMaker that place jobs on hosts.
#include "carobflow/core/internal/decisionmaker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobflow
{

std::vector<SchedulableHost> DecisionMaker::assignableHosts(const Batch &batch) const
{
    std::map<std::string_view, SchedulableHost> byName;
    for (const auto &[name, entry] : batch.hosts.hosts()) {
        if (batch.hosts.isAssignable(batch.now, entry) && m_sheet.isInService(entry.info.dataCentre)) {
            byName.emplace(name,
                           SchedulableHost{
                               .info = entry.info, .reserved = {}, .tasks = 0, .onTrial = batch.state.isOnTrial(name)});
        }
    }
    for (const std::string &id : batch.state.active()) {
        const JobRecord &job = *batch.state.find(id);
        const auto host = byName.find(job.host);
        if (host == byName.end()) {
            continue;
        }
        const HostEntry &entry = *batch.hosts.find(job.host);
        const auto task = entry.tasks.find(TaskRef{.job = id, .fence = job.fence});
        host->second.reserved += task == entry.tasks.end() ? job.spec.declared
                                                           : maxOf(job.spec.declared, task->second.usage);
        ++host->second.tasks;
    }
    std::vector<SchedulableHost> hosts;
    hosts.reserve(byName.size());
    for (auto &[name, host] : byName) {
        hosts.push_back(std::move(host));
    }
    return hosts;
}

std::vector<std::string>
DecisionMaker::avoidedHosts(const Batch &batch, const JobRecord &job, const std::vector<SchedulableHost> &hosts) const
{
    std::vector<std::string> avoided;
    const bool hasOther = std::ranges::any_of(hosts, [&job](const SchedulableHost &host) {
        return job.spec.declared.fitsIn(host.info.capacity) && !job.failedHosts.contains(host.info.name);
    });
    if (hasOther) {
        avoided.assign(job.failedHosts.begin(), job.failedHosts.end());
    }
    if (const auto backoffs = m_avoidUntil.find(job.spec.id); backoffs != m_avoidUntil.end()) {
        for (const auto &[host, until] : backoffs->second) {
            if (batch.now < until) {
                avoided.push_back(host);
            }
        }
    }
    return avoided;
}

std::vector<WaitingJob> DecisionMaker::waitingJobs(const Batch &batch, const std::vector<SchedulableHost> &hosts) const
{
    std::vector<WaitingJob> waiting;
    for (const std::string &id : batch.state.pending()) {
        const auto backoff = m_notBefore.find(id);
        if (!batch.canAddFor(id) || (backoff != m_notBefore.end() && batch.now < backoff->second)) {
            continue;
        }
        const JobRecord &job = *batch.state.find(id);
        waiting.push_back({.job = &job, .avoidedHosts = avoidedHosts(batch, job, hosts)});
        if (job.spec.urgency != Urgency::Urgent) {
            for (const SchedulableHost &host : hosts) {
                if (m_preemption.isReserved(host.info.name)) {
                    waiting.back().avoidedHosts.push_back(host.info.name);
                }
            }
        }
    }
    return waiting;
}

void DecisionMaker::addAssignments(Batch &batch)
{
    if (!m_sheet.mayAssign() || m_sheet.version() < batch.state.sheetVersion()) {
        return;
    }
    m_preemption.update(batch.now, batch.state);
    std::vector<SchedulableHost> hosts = assignableHosts(batch);
    std::vector<WaitingJob> waiting = waitingJobs(batch, hosts);
    std::vector<WaitingJob> urgent;
    std::ranges::copy_if(waiting, std::back_inserter(urgent), [](const WaitingJob &entry) {
        return entry.job->spec.urgency == Urgency::Urgent;
    });
    const std::unique_ptr<PlacementGuide> guide = m_policy.makeGuide(batch.now, batch.state, m_sheet);
    Fence fence = batch.state.lastFence();
    for (Placement &placement : m_scheduler.place(batch.state,
                                                  std::move(waiting),
                                                  hosts,
                                                  m_sheet.sheet(),
                                                  batch.unixSeconds,
                                                  batch.limit - batch.records.size(),
                                                  guide.get())) {
        const auto host = std::ranges::find(
            hosts, placement.host, [](const SchedulableHost &candidate) { return candidate.info.name; });
        host->reserved += batch.state.find(placement.job)->spec.declared;
        batch.add(TaskAssigned{.job = std::move(placement.job), .host = std::move(placement.host), .fence = ++fence});
    }
    addPreemptions(batch, urgent, hosts);
}

void DecisionMaker::addPreemptions(Batch &batch,
                                   const std::vector<WaitingJob> &urgent,
                                   const std::vector<SchedulableHost> &hosts)
{
    const PreemptionPlanner::Inputs inputs{.now = batch.now,
                                           .unixSeconds = batch.unixSeconds,
                                           .state = batch.state,
                                           .hosts = hosts,
                                           .mayEvict = [&batch](std::string_view job) { return batch.canAddFor(job); }};
    for (const WaitingJob &waiting : urgent) {
        const std::size_t limit = std::min<std::size_t>(m_policy.evictionsLeft(batch.now),
                                                        batch.limit - batch.records.size());
        if (limit == 0) {
            return;
        }
        if (batch.jobsInBatch.contains(waiting.job->spec.id)
            || !m_scheduler.isWithinQuota(batch.state, waiting.job->spec, m_sheet.sheet())) {
            continue;
        }
        for (TaskStopRequested &stop : m_preemption.planPreemption(inputs, waiting, limit)) {
            m_policy.countEviction(batch.now);
            batch.add(std::move(stop));
        }
    }
}

} // namespace Carobflow
