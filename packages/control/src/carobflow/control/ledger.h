#pragma once

#include "carobflow/connectors/watchabletable.h"
#include "carobflow/core/types.h"
#include "carobflow/scheduler/termhistory.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <control.pb.h>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// The leader's sequence of writes to the store. Every write replaces the head row on condition that it still is the
/// one that this ledger wrote last. This rejects the writes of a deposed leader, and delayed copies of an earlier write
/// whose reply was lost, which would otherwise restore old rows.
class Ledger
{
public:
    struct Options {
        /// Name and address of this process, for the leader's row.
        std::string name;
        std::string address;
        /// Returns true when a leader newer than this epoch is known; commit() then stops retrying.
        std::function<bool(Epoch)> isDeposed;
        /// Time after which former terms are removed from the head row, because no lease of theirs can be left.
        Duration termRetention = Seconds(60);
    };

    Ledger(Options options, WatchableTable &table);

    /// Becomes the leader with an epoch above that of the head row and above `lastKnown`, the epoch of the leader to be
    /// replaced. When the head row cannot be read, the leader's row stands in for it. Errors: Conflict
    /// when another process was faster, Unavailable when the outcome is not known; the caller may retry.
    boost::asio::awaitable<Status> takeOver(Epoch lastKnown);

    [[nodiscard]] Epoch epoch() const
    {
        return m_epoch;
    }

    /// Limits for the mutations of one commit, after deduction of what the ledger adds to it.
    [[nodiscard]] TransactionLimits commitLimits() const;

    /// Applies mutations exactly once; retries until the outcome is certain. Errors: Conflict when this process is no
    /// longer the leader.
    boost::asio::awaitable<Status> commit(std::vector<Mutation> mutations);

    /// The mutation that renews leadership; other processes see from it that the leader is alive.
    [[nodiscard]] Mutation renewal();

    /// The mutation that resigns leadership, for want of contact to the hosts or for another reason.
    [[nodiscard]] Mutation resignation(bool lostContact) const;

    /// When the last write by which the store confirmed that this process leads was sent.
    [[nodiscard]] TimePoint confirmedAt() const
    {
        return m_confirmedAt;
    }

    /// The recent terms before this one.
    [[nodiscard]] const Scheduling::TermHistory &formerTerms() const
    {
        return m_formerTerms;
    }

    /// Number of writes that were refused or whose reply was lost.
    [[nodiscard]] std::uint64_t retries() const
    {
        return m_retries;
    }

private:
    /// The head row of a write that is sent at the given time.
    [[nodiscard]] std::string headValue(std::uint64_t token, TimePoint sentAt) const;
    /// Adds the term that the head row of the previous leader describes to the former ones.
    void recordFormerTerms(const carobflow::control::LedgerHead &before, TimePoint now);
    [[nodiscard]] std::string leaderValue(const std::string &address, bool lostContact = false) const;
    /// The epoch in the leader's row; 0 when there is none or it cannot be read.
    boost::asio::awaitable<Result<Epoch>> readLeaderEpoch();
    /// Determines from the head row whether the write with this token was applied. Errors: NotFound when it was not,
    /// Conflict when another process leads.
    boost::asio::awaitable<Status> findToken(std::uint64_t token);

    Options m_options;
    WatchableTable &m_table;
    Epoch m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_renewal = 0;
    std::uint64_t m_headVersion = 0;
    std::uint64_t m_retries = 0;
    TimePoint m_confirmedAt;
    Scheduling::TermHistory m_formerTerms;
};

} // namespace Carobflow
