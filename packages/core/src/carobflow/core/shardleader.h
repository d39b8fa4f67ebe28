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

/// Reads rows in key order.
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

/// A store operation that the owner of a ShardLeader carries out; it reports the result with the function that takes
/// its kind of result.
using StoreOperation
    = std::variant<ReadRowOperation, ReadRangeOperation, TransactOperation, ReadObjectOperation, WriteObjectOperation>;

/// The answer to a submission or cancellation, given once its commit is decided.
struct JobReply {
    enum class Outcome { Accepted, Exists, Conflict, Cancelled, NotFound, Ended, NotLeader, Unavailable, Unknown };

    std::uint64_t ticket = 0;
    Outcome outcome = Outcome::Unknown;
    std::string message;
};

/// What callers and reports see of a job.
struct JobView {
    JobSpec spec;
    JobState state = JobState::Accepted;
    std::string host;
    Fence fence = 0;
    std::string reason;
    std::string result;
    std::uint32_t evictions = 0;
    double progress = 0;
    /// Time that is left when the remaining work starts now; negative when the deadline will be missed.
    std::int64_t slackSeconds = 0;
};

/// Candidate for, and holder of, the leadership of one shard: takes the lease, replays the ledger, decides on jobs and
/// commits each decision before anyone acts on it. It does no I/O and has no clock; its owner calls it from one thread
/// at a time, carries out its store operations one at a time and reports their results.
class ShardLeader
{
public:
    struct Options {
        ShardId shard = 0;
        /// Number of shards; it decides which jobs of the sheet belong to this one.
        std::uint32_t shardCount = 1;
        std::string host;
        /// Address at which this process serves the shard.
        std::string address;
        /// Time after which others may take over, counted from before the last successful commit was sent.
        Milliseconds lease{4000};
        Milliseconds leaseMargin{1000};
        /// Extra time without a beat before this process becomes a candidate; 0 for the preferred candidates.
        Milliseconds candidacyDelay{0};
        Milliseconds renewInterval{1000};
        Milliseconds lightCommitInterval{50};
        Milliseconds heavyCommitInterval{250};
        Milliseconds hostGrant{10000};
        Milliseconds workerLease{5000};
        Milliseconds reassignMargin{2000};
        Milliseconds outageGrace{300000};
        /// Ledger rows after which a snapshot is written.
        std::uint32_t snapshotEvery = 200;
        /// False selects the baseline policy: first fit, order of submission, no throttling or eviction for latency.
        bool adaptivePolicy = true;
        /// Makes the tokens of commits unique; it must differ between starts of a process.
        std::uint64_t seed = 1;
    };

    explicit ShardLeader(Options options);
    ~ShardLeader();
    ShardLeader(const ShardLeader &) = delete;
    ShardLeader &operator=(const ShardLeader &) = delete;

    /// The next store operation, or none when nothing is due or one is in flight. `unixSeconds` is the wall clock; it
    /// serves deadlines only, never leases.
    std::optional<StoreOperation> nextOperation(TimePoint now, std::int64_t unixSeconds);

    /// The time of the next call of nextOperation that may have an effect when no event comes before.
    [[nodiscard]] TimePoint nextWakeup(TimePoint now) const;

    /// The result of a ReadRowOperation (at most one row) or a ReadRangeOperation.
    void onRows(TimePoint now, const Result<std::vector<Row>> &rows);
    void onTransact(TimePoint now, const TransactOutcome &outcome);
    void onObjectRead(TimePoint now, const Result<std::string> &bytes);
    void onObjectWritten(TimePoint now, const Status &status);

    /// The sheet to decide under; `rowVersion` is the table version of the row sheet/current (0 for none). Older
    /// versions are ignored.
    void setSheet(TimePoint now, SheetVersion version, std::uint64_t rowVersion, std::shared_ptr<const Sheet> sheet);

    /// Takes a host's report.
    void onReport(TimePoint now, const HostReport &report);

    /// The orders that are due for a host. Start orders are repeated until the host reports the task.
    HostOrders ordersFor(TimePoint now, std::string_view host);

    /// Submits a job; the reply with this ticket follows in takeReplies.
    std::uint64_t submit(TimePoint now, JobSpec spec);
    std::uint64_t cancel(TimePoint now, std::string_view job);
    std::vector<JobReply> takeReplies();

    [[nodiscard]] std::optional<JobView> find(std::string_view job) const;
    [[nodiscard]] std::vector<JobView> list() const;

    /// True while this process holds the shard, has replayed its ledger, and may grant leases.
    [[nodiscard]] bool isLeading(TimePoint now) const;
    [[nodiscard]] Epoch epoch() const;

    /// True when the host or job of this name belongs to this shard. Calls about others are answered as by a process
    /// that does not lead: an address may have passed to the leader of another shard since the caller learned it, and
    /// a host that took grants from it could run a task that its own leader assigns elsewhere.
    [[nodiscard]] bool owns(std::string_view name) const;
    [[nodiscard]] ShardId shard() const;

    /// Hands the leadership over: the next commit marks the row as released and nothing is decided after it.
    void release(TimePoint now);
    [[nodiscard]] bool isReleased() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Carobflow
