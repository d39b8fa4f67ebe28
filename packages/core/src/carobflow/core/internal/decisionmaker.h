#pragma once

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/hostmessages.h"
#include "carobflow/core/internal/colocationpolicy.h"
#include "carobflow/core/internal/hostregistry.h"
#include "carobflow/core/internal/ledgerrecord.h"
#include "carobflow/core/internal/requestqueue.h"
#include "carobflow/core/internal/sheetview.h"
#include "carobflow/core/internal/urgentroom.h"
#include "carobflow/core/shardstate.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// Turns reports, requests, the sheet and the passing of time into the records of the next commit. A batch holds at
/// most one record for a job, so that each rests on committed state alone.
class DecisionMaker
{
public:
    DecisionMaker(BatchScheduler::Options options, const SheetView &sheet, RequestQueue &requests);

    /// Forgets what it learned under an earlier leadership.
    void reset();

    /// Takes the ended tasks and the service windows of a report into account.
    void onReport(TimePoint now, const ShardState &state, const HostEntry &host, const HostReport &report);

    ColocationPolicy &policy();

    /// Puts the records of a commit that was not applied back, but for its assignments; they come first in the next
    /// batch.
    void carryOver(std::vector<LedgerRecord> records);

    /// The records of the next commit.
    std::vector<LedgerRecord>
    decide(TimePoint now, std::int64_t unixSeconds, const ShardState &state, HostRegistry &hosts);

    /// True when the next batch is likely not empty.
    [[nodiscard]] bool hasInput() const;

private:
    struct EndedTask {
        TaskReport report;
        std::string host;
    };

    /// Everything that the steps of one decision share.
    struct Batch {
        TimePoint now;
        std::int64_t unixSeconds = 0;
        const ShardState &state;
        HostRegistry &hosts;
        std::vector<LedgerRecord> records;
        std::set<std::string, std::less<>> touched;

        /// The number of records up to which the current step may fill the batch.
        std::size_t limit = 0;

        [[nodiscard]] bool isFull() const;
        [[nodiscard]] bool canTouch(std::string_view job) const;
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
    bool settleRequest(Batch &batch, const JobRequest &request);
    void addSheetChanges(Batch &batch);
    void addEvictions(Batch &batch);
    void addPolicyEvictions(Batch &batch);
    void addCheckpoints(Batch &batch);
    void addForgotten(Batch &batch);
    void addCapacities(Batch &batch);
    void addUnrunnable(Batch &batch);
    void addAssignments(Batch &batch);
    std::vector<WaitingJob> waitingJobs(const Batch &batch, const std::vector<SchedulableHost> &hosts) const;
    void addUrgentRoom(Batch &batch, const std::vector<WaitingJob> &urgent, const std::vector<SchedulableHost> &hosts);

    void noteFailedStart(Batch &batch, const EndedTask &ended);
    std::vector<SchedulableHost> assignableHosts(const Batch &batch) const;
    std::vector<std::string>
    avoidedHosts(const Batch &batch, const JobRecord &job, const std::vector<SchedulableHost> &hosts) const;

    BatchScheduler m_scheduler;
    ColocationPolicy m_policy;
    UrgentRoom m_urgentRoom;
    const SheetView &m_sheet;
    RequestQueue &m_requests;
    std::vector<LedgerRecord> m_carriedOver;
    /// True when the latest batch held records: they may allow further decisions, such as the start of a new job.
    bool m_decidedLately = false;
    std::map<std::string, EndedTask, std::less<>> m_ended;
    /// Hosts that are not chosen again for a job before a time.
    std::map<std::string, std::map<std::string, TimePoint>, std::less<>> m_avoidUntil;
    /// Jobs that wait for some time after a failure.
    std::map<std::string, TimePoint, std::less<>> m_notBefore;
};

} // namespace Carobflow
