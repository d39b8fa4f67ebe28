#pragma once

#include "carobflow/core/internal/shardrow.h"
#include "carobflow/core/table.h"
#include "carobflow/core/types.h"

#include <string>
#include <vector>

namespace Carobflow
{

/// Key of the row whose version is a condition of each commit with assignments.
inline constexpr std::string_view SheetRowKey = "sheet/current";

/// One commit of a shard's leader until its outcome is known. Every transmission sends the same transaction, whose
/// condition on the shard row ensures that it is applied at most once.
class CommitAttempt
{
public:
    enum class Verdict {
        Undecided,
        Applied,
        /// Not applied, and no transmission is still in flight.
        NotApplied,
        /// Not applied, and it can no longer be: the row sheet/current has changed.
        SheetChanged,
        /// The shard row was changed by another process.
        Deposed,
    };

    /// `expectedVersion` is the table version of the shard row that this process wrote or read last.
    CommitAttempt(std::string key, ShardRow row, std::uint64_t expectedVersion, Transaction transaction);

    [[nodiscard]] const Transaction &transaction() const;
    [[nodiscard]] const ShardRow &row() const;

    /// True when the outcome of an earlier transmission has to be read back before the next one.
    [[nodiscard]] bool needsReadBack() const;

    /// Records that the transaction is sent now.
    void sent(TimePoint now);
    Verdict onTransact(const TransactOutcome &outcome);
    Verdict onReadBack(const std::vector<Row> &rows);

    /// The table version of the shard row, once applied.
    [[nodiscard]] std::uint64_t version() const;

    /// A time not after the transmission that was applied; the lease starts at it.
    [[nodiscard]] TimePoint leaseStart() const;

private:
    Verdict onConflict(const std::string &key);

    std::string m_key;
    ShardRow m_row;
    std::uint64_t m_expectedVersion = 0;
    Transaction m_transaction;
    bool m_sent = false;
    TimePoint m_firstSentAt;
    TimePoint m_sentAt;
    TimePoint m_leaseStart;
    std::uint64_t m_version = 0;
    /// True once a reply was lost: a later conflict may be caused by an earlier transmission of this commit.
    bool m_ambiguous = false;
    bool m_needsReadBack = false;
    bool m_sheetConflict = false;
};

} // namespace Carobflow
