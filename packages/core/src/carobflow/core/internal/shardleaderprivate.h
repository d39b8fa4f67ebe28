#pragma once

#include "carobflow/core/internal/commitattempt.h"
#include "carobflow/core/internal/decisionmaker.h"
#include "carobflow/core/internal/hostorderbuilder.h"
#include "carobflow/core/internal/hostregistry.h"
#include "carobflow/core/internal/leaderwatch.h"
#include "carobflow/core/internal/requestqueue.h"
#include "carobflow/core/internal/retrydelay.h"
#include "carobflow/core/internal/shardrow.h"
#include "carobflow/core/internal/sheetview.h"
#include "carobflow/core/shardleader.h"
#include "carobflow/core/shardstate.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// The implementation of ShardLeader. Its store operations are in shardleaderstore.cpp, everything else in
/// shardleader.cpp.
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
    [[nodiscard]] bool owns(std::string_view name) const;
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
    void handleVerdict(TimePoint now, CommitAttempt::Verdict verdict);
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
    HostOrderBuilder m_orders;
    LeaderWatch m_watch;
    RetryDelay m_retry;

    bool m_operationInFlight = false;
    /// True when the operation in flight was started under a leadership that has since ended.
    bool m_discardResult = false;
    TimePoint m_notBefore = TimePoint::min();
    std::int64_t m_unixSeconds = 0;

    /// The commit whose outcome is not yet known, and its records.
    std::optional<CommitAttempt> m_commit;
    std::vector<LedgerRecord> m_records;
    /// The version of the row sheet/current on which its assignments are based.
    std::uint64_t m_commitSheetRow = 0;

    std::uint64_t m_rowVersion = 0;
    TimePoint m_leaseStart;
    TimePoint m_lastCommitBegun = TimePoint::min();
    bool m_lastCommitHeavy = false;
    std::uint64_t m_replayed = 0;
    /// True when replay found a ledger row missing. This is a fault only if a later commit succeeds, which proves that
    /// the shard was still held at that time.
    bool m_gapSeen = false;
    /// Sequence of a snapshot that is written but not yet referenced by a commit.
    std::uint64_t m_writtenSnapshot = 0;
    std::uint64_t m_snapshotInFlight = 0;
};

} // namespace Carobflow
