#pragma once

#include "carobflow/connectors/watchabletable.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// The leader's sequence of writes. Every write replaces the head row on condition that it is the one that this ledger
/// wrote last. So a write of a deposed leader fails, and so does a delayed copy of an earlier write whose reply was
/// lost, which would otherwise bring back old rows.
class Ledger
{
public:
    struct Options {
        /// Name and address of this process, for the leader's row.
        std::string name;
        std::string address;
        /// Tells that a newer leader is known, so that waiting for the store is of no use.
        std::function<bool(Epoch)> isDeposed;
    };

    Ledger(Options options, WatchableTable &table);

    /// Becomes the leader with the next epoch. `lastKnown` is the epoch of the leader that is to be replaced. Errors:
    /// Conflict when another process was faster, Unavailable when the outcome is not known; the caller may try again.
    boost::asio::awaitable<Status> takeOver(Epoch lastKnown);

    [[nodiscard]] Epoch epoch() const
    {
        return m_epoch;
    }

    /// What the mutations of one commit may hold beside what the ledger adds to it.
    [[nodiscard]] TransactionLimits commitLimits() const;

    /// Applies mutations once; tries until the outcome is certain. Errors: Conflict when this process leads no more.
    boost::asio::awaitable<Status> commit(std::vector<Mutation> mutations);

    /// The mutation that tells other processes that the leader lives.
    [[nodiscard]] Mutation renewal();

    /// The mutation that gives leadership up.
    [[nodiscard]] Mutation resignation() const;

    /// When the store last confirmed that this process leads.
    [[nodiscard]] TimePoint confirmedAt() const
    {
        return m_confirmedAt;
    }

    /// Writes whose reply was lost, and refused writes, since the start.
    [[nodiscard]] std::uint64_t retries() const
    {
        return m_retries;
    }

private:
    [[nodiscard]] std::string headValue(std::uint64_t token) const;
    [[nodiscard]] std::string leaderValue(const std::string &address) const;
    /// Finds out from the head row whether the write with this token was applied. NotFound when it was not.
    boost::asio::awaitable<Status> findToken(std::uint64_t token);

    Options m_options;
    WatchableTable &m_table;
    Epoch m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_renewal = 0;
    std::uint64_t m_headVersion = 0;
    std::uint64_t m_retries = 0;
    TimePoint m_confirmedAt;
};

} // namespace Carobflow
