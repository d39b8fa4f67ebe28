#include "carobflow/core/internal/commitattempt.h"

#include <utility>

namespace Carobflow
{

CommitAttempt::CommitAttempt(std::string key, ShardRow row, std::uint64_t expectedVersion, Transaction transaction)
    : m_key(std::move(key))
    , m_row(std::move(row))
    , m_expectedVersion(expectedVersion)
    , m_transaction(std::move(transaction))
{
}

const Transaction &CommitAttempt::transaction() const
{
    return m_transaction;
}

const ShardRow &CommitAttempt::row() const
{
    return m_row;
}

bool CommitAttempt::needsReadBack() const
{
    return m_needsReadBack;
}

void CommitAttempt::sent(TimePoint now)
{
    if (!m_sent) {
        m_firstSentAt = now;
    }
    m_sent = true;
    m_sentAt = now;
}

CommitAttempt::Verdict CommitAttempt::onTransact(const TransactOutcome &outcome)
{
    if (const auto *committed = std::get_if<Committed>(&outcome)) {
        m_version = committed->version;
        m_leaseStart = m_sentAt;
        return Verdict::Applied;
    }
    if (const auto *conflict = std::get_if<Conflict>(&outcome)) {
        return onConflict(conflict->key);
    }
    if (std::holds_alternative<ReplyLost>(outcome)) {
        m_ambiguous = true;
        m_needsReadBack = true;
    }
    return m_ambiguous ? Verdict::Undecided : Verdict::NotApplied;
}

CommitAttempt::Verdict CommitAttempt::onConflict(const std::string &key)
{
    m_sheetConflict = key == SheetRowKey;
    if (m_ambiguous) {
        m_needsReadBack = true;
        return Verdict::Undecided;
    }
    return m_sheetConflict ? Verdict::SheetChanged : Verdict::Deposed;
}

CommitAttempt::Verdict CommitAttempt::onReadBack(const std::vector<Row> &rows)
{
    m_needsReadBack = false;
    const std::uint64_t version = rows.empty() ? 0 : rows.front().version;
    if (version == m_expectedVersion) {
        // An earlier transmission may still arrive, but a sheet row that changed never gets its former version back.
        return m_sheetConflict ? Verdict::SheetChanged : Verdict::Undecided;
    }
    if (!rows.empty()) {
        const Result<ShardRow> row = decodeShardRow(rows.front().value);
        if (isOk(row) && valueOf(row).token == m_row.token) {
            m_version = version;
            m_leaseStart = m_firstSentAt;
            return Verdict::Applied;
        }
    }
    return Verdict::Deposed;
}

std::uint64_t CommitAttempt::version() const
{
    return m_version;
}

TimePoint CommitAttempt::leaseStart() const
{
    return m_leaseStart;
}

} // namespace Carobflow
