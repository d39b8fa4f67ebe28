#include "carobflow/core/internal/hostorderbuilder.h"

#include <algorithm>

namespace Carobflow
{

namespace
{

/// Agents refuse start orders that are older than 2 s (design section 8). An order that must no longer be carried out
/// is withheld until it is older than this bound.
constexpr Milliseconds StartAgeBound{2500};

/// An age at which every agent refuses a start order.
constexpr Milliseconds ExpiredAge{3600000};

/// Intervals at which orders are repeated in case a reply was lost. They are long enough that host and leader do not
/// exchange messages continuously while a task starts or stops.
constexpr Milliseconds StartRepeatInterval{300};
constexpr Milliseconds StopRepeatInterval{1000};

} // namespace

void HostOrderBuilder::reset()
{
    m_starts.clear();
}

void HostOrderBuilder::assigned(TimePoint now, std::string_view job, Fence fence)
{
    m_starts.insert_or_assign(std::string(job),
                              Start{.fence = fence, .decidedAt = now, .bootId = {}, .sentAt = {}, .expired = false});
}

void HostOrderBuilder::ended(std::string_view job)
{
    const auto found = m_starts.find(job);
    if (found != m_starts.end()) {
        m_starts.erase(found);
    }
}

void HostOrderBuilder::addOrders(
    TimePoint now, const ShardState &state, const SheetView &sheet, HostEntry &host, HostOrders &orders)
{
    addAcknowledged(state, host, orders);
    addStops(now, state, host, orders);
    if (!host.complete) {
        // Without a full report it is not known which assignments the host has received.
        orders.wantFull = true;
        return;
    }
    const bool inService = sheet.isInService(host.info.dataCentre);
    for (const std::string &id : state.active()) {
        const JobRecord &job = *state.find(id);
        if (job.host == host.info.name && !host.tasks.contains(TaskRef{.job = id, .fence = job.fence})) {
            addStart(now, job, inService && job.state == JobState::Assigned, host, orders);
        }
    }
}

void HostOrderBuilder::addStart(
    TimePoint now, const JobRecord &job, bool mayRun, const HostEntry &host, HostOrders &orders)
{
    StartOrder order{.job = job.spec.id,
                     .fence = job.fence,
                     .jobClass = job.spec.jobClass,
                     .reserved = job.spec.declared,
                     .checkpoint = job.checkpoint,
                     .age = ExpiredAge,
                     .runSeconds = job.spec.runSeconds};
    Start &start = m_starts[job.spec.id];
    if (start.fence != job.fence) {
        start = {.fence = job.fence, .decidedAt = now - ExpiredAge, .bootId = {}, .sentAt = {}, .expired = true};
    }
    if (start.sentAt && now - *start.sentAt < StartRepeatInterval) {
        return;
    }
    const Milliseconds age = std::chrono::ceil<Milliseconds>(now - start.decidedAt);
    if (start.bootId == host.bootId) {
        if (!mayRun && age < StartAgeBound) {
            return;
        }
        order.age = age;
    } else if (!start.bootId && mayRun && !start.expired) {
        start.bootId = host.bootId;
        order.age = age;
    } else {
        start.expired = true;
    }
    start.sentAt = now;
    orders.starts.push_back(std::move(order));
}

void HostOrderBuilder::addStops(TimePoint now, const ShardState &state, HostEntry &host, HostOrders &orders)
{
    for (const auto &[ref, report] : host.tasks) {
        if (report.state != ReportedState::Running) {
            continue;
        }
        const JobRecord *job = state.find(ref.job);
        const JobRecord *active = state.findActive(ref.job, ref.fence);
        const bool current = active != nullptr && active->host == host.info.name;
        const bool replaced = !current && (job == nullptr || job->fence >= ref.fence);
        if (!replaced && !(current && active->state == JobState::Evicting)) {
            continue;
        }
        const auto sent = host.stopsSent.find(ref);
        if (sent != host.stopsSent.end() && now - sent->second < StopRepeatInterval) {
            continue;
        }
        host.stopsSent.insert_or_assign(ref, now);
        orders.stops.push_back({.job = ref.job, .fence = ref.fence, .checkpoint = current && !active->cancelRequested});
    }
}

void HostOrderBuilder::addAcknowledged(const ShardState &state, HostEntry &host, HostOrders &orders)
{
    for (auto ended = host.ended.begin(); ended != host.ended.end();) {
        const JobRecord *job = state.find(ended->job);
        const bool committed = job == nullptr || job->fence > ended->fence
            || (job->fence == ended->fence && state.findActive(ended->job, ended->fence) == nullptr);
        if (!committed) {
            ++ended;
            continue;
        }
        orders.acknowledged.push_back(*ended);
        host.stopsSent.erase(*ended);
        host.tasks.erase(*ended);
        ended = host.ended.erase(ended);
    }
}

} // namespace Carobflow
