#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/result.h"
#include "carobflow/core/sheet.h"
#include "carobflow/core/table.h"
#include "carobflow/core/types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Carobflow
{

/// Reads one row by key.
struct ReadRowOperation {
    std::string key;
};

/// Reads up to `limit` rows with this key prefix, in key order, from the first key greater than `after`.
struct ReadRangeOperation {
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/// Commits a transaction.
struct TransactOperation {
    Transaction transaction;
};

struct ReadObjectOperation {
    std::string key;
};

struct WriteObjectOperation {
    std::string key;
    std::string bytes;
};

/// A store operation to be executed by the owner of a ShardLeader, which reports the result by the function for its
/// kind: onRows, onTransact, onObjectRead or onObjectWritten.
using StoreOperation
    = std::variant<ReadRowOperation, ReadRangeOperation, TransactOperation, ReadObjectOperation, WriteObjectOperation>;

/// The reply to a submission or cancellation, given once the outcome of its commit is known.
struct JobReply {
    enum class Outcome { Accepted, Exists, Conflict, Cancelled, NotFound, Ended, NotLeader, Unavailable, Unknown };

    std::uint64_t ticket = 0;
    Outcome outcome = Outcome::Unknown;
    std::string message;
};

/// The externally visible state of a job.
struct JobView {
    JobSpec spec;
    JobState state = JobState::Accepted;
    std::string host;
    Fence fence = 0;
    std::string reason;
    std::string result;
    std::uint32_t evictions = 0;
    double progress = 0;
    /// Seconds between the expected end and the deadline if the remaining work starts now; negative when the deadline
    /// will be missed.
    std::int64_t slackSeconds = 0;
};

/// Leader, or candidate for the leadership, of one shard. It acquires the lease, replays the ledger, schedules jobs and
/// commits each decision before it takes effect. It performs no I/O and reads no clock: its owner calls it from one
/// thread at a time, executes its store operations one at a time and reports their results.
class ShardLeader
{
public:
    struct Options {
        ShardId shard = 0;
        /// Number of shards; determines which jobs of the sheet belong to this shard.
        std::uint32_t shardCount = 1;
        std::string host;
        /// Address at which this process serves the shard.
        std::string address;
        /// Time after which others may take over, counted from before the last successful commit was sent.
        Milliseconds lease{4000};
        Milliseconds leaseMargin{1000};
        /// Additional time without a commit by the leader before this process takes over; 0 for preferred candidates.
        Milliseconds candidacyDelay{0};
        Milliseconds renewInterval{1000};
        Milliseconds lightCommitInterval{50};
        Milliseconds heavyCommitInterval{250};
        Milliseconds hostGrant{10000};
        Milliseconds workerLease{5000};
        Milliseconds reassignMargin{2000};
        Milliseconds outageGrace{300000};
        /// Number of ledger rows after which a snapshot is written.
        std::uint32_t snapshotEvery = 200;
        /// False selects the baseline policy: submission order, first fit, no throttling or eviction for latency.
        bool adaptivePolicy = true;
        /// Seed of the random part of commit tokens; must differ between starts of a process.
        std::uint64_t seed = 1;
    };

    explicit ShardLeader(Options options);
    ~ShardLeader();
    ShardLeader(const ShardLeader &) = delete;
    ShardLeader &operator=(const ShardLeader &) = delete;

    /// The next store operation, or none when nothing is due or an operation is in flight. `unixSeconds` is the wall
    /// clock time; it is used for job deadlines only, never for leases.
    std::optional<StoreOperation> nextOperation(TimePoint now, std::int64_t unixSeconds);

    /// The earliest time at which a call of nextOperation may have an effect if no other event occurs before.
    [[nodiscard]] TimePoint nextWakeup(TimePoint now) const;

    /// Result of a ReadRowOperation (at most one row) or a ReadRangeOperation.
    void onRows(TimePoint now, const Result<std::vector<Row>> &rows);
    void onTransact(TimePoint now, const TransactOutcome &outcome);
    void onObjectRead(TimePoint now, const Result<std::string> &bytes);
    void onObjectWritten(TimePoint now, const Status &status);

    /// Sets the sheet that decisions are based on; `rowVersion` is the table version of the row sheet/current (0 for
    /// none). Older versions are ignored.
    void setSheet(TimePoint now, SheetVersion version, std::uint64_t rowVersion, std::shared_ptr<const Sheet> sheet);

    /// Handles a host's report.
    void onReport(TimePoint now, const HostReport &report);

    /// The orders that are due for a host. A start order is repeated until the host reports the task.
    HostOrders ordersFor(TimePoint now, std::string_view host);

    /// Submits a job. Returns a ticket; takeReplies later returns the reply with this ticket.
    std::uint64_t submit(TimePoint now, JobSpec spec);
    std::uint64_t cancel(TimePoint now, std::string_view job);
    std::vector<JobReply> takeReplies();

    [[nodiscard]] std::optional<JobView> find(std::string_view job) const;
    [[nodiscard]] std::vector<JobView> list() const;

    /// True while this process holds the shard, has replayed its ledger and may grant leases.
    [[nodiscard]] bool isLeading(TimePoint now) const;
    [[nodiscard]] Epoch epoch() const;

    /// True when the host or job of this name belongs to this shard. Calls for any other name are answered as if this
    /// process did not lead: the caller's address may since have passed to the leader of another shard, and a host that
    /// accepted grants from that leader could run a task that its own leader assigns elsewhere.
    [[nodiscard]] bool owns(std::string_view name) const;
    [[nodiscard]] ShardId shard() const;

    /// Gives up the leadership: the next commit marks the shard row as released, and no decision follows it.
    void release(TimePoint now);
    [[nodiscard]] bool isReleased() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Carobflow
