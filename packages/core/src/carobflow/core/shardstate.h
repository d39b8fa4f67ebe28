#pragma once

#include "carobflow/core/internal/ledgerrecord.h"
#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/describe/class.hpp>

namespace Carobflow
{

/// A job as recorded in the ledger. The state is never Running, because only host reports tell whether a task runs.
struct JobRecord {
    JobSpec spec;
    JobState state = JobState::Accepted;
    std::string host;
    Fence fence = 0;
    /// The last recorded checkpoint, the fence of the assignment that wrote it, and the progress reported with it.
    std::string checkpoint;
    Fence checkpointFence = 0;
    std::int64_t progressPermille = 0;
    /// True when the current assignment started from a checkpoint, so that its run time covers part of the job only.
    bool resumed = false;
    std::string reason;
    std::string result;
    std::uint32_t evictions = 0;
    bool cancelRequested = false;
    bool cancelledBySheet = false;
    /// Position in submission order.
    std::uint64_t order = 0;
    /// Hosts on which the job failed since it last finished, and those of them that were not on trial at that time.
    std::set<std::string> failedHosts;
    std::set<std::string> soundFailedHosts;
    std::uint32_t failures = 0;

    bool operator==(const JobRecord &) const = default;
};
BOOST_DESCRIBE_STRUCT(JobRecord,
                      (),
                      (spec,
                       state,
                       host,
                       fence,
                       checkpoint,
                       checkpointFence,
                       progressPermille,
                       resumed,
                       reason,
                       result,
                       evictions,
                       cancelRequested,
                       cancelledBySheet,
                       order,
                       failedHosts,
                       soundFailedHosts,
                       failures))

/// Moving average of the measured run time of a job class.
struct ClassRunTime {
    std::int64_t milliseconds = 0;
    std::uint64_t runs = 0;

    bool operator==(const ClassRunTime &) const = default;
};
BOOST_DESCRIBE_STRUCT(ClassRunTime, (), (milliseconds, runs))

/// The content of a snapshot.
struct ShardContent {
    Fence lastFence = 0;
    std::uint64_t nextOrder = 0;
    SheetVersion sheetVersion = 0;
    std::map<std::string, JobRecord, std::less<>> jobs;
    /// For each host, the jobs that have failed there since a job last finished there.
    std::map<std::string, std::set<std::string>, std::less<>> hostFaults;
    std::map<std::string, ClassRunTime, std::less<>> runTimes;
    /// Capacities of all hosts ever seen, except those that fit into another entry.
    std::vector<Resources> capacities;
};
BOOST_DESCRIBE_STRUCT(ShardContent, (), (lastFence, nextOrder, sheetVersion, jobs, hostFaults, runTimes, capacities))

/// The jobs of one shard as recorded in its ledger. Applying the same records in the same order gives the same state in
/// every process.
class ShardState
{
public:
    /// Number of different hosts on which a job must fail before the fault is attributed to the job.
    static constexpr std::size_t JobFaultHosts = 3;
    /// Number of different jobs that must fail on a host before the host is put on trial, that is, limited to one task.
    static constexpr std::size_t HostFaultJobs = 3;
    /// Failures on hosts on trial are not counted against a job, because the host may be at fault. From this number of
    /// failures on they are; otherwise a few faulty jobs could put every host on trial and be retried without end.
    static constexpr std::uint32_t MaxFailures = 10;

    /// Applies one record. A record that is inconsistent with the state violates an invariant.
    void apply(const LedgerRecord &record);

    /// The state as text; equal states give equal text.
    [[nodiscard]] std::string snapshot() const;

    /// Errors: Internal when the text is no snapshot of this format.
    static Result<ShardState> restore(std::string_view text);

    [[nodiscard]] const JobRecord *find(std::string_view job) const;
    [[nodiscard]] const std::map<std::string, JobRecord, std::less<>> &jobs() const;

    /// Jobs that wait to be assigned.
    [[nodiscard]] const std::set<std::string, std::less<>> &pending() const;

    /// Jobs that may run somewhere: assigned or evicting.
    [[nodiscard]] const std::set<std::string, std::less<>> &active() const;

    /// Ended jobs by their position in submission order.
    [[nodiscard]] const std::map<std::uint64_t, std::string> &ended() const;

    /// The job if the fence is that of its current assignment and the assignment has not ended; otherwise null.
    [[nodiscard]] const JobRecord *findActive(std::string_view job, Fence fence) const;

    [[nodiscard]] Fence lastFence() const;
    [[nodiscard]] SheetVersion sheetVersion() const;
    [[nodiscard]] bool isOnTrial(std::string_view host) const;

    /// The largest capacities of all hosts ever seen. A job that fits into none of them cannot run anywhere; one that
    /// fits may be waiting for a host that does not report at present.
    [[nodiscard]] const std::vector<Resources> &capacities() const;

    /// The measured run time of a class; null when none of its jobs has been measured.
    [[nodiscard]] const ClassRunTime *runTime(std::string_view jobClass) const;

private:
    void applyRecord(const JobSubmitted &record);
    void applyRecord(const JobRevised &record);
    void applyRecord(const JobCancelRequested &record);
    void applyRecord(const JobUnrunnable &record);
    void applyRecord(const JobForgotten &record);
    void applyRecord(const TaskAssigned &record);
    void applyRecord(const TaskStopRequested &record);
    void applyRecord(const CheckpointRecorded &record);
    void applyRecord(const TaskEnded &record);
    void applyRecord(const CapacitySeen &record);
    void applyRecord(const SheetApplied &record);

    JobRecord &existing(const std::string &job);
    JobRecord &current(const std::string &job, Fence fence);
    void setState(JobRecord &job, JobState state);
    void returnToPending(JobRecord &job);
    void finish(JobRecord &job, const TaskEnded &record);
    void fail(JobRecord &job, const TaskEnded &record);

    ShardContent m_content;
    std::set<std::string, std::less<>> m_pending;
    std::set<std::string, std::less<>> m_active;
    std::map<std::uint64_t, std::string> m_ended;
};

} // namespace Carobflow
