#include "carobflow/core/internal/shardleaderprivate.h"
#include "carobflow/core/invariant.h"

#include <algorithm>
#include <utility>

namespace Carobflow
{

namespace
{

constexpr std::size_t ReplayPageRows = 100;

/// Maximum number of ledger rows that one commit deletes.
constexpr std::uint64_t MaxTrimsPerCommit = 50;

/// Number of records in a commit from which on the longer interval between commits is used.
constexpr std::size_t HeavyCommitRecords = 50;

} // namespace

bool ShardLeader::Private::isRenewalDue(TimePoint now) const
{
    return now >= m_lastCommitBegun + m_options.renewInterval;
}

StoreOperation ShardLeader::Private::beginOperation(StoreOperation operation)
{
    m_operationInFlight = true;
    return operation;
}

/// Returns false when the result of the operation must be discarded.
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
                                             .limit = ReplayPageRows});
}

std::optional<StoreOperation> ShardLeader::Private::lead(TimePoint now)
{
    if (m_releasing) {
        // Requests whose records were withdrawn with a failed commit are not executed.
        m_requests.abandon();
        return beginCommit(now, {}, true);
    }
    if (now < m_lastCommitBegun + (m_lastCommitHeavy ? m_options.heavyCommitInterval : m_options.lightCommitInterval)) {
        return std::nullopt;
    }
    std::vector<LedgerRecord> records = m_decisions.decide(now, m_unixSeconds, m_state, m_hosts);
    m_lastCommitHeavy = records.size() >= HeavyCommitRecords;
    if (!records.empty() || isRenewalDue(now)) {
        return beginCommit(now, std::move(records), false);
    }
    const std::uint64_t latestSnapshot = std::max(m_row.snapshotSequence, m_writtenSnapshot);
    if (m_row.sequence - latestSnapshot >= m_options.snapshotEvery) {
        m_snapshotInFlight = m_row.sequence;
        return beginOperation(WriteObjectOperation{.key = snapshotKey(m_options.shard, m_row.sequence),
                                                   .bytes = m_decisions.policy().withModel(m_state.snapshot())});
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
    // Rows covered by a snapshot are deleted only in commits after the one that references the snapshot.
    const std::uint64_t trimTo = std::min(m_row.trimmedSequence + MaxTrimsPerCommit, m_row.snapshotSequence);
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
        m_commitSheetRow = m_sheet.rowVersion();
        transaction.conditions.push_back({.key = std::string(SheetRowKey), .version = m_commitSheetRow});
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
    handleVerdict(now, verdict);
}

void ShardLeader::Private::handleVerdict(TimePoint now, CommitAttempt::Verdict verdict)
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
        m_sheet.markOutdated(m_commitSheetRow);
        withdrawCommit();
        break;
    case CommitAttempt::Verdict::NotApplied:
        // Only a take-over is retried unchanged; other commits are withdrawn and decided again after the outage.
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

/// Drops the assignments of a commit that is known not to have been applied; its other records go into the next commit.
void ShardLeader::Private::withdrawCommit()
{
    m_commit.reset();
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
        handleVerdict(now, m_commit->onReadBack(valueOf(rows)));
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
    Result<ShardState> state = ShardState::restore(m_decisions.policy().restoreModel(valueOf(bytes)));
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

} // namespace Carobflow
