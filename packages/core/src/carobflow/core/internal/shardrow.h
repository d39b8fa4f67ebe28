#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <string>
#include <string_view>

#include <boost/describe/class.hpp>

namespace Carobflow
{

/// The value of the row shard/<n>, which decides who leads the shard.
struct ShardRow {
    Epoch epoch = 0;
    std::string leader;
    std::string address;
    /// Grows with each commit.
    std::uint64_t beat = 0;
    /// Unique to the commit that wrote the row.
    std::string token;
    /// The last ledger row.
    std::uint64_t sequence = 0;
    /// The ledger row up to which the snapshot holds everything; 0 for no snapshot.
    std::uint64_t snapshotSequence = 0;
    /// Ledger rows up to this one are deleted.
    std::uint64_t trimmedSequence = 0;
    /// True when the leader handed the shard over, so that a candidate need not wait for the lease.
    bool released = false;
};
BOOST_DESCRIBE_STRUCT(ShardRow,
                      (),
                      (epoch, leader, address, beat, token, sequence, snapshotSequence, trimmedSequence, released))

std::string encodeShardRow(const ShardRow &row);

/// Errors: Internal when the text is no shard row of this format.
Result<ShardRow> decodeShardRow(std::string_view text);

/// The row that decides on the leadership of a shard.
std::string shardRowKey(ShardId shard);

/// The prefix of the keys of a shard's ledger rows.
std::string ledgerPrefix(ShardId shard);

/// The key of a ledger row; key order is the order of sequences.
std::string ledgerRowKey(ShardId shard, std::uint64_t sequence);

/// The object key of a snapshot.
std::string snapshotKey(ShardId shard, std::uint64_t sequence);

} // namespace Carobflow
