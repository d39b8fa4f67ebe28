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

/// A newer sheet describes a known job differently, or lists again a job that an earlier sheet had dropped.
struct JobRevised {
    static constexpr std::string_view Type = "job-revised";
    JobSpec spec;
};
BOOST_DESCRIBE_STRUCT(JobRevised, (), (spec))

/// A job is to end; a job that runs is stopped first.
struct JobCancelRequested {
    static constexpr std::string_view Type = "job-cancel-requested";
    std::string job;
    std::string reason;
    bool bySheet = false;
};
BOOST_DESCRIBE_STRUCT(JobCancelRequested, (), (job, reason, bySheet))

/// A job can run on no host.
struct JobUnrunnable {
    static constexpr std::string_view Type = "job-unrunnable";
    std::string job;
    std::string reason;
};
BOOST_DESCRIBE_STRUCT(JobUnrunnable, (), (job, reason))

/// A job that ended long ago is dropped from the state.
struct JobForgotten {
    static constexpr std::string_view Type = "job-forgotten";
    std::string job;
};
BOOST_DESCRIBE_STRUCT(JobForgotten, (), (job))

/// A job is to run on a host.
struct TaskAssigned {
    static constexpr std::string_view Type = "task-assigned";
    std::string job;
    std::string host;
    Fence fence = 0;
};
BOOST_DESCRIBE_STRUCT(TaskAssigned, (), (job, host, fence))

/// An assigned task is to write a checkpoint and stop, and its job to run elsewhere.
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

/// A task runs no more: its host reported so, or the wait of design section 8 has passed (Lost).
struct TaskEnded {
    static constexpr std::string_view Type = "task-ended";
    std::string job;
    Fence fence = 0;
    ReportedState outcome = ReportedState::Lost;
    std::string reason;
    /// Empty when the task wrote none; an earlier one stays valid.
    std::string checkpoint;
    std::int64_t progressPermille = 0;
    std::string result;
    std::int64_t runMilliseconds = 0;
};
BOOST_DESCRIBE_STRUCT(TaskEnded,
                      (),
                      (job, fence, outcome, reason, checkpoint, progressPermille, result, runMilliseconds))

/// A host offers more of something than every host before it.
struct CapacitySeen {
    static constexpr std::string_view Type = "capacity-seen";
    Resources capacity;
};
BOOST_DESCRIBE_STRUCT(CapacitySeen, (), (capacity))

/// The jobs of this version of the sheet are submitted, and those that it no longer lists are cancelled.
struct SheetApplied {
    static constexpr std::string_view Type = "sheet-applied";
    SheetVersion version = 0;
};
BOOST_DESCRIBE_STRUCT(SheetApplied, (), (version))

/// One decision of a shard's leader. Fractions are integers because decimal text does not give every double back.
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

/// The job that a record is about; empty when it is about none.
std::string_view jobOf(const LedgerRecord &record);

/// The value of a ledger row.
std::string encodeLedgerRow(const std::vector<LedgerRecord> &records);

/// Errors: Internal when the text is no ledger row of this format.
Result<std::vector<LedgerRecord>> decodeLedgerRow(std::string_view text);

} // namespace Carobflow
