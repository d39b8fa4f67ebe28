#include "carobflow/core/types.h"

#include <algorithm>

#include <boost/uuid/detail/sha1.hpp>

namespace Carobflow
{

Resources &Resources::operator+=(const Resources &other)
{
    cpuMillis += other.cpuMillis;
    memoryMiB += other.memoryMiB;
    accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpuMillis -= other.cpuMillis;
    memoryMiB -= other.memoryMiB;
    accelerators -= other.accelerators;
    return *this;
}

bool Resources::fitsIn(const Resources &capacity) const
{
    return cpuMillis <= capacity.cpuMillis && memoryMiB <= capacity.memoryMiB && accelerators <= capacity.accelerators;
}

Resources operator+(Resources left, const Resources &right)
{
    left += right;
    return left;
}

Resources operator-(Resources left, const Resources &right)
{
    left -= right;
    return left;
}

Resources maxOf(const Resources &left, const Resources &right)
{
    return {.cpuMillis = std::max(left.cpuMillis, right.cpuMillis),
            .memoryMiB = std::max(left.memoryMiB, right.memoryMiB),
            .accelerators = std::max(left.accelerators, right.accelerators)};
}

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Accepted:
        return "accepted";
    case JobState::Assigned:
        return "assigned";
    case JobState::Running:
        return "running";
    case JobState::Evicting:
        return "evicting";
    case JobState::Checkpointed:
        return "checkpointed";
    case JobState::Finished:
        return "finished";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Unrunnable:
        return "unrunnable";
    }
    return "unknown";
}

bool isTerminal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled
        || state == JobState::Unrunnable;
}

std::uint64_t stableHash(std::string_view text)
{
    // std::hash may differ between builds; SHA-1 does not, and its cost is acceptable outside the request path.
    boost::uuids::detail::sha1 sha1;
    sha1.process_bytes(text.data(), text.size());
    boost::uuids::detail::sha1::digest_type digest;
    sha1.get_digest(digest);
    return (std::uint64_t{digest[0]} << 32U) | digest[1];
}

ShardId shardOf(std::string_view name, std::uint32_t shardCount)
{
    return shardCount <= 1 ? 0 : static_cast<ShardId>(stableHash(name) % shardCount);
}

} // namespace Carobflow
