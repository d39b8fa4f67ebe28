#include "carobflow/core/shardleader.h"

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/internal/commitattempt.h"
#include "carobflow/core/internal/decisionmaker.h"
#include "carobflow/core/internal/hostregistry.h"
#include "carobflow/core/internal/leaderwatch.h"
#include "carobflow/core/internal/orderbook.h"
#include "carobflow/core/internal/requestqueue.h"
#include "carobflow/core/internal/retrydelay.h"
#include "carobflow/core/internal/shardrow.h"
#include "carobflow/core/internal/sheetview.h"
#include "carobflow/core/invariant.h"
#include "carobflow/core/shardstate.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Carobflow
{

namespace
{

constexpr std::size_t ReplayPage = 100;

/// Deletions of old ledger rows that one commit carries.
constexpr std::uint64_t TrimPerCommit = 50;

/// Records of one commit from which on the load counts as heavy.
constexpr std::size_t HeavyRecords = 50;

/// How often decisions that depend on time alone are looked at.
constexpr Milliseconds DecisionInterval{250};

} // namespace

class ShardLeader::Private
{
public:
    explicit Private(Options options);

    std::optional<StoreOperation> nextOperation(TimePoint now, std::int64_t unixSeconds);
    [[nodiscard]] TimePoint nextWakeup(TimePoint now) const;
    void onRows(TimePoint now, const Result<std::vector<Row>> &rows);
    void onTransact(TimePoint now, const TransactOutcome &outcome);
    void onObjectRead(TimePoint now, const Result<std::string> &bytes);
    void onObjectWritten(TimePoint now, const Status &status);
    void onReport(TimePoint now, const HostReport &report);
    HostOrders ordersFor(TimePoint now, std::string_view host);
    std::uint64_t request(TimePoint now, JobRequest request);
    [[nodiscard]] JobView view(const JobRecord &job) const;
    [[nodiscard]] bool isLeading(TimePoint now) const;
    void release();

    Options m_options;
    SheetView m_sheet;
    RequestQueue m_requests;
    ShardState m_state;
    ShardRow m_row;
    bool m_releasing = false;

    enum class Phase { Watching, TakingOver, ReadingSnapshot, Replaying, Leading, Released };
    Phase m_phase = Phase::Watching;

private:
    [[nodiscard]] bool holdsShard() const;
    [[nodiscard]] bool isRenewalDue(TimePoint now) const;
    StoreOperation beginOperation(StoreOperation operation);
    std::optional<StoreOperation> watch(TimePoint now);
    std::optional<StoreOperation> replay(TimePoint now);
    std::optional<StoreOperation> lead(TimePoint now);
    StoreOperation beginCommit(TimePoint now, std::vector<LedgerRecord> records, bool release);
    StoreOperation beginTakeOver(TimePoint now);
    StoreOperation continueCommit(TimePoint now);
    void settleCommit(TimePoint now, CommitAttempt::Verdict verdict);
    void applyCommit(TimePoint now);
    void withdrawCommit();
    void stepDown(TimePoint now);
    void onReplayRows(TimePoint now, const std::vector<Row> &rows);
    void onReplayed();
    void onStoreFailure(TimePoint now);
    bool endOperation();
    std::string makeToken(const ShardRow &row);

    std::mt19937_64 m_random;
    HostRegistry m_hosts;
    DecisionMaker m_decisions;
    OrderBook m_orders;
    LeaderWatch m_watch;
    RetryDelay m_retry;

    bool m_operationInFlight = false;
    /// True when the operation in flight belongs to a leadership that has ended since.
    bool m_discardResult = false;
    TimePoint m_notBefore = TimePoint::min();
    std::int64_t m_unixSeconds = 0;

    /// The commit whose outcome is not yet certain, and its records.
    std::optional<CommitAttempt> m_commit;
    std::vector<LedgerRecord> m_records;

    std::uint64_t m_rowVersion = 0;
    TimePoint m_leaseStart;
    TimePoint m_lastCommitBegun = TimePoint::min();
    bool m_heavy = false;
    std::uint64_t m_replayed = 0;
    /// True when the ledger lacked a row; that is a fault only if a commit shows that the shard was still held then.
    bool m_gapSeen = false;
    /// A snapshot that is written but not yet named by a commit.
    std::uint64_t m_writtenSnapshot = 0;
    std::uint64_t m_snapshotInFlight = 0;
};

ShardLeader::Private::Private(Options options)
    : m_options(std::move(options))
    , m_sheet(m_options.shard, m_options.shardCount)
    , m_random(m_options.seed ^ stableHash(m_options.host))
    , m_hosts({.hostGrant = m_options.hostGrant,
               .workerLease = m_options.workerLease,
               .reassignMargin = m_options.reassignMargin,
               .outageGrace = m_options.outageGrace})
    , m_decisions({.adaptivePolicy = m_options.adaptivePolicy, .shardCount = m_options.shardCount}, m_sheet, m_requests)
    , m_watch({.silence = m_options.lease + m_options.leaseMargin,
               .candidacyDelay = m_options.candidacyDelay,
               .pollInterval = m_options.renewInterval})
{
}

bool ShardLeader::Private::holdsShard() const
{
    return m_phase == Phase::ReadingSnapshot || m_phase == Phase::Replaying || m_phase == Phase::Leading;
}

bool ShardLeader::Private::isRenewalDue(TimePoint now) const
{
    return now >= m_lastCommitBegun + m_options.renewInterval;
}

bool ShardLeader::Private::isLeading(TimePoint now) const
{
    // Others may hold the shard once the lease is over, but grants stay safe until then: a new leader waits for as long
    // as this one may give them (design section 8).
    return m_phase == Phase::Leading && !m_releasing && now < m_leaseStart + m_options.outageGrace;
}

StoreOperation ShardLeader::Private::beginOperation(StoreOperation operation)
{
    m_operationInFlight = true;
    return operation;
}

/// Returns false when the result of the operation is of no use any more.
bool ShardLeader::Private::endOperation()
{
    m_operationInFlight = false;
    return !std::exchange(m_discardResult, false);
}

std::optional<StoreOperation> ShardLeader::Private::nextOperation(TimePoint now, std::int64_t unixSeconds)
{
    m_unixSeconds = unixSeconds;
    m_requests.expire(now);
    if (m_operationInFlight || now < m_notBefore) {
        return std::nullopt;
    }
    if (m_commit) {
        return continueCommit(now);
    }
    switch (m_phase) {
    case Phase::Watching:
        return watch(now);
    case Phase::ReadingSnapshot:
    case Phase::Replaying:
        return replay(now);
    case Phase::Leading:
        return lead(now);
    case Phase::TakingOver:
    case Phase::Released:
        break;
    }
    return std::nullopt;
}

std::optional<StoreOperation> ShardLeader::Private::watch(TimePoint now)
{
    if (m_watch.mayTakeOver(now)) {
        return beginTakeOver(now);
    }
    return beginOperation(ReadRowOperation{shardRowKey(m_options.shard)});
}

std::optional<StoreOperation> ShardLeader::Private::replay(TimePoint now)
{
    if (isRenewalDue(now)) {
        return beginCommit(now, {}, false);
    }
    if (m_phase == Phase::ReadingSnapshot) {
        return beginOperation(ReadObjectOperation{snapshotKey(m_options.shard, m_row.snapshotSequence)});
    }
    return beginOperation(ReadRangeOperation{.prefix = ledgerPrefix(m_options.shard),
                                             .after = ledgerRowKey(m_options.shard, m_replayed),
                                             .limit = ReplayPage});
}

std::optional<StoreOperation> ShardLeader::Private::lead(TimePoint now)
{
    if (m_releasing) {
        // Requests whose records a failed commit gave back are not done.
        m_requests.abandon();
        return beginCommit(now, {}, true);
    }
    if (now < m_lastCommitBegun + (m_heavy ? m_options.heavyCommitInterval : m_options.lightCommitInterval)) {
        return std::nullopt;
    }
    std::vector<LedgerRecord> records = m_decisions.decide(now, m_unixSeconds, m_state, m_hosts);
    m_heavy = records.size() >= HeavyRecords;
    if (!records.empty() || isRenewalDue(now)) {
        return beginCommit(now, std::move(records), false);
    }
    const std::uint64_t named = std::max(m_row.snapshotSequence, m_writtenSnapshot);
    if (m_row.sequence - named >= m_options.snapshotEvery) {
        m_snapshotInFlight = m_row.sequence;
        return beginOperation(
            WriteObjectOperation{.key = snapshotKey(m_options.shard, m_row.sequence), .bytes = m_state.snapshot()});
    }
    return std::nullopt;
}

std::string ShardLeader::Private::makeToken(const ShardRow &row)
{
    return m_options.host + ":" + std::to_string(row.epoch) + ":" + std::to_string(row.beat) + ":"
        + std::to_string(m_random());
}

StoreOperation ShardLeader::Private::beginTakeOver(TimePoint now)
{
    ShardRow row = m_watch.row();
    row.epoch += 1;
    row.beat += 1;
    row.leader = m_options.host;
    row.address = m_options.address;
    row.released = false;
    row.token = makeToken(row);
    const std::string key = shardRowKey(m_options.shard);
    Transaction transaction;
    transaction.conditions.push_back({.key = key, .version = m_watch.version()});
    transaction.mutations.push_back({.key = key, .value = encodeShardRow(row)});
    m_commit.emplace(key, std::move(row), m_watch.version(), std::move(transaction));
    m_phase = Phase::TakingOver;
    return continueCommit(now);
}

StoreOperation ShardLeader::Private::beginCommit(TimePoint now, std::vector<LedgerRecord> records, bool release)
{
    ShardRow row = m_row;
    row.beat += 1;
    row.released = release;
    row.snapshotSequence = std::max(row.snapshotSequence, m_writtenSnapshot);
    row.token = makeToken(row);
    const std::string key = shardRowKey(m_options.shard);
    Transaction transaction;
    transaction.conditions.push_back({.key = key, .version = m_rowVersion});
    // Rows that the named snapshot holds go in commits after the one that names it.
    const std::uint64_t trimTo = std::min(m_row.trimmedSequence + TrimPerCommit, m_row.snapshotSequence);
    for (; row.trimmedSequence < trimTo; ++row.trimmedSequence) {
        transaction.mutations.push_back({.key = ledgerRowKey(m_options.shard, row.trimmedSequence + 1), .value = {}});
    }
    if (!records.empty()) {
        row.sequence += 1;
        const std::string ledgerKey = ledgerRowKey(m_options.shard, row.sequence);
        transaction.conditions.push_back({.key = ledgerKey, .version = 0});
        transaction.mutations.push_back({.key = ledgerKey, .value = encodeLedgerRow(records)});
    }
    bool assigns = false;
    for (const LedgerRecord &record : records) {
        if (const auto *assigned = std::get_if<TaskAssigned>(&record)) {
            assigns = true;
            m_orders.assigned(now, assigned->job, assigned->fence);
        }
    }
    if (assigns) {
        transaction.conditions.push_back({.key = std::string(SheetRowKey), .version = m_sheet.rowVersion()});
    }
    transaction.mutations.push_back({.key = key, .value = encodeShardRow(row)});
    m_records = std::move(records);
    m_commit.emplace(key, std::move(row), m_rowVersion, std::move(transaction));
    m_lastCommitBegun = now;
    return continueCommit(now);
}

StoreOperation ShardLeader::Private::continueCommit(TimePoint now)
{
    if (m_commit->needsReadBack()) {
        return beginOperation(ReadRowOperation{shardRowKey(m_options.shard)});
    }
    m_commit->sent(now);
    return beginOperation(TransactOperation{m_commit->transaction()});
}

void ShardLeader::Private::onStoreFailure(TimePoint now)
{
    m_notBefore = now + m_retry.next(m_random);
}

void ShardLeader::Private::onTransact(TimePoint now, const TransactOutcome &outcome)
{
    if (!endOperation()) {
        return;
    }
    const CommitAttempt::Verdict verdict = m_commit->onTransact(outcome);
    if (verdict == CommitAttempt::Verdict::Undecided || verdict == CommitAttempt::Verdict::NotApplied) {
        onStoreFailure(now);
    }
    settleCommit(now, verdict);
}

void ShardLeader::Private::settleCommit(TimePoint now, CommitAttempt::Verdict verdict)
{
    switch (verdict) {
    case CommitAttempt::Verdict::Undecided:
        break;
    case CommitAttempt::Verdict::Applied:
        m_retry.reset();
        applyCommit(now);
        break;
    case CommitAttempt::Verdict::SheetChanged:
        m_retry.reset();
        m_sheet.markOutdated();
        withdrawCommit();
        break;
    case CommitAttempt::Verdict::NotApplied:
        // Decisions are made anew after an outage; only a take-over is tried again as it is.
        if (m_phase != Phase::TakingOver) {
            withdrawCommit();
        }
        break;
    case CommitAttempt::Verdict::Deposed:
        stepDown(now);
        break;
    }
}

void ShardLeader::Private::applyCommit(TimePoint now)
{
    m_row = m_commit->row();
    m_rowVersion = m_commit->version();
    m_leaseStart = m_commit->leaseStart();
    m_commit.reset();
    if (m_phase == Phase::TakingOver) {
        m_lastCommitBegun = now;
        m_hosts.reset(now, m_row.epoch);
        m_state = {};
        m_replayed = m_row.snapshotSequence;
        m_writtenSnapshot = 0;
        m_phase = m_row.snapshotSequence > 0 ? Phase::ReadingSnapshot : Phase::Replaying;
        if (m_phase == Phase::Replaying && m_row.sequence == 0) {
            m_phase = Phase::Leading;
        }
        return;
    }
    requireInvariant(!m_gapSeen, "ledger-is-contiguous", ledgerRowKey(m_options.shard, m_replayed + 1));
    for (const LedgerRecord &record : std::exchange(m_records, {})) {
        m_state.apply(record);
        if (const auto *ended = std::get_if<TaskEnded>(&record)) {
            m_orders.ended(ended->job);
        }
    }
    m_requests.committed();
    if (m_row.released) {
        m_requests.abandon();
        m_phase = Phase::Released;
    }
}

/// Drops the assignments of a commit that was certainly not applied and keeps its other records for the next one.
void ShardLeader::Private::withdrawCommit()
{
    m_commit.reset();
    std::erase_if(m_records, [](const LedgerRecord &record) { return std::holds_alternative<TaskAssigned>(record); });
    m_decisions.carryOver(std::exchange(m_records, {}));
    m_lastCommitBegun = TimePoint::min();
}

void ShardLeader::Private::stepDown(TimePoint now)
{
    m_commit.reset();
    m_records.clear();
    m_requests.abandon();
    m_decisions.reset();
    m_orders.reset();
    m_hosts.reset(now, 0);
    m_state = {};
    m_writtenSnapshot = 0;
    m_watch.reset();
    m_retry.reset();
    m_gapSeen = false;
    m_discardResult = m_operationInFlight;
    m_phase = m_releasing ? Phase::Released : Phase::Watching;
    m_notBefore = now;
}

void ShardLeader::Private::onRows(TimePoint now, const Result<std::vector<Row>> &rows)
{
    if (!endOperation()) {
        return;
    }
    if (!isOk(rows)) {
        onStoreFailure(now);
        return;
    }
    if (m_commit) {
        settleCommit(now, m_commit->onReadBack(valueOf(rows)));
        return;
    }
    if (m_phase == Phase::Replaying) {
        m_retry.reset();
        onReplayRows(now, valueOf(rows));
        return;
    }
    if (m_phase != Phase::Watching) {
        return;
    }
    ShardRow row;
    std::uint64_t version = 0;
    if (!valueOf(rows).empty()) {
        const Result<ShardRow> decoded = decodeShardRow(valueOf(rows).front().value);
        if (!isOk(decoded)) {
            onStoreFailure(now);
            return;
        }
        row = valueOf(decoded);
        version = valueOf(rows).front().version;
    }
    m_retry.reset();
    m_watch.onRow(now, version, row);
    m_notBefore = m_watch.mayTakeOver(now) ? now : m_watch.nextPoll(now);
}

void ShardLeader::Private::onReplayRows(TimePoint now, const std::vector<Row> &rows)
{
    m_gapSeen = rows.empty();
    for (const Row &row : rows) {
        if (m_replayed == m_row.sequence) {
            break;
        }
        m_gapSeen = row.key != ledgerRowKey(m_options.shard, m_replayed + 1);
        if (m_gapSeen) {
            break;
        }
        const Result<std::vector<LedgerRecord>> records = decodeLedgerRow(row.value);
        if (!isOk(records)) {
            onStoreFailure(now);
            return;
        }
        for (const LedgerRecord &record : valueOf(records)) {
            m_state.apply(record);
        }
        ++m_replayed;
    }
    if (m_gapSeen) {
        m_lastCommitBegun = TimePoint::min();
    }
    onReplayed();
}

void ShardLeader::Private::onReplayed()
{
    m_phase = m_replayed == m_row.sequence ? Phase::Leading : Phase::Replaying;
}

void ShardLeader::Private::onObjectRead(TimePoint now, const Result<std::string> &bytes)
{
    if (!endOperation()) {
        return;
    }
    if (!isOk(bytes)) {
        onStoreFailure(now);
        return;
    }
    Result<ShardState> state = ShardState::restore(valueOf(bytes));
    if (!isOk(state)) {
        onStoreFailure(now);
        return;
    }
    m_retry.reset();
    m_state = takeValue(std::move(state));
    onReplayed();
}

void ShardLeader::Private::onObjectWritten(TimePoint now, const Status &status)
{
    if (!endOperation()) {
        return;
    }
    if (!isOk(status)) {
        onStoreFailure(now);
        return;
    }
    m_retry.reset();
    m_writtenSnapshot = m_snapshotInFlight;
}

void ShardLeader::Private::onReport(TimePoint now, const HostReport &report)
{
    m_sheet.seen(report.sheetVersion);
    if (!holdsShard()) {
        return;
    }
    if (report.epoch > m_row.epoch) {
        stepDown(now);
        return;
    }
    if (m_phase == Phase::Leading && m_hosts.onReport(now, report) != nullptr) {
        m_decisions.onReport(m_state, report);
    }
}

HostOrders ShardLeader::Private::ordersFor(TimePoint now, std::string_view host)
{
    HostOrders orders;
    if (!isLeading(now)) {
        return orders;
    }
    orders.leading = true;
    orders.epoch = m_row.epoch;
    orders.sheetVersion = m_sheet.version();
    HostEntry *entry = m_hosts.find(host);
    if (entry == nullptr) {
        // Tasks of a host that has not reported may belong to assignments that have ended.
        orders.wantFull = true;
        return orders;
    }
    orders.grant = m_options.hostGrant;
    entry->grantedAt = now;
    m_orders.addOrders(now, m_state, m_sheet, *entry, orders);
    return orders;
}

std::uint64_t ShardLeader::Private::request(TimePoint now, JobRequest request)
{
    const std::uint64_t ticket = m_requests.add(now, std::move(request));
    if (!isLeading(now)) {
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
        next = m_lastCommitBegun + (m_heavy ? m_options.heavyCommitInterval : m_options.lightCommitInterval);
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
