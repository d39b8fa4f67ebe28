#include "carobflow/core/internal/hostregistry.h"

#include <algorithm>

namespace Carobflow
{

namespace
{

/// Agents report at least once a second; a host whose last report is older than this gets no new task.
constexpr Milliseconds ReportTimeout{3000};

/// Hosts report within about a second of a take-over; jobs are declared unrunnable only well after that.
constexpr Milliseconds SettleTime{5000};

} // namespace

bool isEndedReport(ReportedState state)
{
    return state != ReportedState::Running && state != ReportedState::Stopping;
}

HostRegistry::HostRegistry(Options options)
    : m_options(options)
{
}

void HostRegistry::reset(TimePoint takeOver, Epoch epoch)
{
    m_hosts.clear();
    m_newestHostAt.reset();
    m_takeOver = takeOver;
    m_epoch = epoch;
}

HostEntry *HostRegistry::onReport(TimePoint now, const HostReport &report)
{
    const auto [position, added] = m_hosts.try_emplace(report.host.name);
    HostEntry &entry = position->second;
    const bool sameBoot = !added && entry.bootId == report.bootId;
    if (sameBoot && report.sequence <= entry.lastSequence) {
        return nullptr;
    }
    if (!sameBoot) {
        entry.stopsSent.clear();
        entry.percentsSent.clear();
        for (const TaskReport &task : report.tasks) {
            entry.percentsSent.emplace(TaskRef{.job = task.job, .fence = task.fence}, 0);
        }
    } else if (report.full) {
        // A full report shows that the agent may have missed the previous reply and the throttles in it.
        for (auto &[ref, percent] : entry.percentsSent) {
            percent = 0;
        }
    }
    if (!sameBoot || report.full) {
        entry.complete = report.full;
        entry.tasks.clear();
        entry.ended.clear();
    }
    entry.info = report.host;
    entry.bootId = report.bootId;
    entry.lastSequence = report.sequence;
    entry.leaving = report.leaving;
    entry.lastReportAt = now;
    if (report.epoch == m_epoch) {
        entry.confirmedAt = now;
    }
    for (const TaskReport &task : report.tasks) {
        const TaskRef ref{.job = task.job, .fence = task.fence};
        entry.tasks.insert_or_assign(ref, task);
        if (isEndedReport(task.state)) {
            entry.ended.insert(ref);
        }
    }
    if (added) {
        m_newestHostAt = now;
    }
    return &entry;
}

HostEntry *HostRegistry::find(std::string_view host)
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

const HostEntry *HostRegistry::find(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

const std::map<std::string, HostEntry, std::less<>> &HostRegistry::hosts() const
{
    return m_hosts;
}

TimePoint HostRegistry::tasksEndBy(std::string_view host) const
{
    const Milliseconds afterGrant = m_options.hostGrant + m_options.workerLease + m_options.reassignMargin;
    const HostEntry *entry = find(host);
    TimePoint end = m_takeOver;
    if (entry == nullptr || !entry->confirmedAt) {
        // The host may still hold grants that the previous leader issued during a store outage.
        end += m_options.outageGrace + afterGrant;
    } else {
        end = *entry->confirmedAt + afterGrant;
    }
    if (entry != nullptr && entry->grantedAt) {
        end = std::max(end, *entry->grantedAt + afterGrant);
    }
    return end;
}

bool HostRegistry::isAssignable(TimePoint now, const HostEntry &entry) const
{
    return entry.complete && entry.confirmedAt && !entry.leaving && now - entry.lastReportAt <= ReportTimeout
        && now >= entry.refusedUntil;
}

bool HostRegistry::isSettled(TimePoint now) const
{
    return m_newestHostAt && now - *m_newestHostAt >= SettleTime;
}

} // namespace Carobflow
