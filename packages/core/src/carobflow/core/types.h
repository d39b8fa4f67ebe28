#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>

namespace Carobflow
{

/// A point in time on a monotonic clock. Not comparable between machines or processes.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// The version of an accepted sheet; it increases monotonically, and 0 means that no sheet has been accepted.
using SheetVersion = std::uint64_t;
/// The term number of a shard's leader; it increases with each change of leadership.
using Epoch = std::uint64_t;
/// The fencing token of an assignment; it increases with each assignment of the same job.
using Fence = std::uint64_t;
/// The index of a shard, from 0.
using ShardId = std::uint32_t;

/// An amount of a host's resources.
struct Resources {
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);

    /// True when each amount is at most the corresponding amount of the capacity.
    [[nodiscard]] bool fitsIn(const Resources &capacity) const;
};
BOOST_DESCRIBE_STRUCT(Resources, (), (cpuMillis, memoryMiB, accelerators))

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/// The element-wise maximum.
Resources maxOf(const Resources &left, const Resources &right);

enum class JobKind { Batch, Check };
BOOST_DESCRIBE_ENUM(JobKind, Batch, Check)

enum class Urgency { Normal, Urgent };
BOOST_DESCRIBE_ENUM(Urgency, Normal, Urgent)

enum class JobState { Accepted, Assigned, Running, Evicting, Checkpointed, Finished, Failed, Cancelled, Unrunnable };
BOOST_DESCRIBE_ENUM(
    JobState, Accepted, Assigned, Running, Evicting, Checkpointed, Finished, Failed, Cancelled, Unrunnable)

/// The lower-case name of a state as used in the API.
std::string_view jobStateName(JobState state);

/// True when a job in this state will never run again.
bool isTerminal(JobState state);

/// A job as submitted by a team or listed in the sheet. Resources and run time are declared and often inaccurate.
struct JobSpec {
    std::string id;
    std::string team;
    std::string jobClass;
    JobKind kind = JobKind::Batch;
    Urgency urgency = Urgency::Normal;
    Resources declared;
    /// Declared run time.
    std::int64_t runSeconds = 0;
    /// Wall-clock deadline in seconds since the Unix epoch; 0 means none.
    std::int64_t deadlineUnixSeconds = 0;
    /// True when the job is listed in the sheet; a later sheet without the job cancels it.
    bool fromSheet = false;

    bool operator==(const JobSpec &) const = default;
};
BOOST_DESCRIBE_STRUCT(JobSpec,
                      (),
                      (id, team, jobClass, kind, urgency, declared, runSeconds, deadlineUnixSeconds, fromSheet))

/// The location and capacity of a host.
struct HostInfo {
    std::string name;
    std::string dataCentre;
    std::string rack;
    Resources capacity;

    bool operator==(const HostInfo &) const = default;
};
BOOST_DESCRIBE_STRUCT(HostInfo, (), (name, dataCentre, rack, capacity))

/// The shard of a host or job, from a hash that is the same in every process and build.
ShardId shardOf(std::string_view name, std::uint32_t shardCount);

/// A 64-bit hash that is the same in every process and build.
std::uint64_t stableHash(std::string_view text);

} // namespace Carobflow
