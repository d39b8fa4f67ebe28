#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <string>
#include <string_view>

#include <boost/describe/class.hpp>

namespace Carobflow
{

/// The value of the row shard/<n>, which determines the leader of the shard.
struct ShardRow {
    Epoch epoch = 0;
    std::string leader;
    std::string address;
    /// Incremented by each commit.
    std::uint64_t beat = 0;
    /// Unique to the commit that wrote the row.
    std::string token;
    /// Sequence of the last ledger row.
    std::uint64_t sequence = 0;
    /// Sequence of the last ledger row that the snapshot includes; 0 for no snapshot.
    std::uint64_t snapshotSequence = 0;
    /// Ledger rows up to this sequence are deleted.
    std::uint64_t trimmedSequence = 0;
    /// True when the leader has given up the shard, so that a candidate need not wait for the lease to expire.
    bool released = false;
};
BOOST_DESCRIBE_STRUCT(ShardRow,
                      (),
                      (epoch, leader, address, beat, token, sequence, snapshotSequence, trimmedSequence, released))

std::string encodeShardRow(const ShardRow &row);

/// Errors: Internal when the text is no shard row of this format.
Result<ShardRow> decodeShardRow(std::string_view text);

/// The key of the row that determines the leader of a shard.
std::string shardRowKey(ShardId shard);

/// The prefix of the keys of a shard's ledger rows.
std::string ledgerPrefix(ShardId shard);

/// The key of a ledger row. Keys sort by sequence.
std::string ledgerRowKey(ShardId shard, std::uint64_t sequence);

/// The object key of a snapshot.
std::string snapshotKey(ShardId shard, std::uint64_t sequence);

} // namespace Carobflow
