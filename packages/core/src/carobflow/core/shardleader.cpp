#include "carobflow/core/shardleader.h"

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/internal/shardleaderprivate.h"

#include <algorithm>
#include <utility>

namespace Carobflow
{

namespace
{

/// Interval at which decisions that depend on time alone are re-evaluated.
constexpr Milliseconds DecisionInterval{250};

} // namespace

ShardLeader::Private::Private(Options options)
    : m_options(std::move(options))
    , m_sheet(m_options.shard, m_options.shardCount)
    , m_random(m_options.seed ^ stableHash(m_options.host))
    , m_hosts({.hostGrant = m_options.hostGrant,
               .workerLease = m_options.workerLease,
               .reassignMargin = m_options.reassignMargin,
               .outageGrace = m_options.outageGrace})
    , m_decisions({.adaptivePolicy = m_options.adaptivePolicy, .shardCount = m_options.shardCount}, m_sheet, m_requests)
    , m_watch({.takeOverDelay = m_options.lease + m_options.leaseMargin,
               .candidacyDelay = m_options.candidacyDelay,
               .pollInterval = m_options.renewInterval})
{
}

bool ShardLeader::Private::holdsShard() const
{
    return m_phase == Phase::ReadingSnapshot || m_phase == Phase::Replaying || m_phase == Phase::Leading;
}

bool ShardLeader::Private::isLeading(TimePoint now) const
{
    // Another process may hold the shard once the lease has expired. Grants remain safe until the end of the outage
    // grace, because a new leader waits for that long before it reassigns tasks (design section 8).
    return m_phase == Phase::Leading && !m_releasing && now < m_leaseStart + m_options.outageGrace;
}

bool ShardLeader::Private::owns(std::string_view name) const
{
    return shardOf(name, m_options.shardCount) == m_options.shard;
}

void ShardLeader::Private::onReport(TimePoint now, const HostReport &report)
{
    m_sheet.seen(report.sheetVersion);
    if (!holdsShard() || !owns(report.host.name)) {
        return;
    }
    if (report.epoch > m_row.epoch) {
        stepDown(now);
        return;
    }
    if (m_phase != Phase::Leading) {
        return;
    }
    if (const HostEntry *host = m_hosts.onReport(now, report)) {
        m_decisions.onReport(now, m_state, *host, report);
    }
}

HostOrders ShardLeader::Private::ordersFor(TimePoint now, std::string_view host)
{
    HostOrders orders;
    if (!isLeading(now) || !owns(host)) {
        return orders;
    }
    orders.leading = true;
    orders.epoch = m_row.epoch;
    orders.sheetVersion = m_sheet.version();
    HostEntry *entry = m_hosts.find(host);
    if (entry == nullptr) {
        // Without a report, the tasks on the host may belong to assignments that have ended.
        orders.wantFull = true;
        return orders;
    }
    orders.grant = m_options.hostGrant;
    entry->grantedAt = now;
    m_orders.addOrders(now, m_state, m_sheet, *entry, orders);
    m_decisions.policy().addThrottles(m_state, *entry, orders);
    return orders;
}

std::uint64_t ShardLeader::Private::request(TimePoint now, JobRequest request)
{
    const bool isOwn = owns(request.cancelledJob.empty() ? request.spec.id : request.cancelledJob);
    const std::uint64_t ticket = m_requests.add(now, std::move(request));
    if (!isLeading(now) || !isOwn) {
        m_requests.waiting().pop_back();
        m_requests.reply(ticket, JobReply::Outcome::NotLeader, "this process does not lead the shard: ask its leader");
    }
    return ticket;
}

JobView ShardLeader::Private::view(const JobRecord &job) const
{
    JobView view{.spec = job.spec,
                 .state = job.state,
                 .host = job.host,
                 .fence = job.fence,
                 .reason = job.reason,
                 .result = job.result,
                 .evictions = job.evictions,
                 .progress = static_cast<double>(job.progressPermille) / 1000,
                 .slackSeconds = BatchScheduler::slackSeconds(m_state, job, m_unixSeconds)};
    const HostEntry *host = m_hosts.find(job.host);
    if (host != nullptr && m_state.findActive(job.spec.id, job.fence) != nullptr) {
        const auto task = host->tasks.find(TaskRef{.job = job.spec.id, .fence = job.fence});
        if (task != host->tasks.end() && !isEndedReport(task->second.state)) {
            view.state = job.state == JobState::Assigned ? JobState::Running : job.state;
            view.progress = task->second.progress;
        }
    }
    return view;
}

void ShardLeader::Private::release()
{
    m_releasing = true;
    if (!holdsShard() && !m_commit) {
        m_phase = Phase::Released;
    }
}

TimePoint ShardLeader::Private::nextWakeup(TimePoint now) const
{
    TimePoint wakeup = m_requests.nextExpiry();
    if (m_phase == Phase::Released || m_operationInFlight) {
        return wakeup;
    }
    TimePoint next = now;
    if (m_phase == Phase::Leading && !m_commit && !m_releasing) {
        next = m_lastCommitBegun + (m_lastCommitHeavy ? m_options.heavyCommitInterval : m_options.lightCommitInterval);
        if (!m_decisions.hasInput()) {
            next = std::max(next, std::min(m_lastCommitBegun + m_options.renewInterval, now + DecisionInterval));
        }
    }
    return std::min(wakeup, std::max({next, m_notBefore, now}));
}

ShardLeader::ShardLeader(Options options)
    : m_d(std::make_unique<Private>(std::move(options)))
{
}

ShardLeader::~ShardLeader() = default;

std::optional<StoreOperation> ShardLeader::nextOperation(TimePoint now, std::int64_t unixSeconds)
{
    return m_d->nextOperation(now, unixSeconds);
}

TimePoint ShardLeader::nextWakeup(TimePoint now) const
{
    return m_d->nextWakeup(now);
}

void ShardLeader::onRows(TimePoint now, const Result<std::vector<Row>> &rows)
{
    m_d->onRows(now, rows);
}

void ShardLeader::onTransact(TimePoint now, const TransactOutcome &outcome)
{
    m_d->onTransact(now, outcome);
}

void ShardLeader::onObjectRead(TimePoint now, const Result<std::string> &bytes)
{
    m_d->onObjectRead(now, bytes);
}

void ShardLeader::onObjectWritten(TimePoint now, const Status &status)
{
    m_d->onObjectWritten(now, status);
}

void ShardLeader::setSheet(TimePoint /*now*/,
                           SheetVersion version,
                           std::uint64_t rowVersion,
                           std::shared_ptr<const Sheet> sheet)
{
    m_d->m_sheet.set(version, rowVersion, std::move(sheet));
}

void ShardLeader::onReport(TimePoint now, const HostReport &report)
{
    m_d->onReport(now, report);
}

HostOrders ShardLeader::ordersFor(TimePoint now, std::string_view host)
{
    return m_d->ordersFor(now, host);
}

std::uint64_t ShardLeader::submit(TimePoint now, JobSpec spec)
{
    return m_d->request(now, {.ticket = 0, .receivedAt = now, .cancelledJob = {}, .spec = std::move(spec)});
}

std::uint64_t ShardLeader::cancel(TimePoint now, std::string_view job)
{
    return m_d->request(now, {.ticket = 0, .receivedAt = now, .cancelledJob = std::string(job), .spec = {}});
}

std::vector<JobReply> ShardLeader::takeReplies()
{
    return m_d->m_requests.take();
}

std::optional<JobView> ShardLeader::find(std::string_view job) const
{
    const JobRecord *record = m_d->m_state.find(job);
    return record == nullptr ? std::nullopt : std::optional(m_d->view(*record));
}

std::vector<JobView> ShardLeader::list() const
{
    std::vector<JobView> views;
    for (const auto &[id, job] : m_d->m_state.jobs()) {
        views.push_back(m_d->view(job));
    }
    return views;
}

bool ShardLeader::isLeading(TimePoint now) const
{
    return m_d->isLeading(now);
}

bool ShardLeader::owns(std::string_view name) const
{
    return m_d->owns(name);
}

ShardId ShardLeader::shard() const
{
    return m_d->m_options.shard;
}

Epoch ShardLeader::epoch() const
{
    return m_d->m_row.epoch;
}

void ShardLeader::release(TimePoint /*now*/)
{
    m_d->release();
}

bool ShardLeader::isReleased() const
{
    return m_d->m_phase == Private::Phase::Released;
}

} // namespace Carobflow
