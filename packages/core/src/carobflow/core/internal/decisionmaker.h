#pragma once

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/hostmessages.h"
#include "carobflow/core/internal/colocationpolicy.h"
#include "carobflow/core/internal/hostregistry.h"
#include "carobflow/core/internal/ledgerrecord.h"
#include "carobflow/core/internal/preemptionplanner.h"
#include "carobflow/core/internal/requestqueue.h"
#include "carobflow/core/internal/sheetview.h"
#include "carobflow/core/shardstate.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// Derives the records of the next commit from host reports, client requests, the sheet and elapsed time. A batch holds
/// at most one record per job, so that each record depends on committed state only.
class DecisionMaker
{
public:
    DecisionMaker(BatchScheduler::Options options, const SheetView &sheet, RequestQueue &requests);

    /// Discards everything learned under an earlier leadership.
    void reset();

    /// Records the ended tasks and the service windows of a report.
    void onReport(TimePoint now, const ShardState &state, const HostEntry &host, const HostReport &report);

    ColocationPolicy &policy();

    /// Returns the records of a commit that was not applied, except its assignments, to the front of the next batch.
    void carryOver(std::vector<LedgerRecord> records);

    /// The records of the next commit.
    std::vector<LedgerRecord>
    decide(TimePoint now, std::int64_t unixSeconds, const ShardState &state, HostRegistry &hosts);

    /// True when the next batch is likely to hold records.
    [[nodiscard]] bool hasInput() const;

private:
    struct EndedTask {
        TaskReport report;
        std::string host;
    };

    /// The context shared by the steps of one decision.
    struct Batch {
        TimePoint now;
        std::int64_t unixSeconds = 0;
        const ShardState &state;
        HostRegistry &hosts;
        std::vector<LedgerRecord> records;
        std::set<std::string, std::less<>> jobsInBatch;

        /// The number of records up to which the current step may fill the batch.
        std::size_t limit = 0;

        [[nodiscard]] bool isFull() const;
        [[nodiscard]] bool canAddFor(std::string_view job) const;
        void add(LedgerRecord record);
    };

    /// A step and the number of records up to which it may fill the batch.
    struct Step {
        void (DecisionMaker::*run)(Batch &batch);
        std::size_t limit = 0;
    };

    void addEndedTasks(Batch &batch);
    void addLostTasks(Batch &batch);
    void addRequests(Batch &batch);
    void addRequestsOf(Batch &batch, bool urgent);
    bool processRequest(Batch &batch, const JobRequest &request);
    void addSheetChanges(Batch &batch);
    void addEvictions(Batch &batch);
    void addPolicyEvictions(Batch &batch);
    void addCheckpoints(Batch &batch);
    void addForgotten(Batch &batch);
    void addCapacities(Batch &batch);
    void addUnrunnable(Batch &batch);
    void addAssignments(Batch &batch);
    std::vector<WaitingJob> waitingJobs(const Batch &batch, const std::vector<SchedulableHost> &hosts) const;
    void addPreemptions(Batch &batch, const std::vector<WaitingJob> &urgent, const std::vector<SchedulableHost> &hosts);

    void updateBackoff(Batch &batch, const EndedTask &ended);
    std::vector<SchedulableHost> assignableHosts(const Batch &batch) const;
    std::vector<std::string>
    avoidedHosts(const Batch &batch, const JobRecord &job, const std::vector<SchedulableHost> &hosts) const;

    BatchScheduler m_scheduler;
    ColocationPolicy m_policy;
    PreemptionPlanner m_preemption;
    const SheetView &m_sheet;
    RequestQueue &m_requests;
    std::vector<LedgerRecord> m_carriedOver;
    /// True when the last batch held records, which may allow further decisions such as the assignment of a new job.
    bool m_lastBatchHadRecords = false;
    std::map<std::string, EndedTask, std::less<>> m_ended;
    /// For each job, hosts that are not chosen for it again before the given time.
    std::map<std::string, std::map<std::string, TimePoint>, std::less<>> m_avoidUntil;
    /// Jobs that are not assigned again before the given time because they have failed.
    std::map<std::string, TimePoint, std::less<>> m_notBefore;
};

} // namespace Carobflow
