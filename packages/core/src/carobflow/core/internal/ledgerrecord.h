#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/describe/class.hpp>

namespace Carobflow
{

/// A job was accepted.
struct JobSubmitted {
    static constexpr std::string_view Type = "job-submitted";
    JobSpec spec;
};
BOOST_DESCRIBE_STRUCT(JobSubmitted, (), (spec))

/// A newer sheet changed a known job, or lists a job again that an earlier sheet had dropped.
struct JobRevised {
    static constexpr std::string_view Type = "job-revised";
    JobSpec spec;
};
BOOST_DESCRIBE_STRUCT(JobRevised, (), (spec))

/// A job is cancelled; if it is running, it is stopped first.
struct JobCancelRequested {
    static constexpr std::string_view Type = "job-cancel-requested";
    std::string job;
    std::string reason;
    bool bySheet = false;
};
BOOST_DESCRIBE_STRUCT(JobCancelRequested, (), (job, reason, bySheet))

/// A job cannot run on any host.
struct JobUnrunnable {
    static constexpr std::string_view Type = "job-unrunnable";
    std::string job;
    std::string reason;
};
BOOST_DESCRIBE_STRUCT(JobUnrunnable, (), (job, reason))

/// A job that ended long ago was removed from the state.
struct JobForgotten {
    static constexpr std::string_view Type = "job-forgotten";
    std::string job;
};
BOOST_DESCRIBE_STRUCT(JobForgotten, (), (job))

/// A job was assigned to a host.
struct TaskAssigned {
    static constexpr std::string_view Type = "task-assigned";
    std::string job;
    std::string host;
    Fence fence = 0;
};
BOOST_DESCRIBE_STRUCT(TaskAssigned, (), (job, host, fence))

/// An assigned task is to write a checkpoint and stop, so that its job can run elsewhere.
struct TaskStopRequested {
    static constexpr std::string_view Type = "task-stop-requested";
    std::string job;
    Fence fence = 0;
    std::string reason;
};
BOOST_DESCRIBE_STRUCT(TaskStopRequested, (), (job, fence, reason))

/// A running task wrote a checkpoint.
struct CheckpointRecorded {
    static constexpr std::string_view Type = "checkpoint-recorded";
    std::string job;
    Fence fence = 0;
    std::string checkpoint;
    std::int64_t progressPermille = 0;
};
BOOST_DESCRIBE_STRUCT(CheckpointRecorded, (), (job, fence, checkpoint, progressPermille))

/// A task has ended: its host reported so, or the wait of design section 8 has passed (Lost).
struct TaskEnded {
    static constexpr std::string_view Type = "task-ended";
    std::string job;
    Fence fence = 0;
    ReportedState outcome = ReportedState::Lost;
    std::string reason;
    /// Empty when the task wrote none; an earlier checkpoint then stays valid.
    std::string checkpoint;
    std::int64_t progressPermille = 0;
    std::string result;
    std::int64_t runMilliseconds = 0;
};
BOOST_DESCRIBE_STRUCT(TaskEnded,
                      (),
                      (job, fence, outcome, reason, checkpoint, progressPermille, result, runMilliseconds))

/// A host has a capacity that does not fit into any capacity seen before.
struct CapacitySeen {
    static constexpr std::string_view Type = "capacity-seen";
    Resources capacity;
};
BOOST_DESCRIBE_STRUCT(CapacitySeen, (), (capacity))

/// All jobs of this version of the sheet were submitted, and those that it no longer lists were cancelled.
struct SheetApplied {
    static constexpr std::string_view Type = "sheet-applied";
    SheetVersion version = 0;
};
BOOST_DESCRIBE_STRUCT(SheetApplied, (), (version))

/// One decision of a shard's leader. Fractions are stored as integers because decimal text does not round-trip every
/// double.
using LedgerRecord = std::variant<JobSubmitted,
                                  JobRevised,
                                  JobCancelRequested,
                                  JobUnrunnable,
                                  JobForgotten,
                                  TaskAssigned,
                                  TaskStopRequested,
                                  CheckpointRecorded,
                                  TaskEnded,
                                  CapacitySeen,
                                  SheetApplied>;

/// The job that a record refers to; empty when it refers to none.
std::string_view jobOf(const LedgerRecord &record);

/// Encodes records as the value of a ledger row.
std::string encodeLedgerRow(const std::vector<LedgerRecord> &records);

/// Errors: Internal when the text is no ledger row of this format.
Result<std::vector<LedgerRecord>> decodeLedgerRow(std::string_view text);

} // namespace Carobflow
