#include "carobflow/core/internal/shardrow.h"

#include <boost/json.hpp>

namespace Carobflow
{

namespace
{

/// Decimal digits of the largest 64-bit integer.
constexpr std::size_t SequenceDigits = 20;

std::string padded(std::uint64_t sequence)
{
    const std::string digits = std::to_string(sequence);
    return std::string(SequenceDigits - digits.size(), '0') + digits;
}

} // namespace

std::string encodeShardRow(const ShardRow &row)
{
    return boost::json::serialize(boost::json::value_from(row));
}

Result<ShardRow> decodeShardRow(std::string_view text)
{
    // Boost.JSON reports malformed content by exceptions; they are converted to errors here.
    try {
        return boost::json::value_to<ShardRow>(boost::json::parse(text));
    } catch (const std::exception &exception) {
        return Error{ErrorKind::Internal,
                     std::string("unreadable shard row: run the version that wrote it: ") + exception.what()};
    }
}

std::string shardRowKey(ShardId shard)
{
    return "shard/" + std::to_string(shard);
}

std::string ledgerPrefix(ShardId shard)
{
    return "ledger/" + std::to_string(shard) + "/";
}

std::string ledgerRowKey(ShardId shard, std::uint64_t sequence)
{
    return ledgerPrefix(shard) + padded(sequence);
}

std::string snapshotKey(ShardId shard, std::uint64_t sequence)
{
    return "snapshot/" + std::to_string(shard) + "/" + padded(sequence);
}

} // namespace Carobflow
