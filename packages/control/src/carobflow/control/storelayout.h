#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Carobflow::StoreLayout
{

/// Rows of this system in the store. Keys are "table/key".
inline constexpr std::string_view LeaderKey = "control/leader";
inline constexpr std::string_view LedgerHeadKey = "ledger/head";
inline constexpr std::string_view ControlPrefix = "control/";
/// Submitted jobs; each row is written once.
inline constexpr std::string_view JobPrefix = "jobs/";
/// Progress of each job; written by the leader only. That of a large job has several rows.
inline constexpr std::string_view ProgressPrefix = "progress/";
/// Hosts on which runs may have been placed: the agent's address and the last leader that granted leases there.
inline constexpr std::string_view HostPrefix = "hosts/";
/// Submissions and cancellations that entries wrote while no leader could be reached.
inline constexpr std::string_view InboxPrefix = "inbox/";
/// Cancellations of jobs that were not known; written by the leader only.
inline constexpr std::string_view TombstonePrefix = "tombstones/";
/// Rows that operators write.
inline constexpr std::string_view OperatorPrefix = "operators/";

/// Higher epochs are not from a leader: the platform's fencing tokens are JSON numbers, exact up to here only.
inline constexpr std::uint64_t HighestEpoch = 9'007'199'254'740'992;

inline std::string keyOf(std::string_view prefix, std::string_view name)
{
    return std::string(prefix).append(name);
}

/// One of the rows that hold the tasks of a large job, counted from 1.
inline std::string taskRowKey(std::string_view job, std::size_t number)
{
    return keyOf(ProgressPrefix, job).append(".").append(std::to_string(number));
}

/// The inbox row that asks for the cancellation of a job.
inline std::string cancellationKey(std::string_view job)
{
    return keyOf(InboxPrefix, job).append(".cancel");
}

} // namespace Carobflow::StoreLayout
