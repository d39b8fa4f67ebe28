#include "carobflow/core/internal/decisionmaker.h"

#include <algorithm>
#include <utility>

namespace Carobflow
{

namespace
{

/// Maximum number of records in a batch; limits a ledger row to a few hundred kilobytes.
constexpr std::size_t MaxRecords = 500;

/// Maximum number of evictions per commit: enough to clear a shard's part of a data centre within seconds, and few
/// enough that the jobs with the least slack go first.
constexpr std::size_t MaxEvictions = 50;

/// Backoff after a host refused a start order, because it has no room or its state lags behind: for any job on that
/// host, and for the same job on that host.
constexpr Milliseconds RefusedHostBackoff{1000};
constexpr Milliseconds RefusedPairBackoff{10000};

/// Backoff after a failure of a job, multiplied by the number of its failures up to a maximum.
constexpr Milliseconds FailureBackoff{1000};
constexpr std::uint32_t MaxFailureBackoffFactor = 60;

/// Number of ended jobs kept in the state, to answer status calls and to detect repeated submissions of the same id.
constexpr std::size_t RetainedEndedJobs = 10000;

std::int64_t permille(double share)
{
    return static_cast<std::int64_t>(std::clamp(share, 0.0, 1.0) * 1000);
}

} // namespace

bool DecisionMaker::Batch::isFull() const
{
    return records.size() >= limit;
}

bool DecisionMaker::Batch::canAddFor(std::string_view job) const
{
    return !isFull() && !jobsInBatch.contains(job);
}

void DecisionMaker::Batch::add(LedgerRecord record)
{
    jobsInBatch.emplace(jobOf(record));
    records.push_back(std::move(record));
}

DecisionMaker::DecisionMaker(BatchScheduler::Options options, const SheetView &sheet, RequestQueue &requests)
    : m_scheduler(options)
    , m_policy(options.adaptivePolicy)
    , m_sheet(sheet)
    , m_requests(requests)
{
}

void DecisionMaker::reset()
{
    m_policy.reset();
    m_preemption.reset();
    m_carriedOver.clear();
    m_lastBatchHadRecords = false;
    m_ended.clear();
    m_avoidUntil.clear();
    m_notBefore.clear();
}

ColocationPolicy &DecisionMaker::policy()
{
    return m_policy;
}

void DecisionMaker::onReport(TimePoint now, const ShardState &state, const HostEntry &host, const HostReport &report)
{
    m_policy.onReport(now, state, m_sheet, host, report);
    for (const TaskReport &task : report.tasks) {
        const JobRecord *job = state.findActive(task.job, task.fence);
        if (job != nullptr && job->host == report.host.name && isEndedReport(task.state)) {
            m_ended.insert_or_assign(task.job, EndedTask{.report = task, .host = report.host.name});
        }
    }
}

void DecisionMaker::carryOver(std::vector<LedgerRecord> records)
{
    // Assignments depend on the sheet of that commit; records without a job are generated again while they are due.
    std::erase_if(records, [](const LedgerRecord &record) {
        return std::holds_alternative<TaskAssigned>(record) || jobOf(record).empty();
    });
    m_carriedOver = std::move(records);
}

bool DecisionMaker::hasInput() const
{
    return m_lastBatchHadRecords || !m_carriedOver.empty() || !m_ended.empty() || !m_requests.waiting().empty()
        || !m_policy.evictions().empty();
}

std::vector<LedgerRecord>
DecisionMaker::decide(TimePoint now, std::int64_t unixSeconds, const ShardState &state, HostRegistry &hosts)
{
    // Ended tasks come first because they free resources; assignments come last. The limits reserve a part of the batch
    // for each step, so that many cancellations or ended tasks do not block the other steps.
    static constexpr Step Steps[] = {{&DecisionMaker::addEndedTasks, 200},
                                     {&DecisionMaker::addLostTasks, 230},
                                     {&DecisionMaker::addRequests, 300},
                                     {&DecisionMaker::addSheetChanges, 350},
                                     {&DecisionMaker::addEvictions, 375},
                                     {&DecisionMaker::addPolicyEvictions, 380},
                                     {&DecisionMaker::addCheckpoints, 400},
                                     {&DecisionMaker::addForgotten, 410},
                                     {&DecisionMaker::addCapacities, 415},
                                     {&DecisionMaker::addUnrunnable, 420},
                                     {&DecisionMaker::addAssignments, MaxRecords}};
    Batch batch{.now = now,
                .unixSeconds = unixSeconds,
                .state = state,
                .hosts = hosts,
                .records = {},
                .jobsInBatch = {},
                .limit = MaxRecords};
    for (LedgerRecord &record : m_carriedOver) {
        batch.add(std::move(record));
    }
    m_carriedOver.clear();
    for (const Step &step : Steps) {
        batch.limit = step.limit;
        if (!batch.isFull()) {
            (this->*step.run)(batch);
        }
    }
    m_lastBatchHadRecords = !batch.records.empty();
    return std::move(batch.records);
}

void DecisionMaker::addEndedTasks(Batch &batch)
{
    for (auto entry = m_ended.begin(); entry != m_ended.end() && !batch.isFull();) {
        const TaskReport &report = entry->second.report;
        if (batch.jobsInBatch.contains(entry->first)) {
            ++entry;
            continue;
        }
        if (batch.state.findActive(report.job, report.fence) != nullptr) {
            updateBackoff(batch, entry->second);
            batch.add(TaskEnded{.job = report.job,
                                .fence = report.fence,
                                .outcome = report.state,
                                .reason = report.reason,
                                .checkpoint = report.checkpoint,
                                .progressPermille = permille(report.progress),
                                .result = report.result,
                                .runMilliseconds = report.runTime.count()});
        }
        entry = m_ended.erase(entry);
    }
}

void DecisionMaker::updateBackoff(Batch &batch, const EndedTask &ended)
{
    const std::string &job = ended.report.job;
    if (ended.report.state == ReportedState::Refused) {
        m_avoidUntil[job][ended.host] = batch.now + RefusedPairBackoff;
        if (HostEntry *host = batch.hosts.find(ended.host)) {
            host->refusedUntil = batch.now + RefusedHostBackoff;
        }
    } else if (ended.report.state == ReportedState::Failed) {
        m_notBefore[job] = batch.now
            + FailureBackoff * std::min(batch.state.find(job)->failures + 1, MaxFailureBackoffFactor);
    } else {
        m_avoidUntil.erase(job);
        m_notBefore.erase(job);
    }
}

void DecisionMaker::addLostTasks(Batch &batch)
{
    for (const std::string &id : batch.state.active()) {
        const JobRecord &job = *batch.state.find(id);
        if (batch.canAddFor(id) && batch.now >= batch.hosts.tasksEndBy(job.host)) {
            batch.add(TaskEnded{.job = id,
                                .fence = job.fence,
                                .outcome = ReportedState::Lost,
                                .reason = "host " + job.host + " was silent until its leases had lapsed",
                                .checkpoint = {},
                                .progressPermille = 0,
                                .result = {},
                                .runMilliseconds = 0});
        }
    }
}

void DecisionMaker::addRequests(Batch &batch)
{
    addRequestsOf(batch, true);
    addRequestsOf(batch, false);
}

void DecisionMaker::addRequestsOf(Batch &batch, bool urgent)
{
    std::deque<JobRequest> &waiting = m_requests.waiting();
    for (auto request = waiting.begin(); request != waiting.end() && !batch.isFull();) {
        const bool isUrgent = request->cancelledJob.empty() && request->spec.urgency == Urgency::Urgent;
        if (urgent && !isUrgent) {
            ++request;
            continue;
        }
        const std::string &job = request->cancelledJob.empty() ? request->spec.id : request->cancelledJob;
        if (batch.jobsInBatch.contains(job) || !processRequest(batch, *request)) {
            ++request;
        } else {
            request = waiting.erase(request);
        }
    }
}

bool DecisionMaker::processRequest(Batch &batch, const JobRequest &request)
{
    using Outcome = JobReply::Outcome;
    const bool cancels = !request.cancelledJob.empty();
    const JobRecord *job = batch.state.find(cancels ? request.cancelledJob : request.spec.id);
    if (!cancels) {
        if (job == nullptr) {
            batch.add(JobSubmitted{request.spec});
            m_requests.replyAfterCommit(request, Outcome::Accepted);
        } else if (job->spec == request.spec) {
            m_requests.reply(request.ticket, Outcome::Exists);
        } else {
            m_requests.reply(request.ticket, Outcome::Conflict, "another job has this id: choose a new id");
        }
    } else if (job == nullptr) {
        m_requests.reply(request.ticket, Outcome::NotFound, "no job has this id: check the id");
    } else if (isTerminal(job->state)) {
        m_requests.reply(request.ticket, Outcome::Ended, "the job is " + std::string(jobStateName(job->state)));
    } else if (job->cancelRequested && !job->cancelledBySheet) {
        m_requests.reply(request.ticket, Outcome::Cancelled);
    } else {
        batch.add(JobCancelRequested{.job = request.cancelledJob, .reason = "cancelled by a caller", .bySheet = false});
        m_requests.replyAfterCommit(request, Outcome::Cancelled);
    }
    return true;
}

void DecisionMaker::addSheetChanges(Batch &batch)
{
    if (m_sheet.sheet() == nullptr || m_sheet.version() <= batch.state.sheetVersion()) {
        return;
    }
    bool complete = true;
    for (const auto &[id, spec] : m_sheet.listed()) {
        const JobRecord *job = batch.state.find(id);
        const bool unlistedBefore = job != nullptr && job->cancelRequested && job->cancelledBySheet;
        if (job != nullptr
            && (isTerminal(job->state) ? job->state != JobState::Unrunnable && !unlistedBefore
                                       : job->spec == *spec && !unlistedBefore)) {
            continue;
        }
        // A task that is being stopped because an earlier sheet dropped its job must end before the job is revised.
        complete = false;
        if (!batch.canAddFor(id) || (unlistedBefore && !isTerminal(job->state))) {
            continue;
        }
        if (job == nullptr) {
            batch.add(JobSubmitted{*spec});
        } else {
            batch.add(JobRevised{*spec});
        }
    }
    for (const auto &[id, job] : batch.state.jobs()) {
        if (!job.spec.fromSheet || isTerminal(job.state) || job.cancelRequested || m_sheet.listed().contains(id)) {
            continue;
        }
        complete = false;
        if (batch.canAddFor(id)) {
            batch.add(JobCancelRequested{.job = id, .reason = "the sheet no longer lists the job", .bySheet = true});
        }
    }
    if (complete && !batch.isFull()) {
        batch.add(SheetApplied{m_sheet.version()});
    }
}

void DecisionMaker::addEvictions(Batch &batch)
{
    std::vector<std::pair<std::int64_t, const JobRecord *>> leaving;
    for (const std::string &id : batch.state.active()) {
        const JobRecord &job = *batch.state.find(id);
        const HostEntry *host = batch.hosts.find(job.host);
        if (job.state != JobState::Evicting && host != nullptr && !m_sheet.isInService(host->info.dataCentre)) {
            leaving.emplace_back(BatchScheduler::slackSeconds(batch.state, job, batch.unixSeconds), &job);
        }
    }
    std::ranges::stable_sort(leaving, {}, &std::pair<std::int64_t, const JobRecord *>::first);
    leaving.resize(std::min(leaving.size(), MaxEvictions));
    for (const auto &[slack, job] : leaving) {
        if (batch.canAddFor(job->spec.id)) {
            batch.add(TaskStopRequested{.job = job->spec.id,
                                        .fence = job->fence,
                                        .reason = "the data centre of host " + job->host + " is out"});
        }
    }
}

void DecisionMaker::addPolicyEvictions(Batch &batch)
{
    std::erase_if(m_policy.evictions(), [&batch](const ColocationPolicy::Eviction &eviction) {
        const JobRecord *job = batch.state.findActive(eviction.task.job, eviction.task.fence);
        if (job == nullptr || job->state == JobState::Evicting) {
            return true;
        }
        if (!batch.canAddFor(eviction.task.job)) {
            return false;
        }
        batch.add(TaskStopRequested{.job = eviction.task.job, .fence = eviction.task.fence, .reason = eviction.reason});
        return true;
    });
}

void DecisionMaker::addCheckpoints(Batch &batch)
{
    for (const std::string &id : batch.state.active()) {
        const JobRecord &job = *batch.state.find(id);
        const HostEntry *host = batch.hosts.find(job.host);
        if (host == nullptr || !batch.canAddFor(id)) {
            continue;
        }
        const auto task = host->tasks.find(TaskRef{.job = id, .fence = job.fence});
        if (task == host->tasks.end() || task->second.checkpoint.empty() || task->second.checkpoint == job.checkpoint) {
            continue;
        }
        // A delayed report from an earlier boot of the agent must not restore an older checkpoint.
        const std::int64_t progress = permille(task->second.progress);
        if (job.checkpointFence == job.fence && progress < job.progressPermille) {
            continue;
        }
        batch.add(CheckpointRecorded{
            .job = id, .fence = job.fence, .checkpoint = task->second.checkpoint, .progressPermille = progress});
    }
}

void DecisionMaker::addForgotten(Batch &batch)
{
    const auto &ended = batch.state.ended();
    if (ended.size() <= RetainedEndedJobs || m_sheet.version() < batch.state.sheetVersion()) {
        return;
    }
    std::size_t excess = ended.size() - RetainedEndedJobs;
    for (auto entry = ended.begin(); entry != ended.end() && excess > 0; ++entry) {
        // A job that the sheet still lists would be submitted and run again.
        if (batch.canAddFor(entry->second) && !m_sheet.listed().contains(entry->second)) {
            m_avoidUntil.erase(entry->second);
            m_notBefore.erase(entry->second);
            batch.add(JobForgotten{entry->second});
            --excess;
        }
    }
}

void DecisionMaker::addCapacities(Batch &batch)
{
    std::vector<Resources> seen = batch.state.capacities();
    for (const auto &[name, entry] : batch.hosts.hosts()) {
        const Resources &capacity = entry.info.capacity;
        if (std::ranges::none_of(seen, [&](const Resources &larger) { return capacity.fitsIn(larger); })) {
            seen.push_back(capacity);
            batch.add(CapacitySeen{capacity});
        }
    }
}

void DecisionMaker::addUnrunnable(Batch &batch)
{
    // Corrections of a sheet that is being applied come first; otherwise a job could alternate between the two states.
    const bool applyingSheet = m_sheet.sheet() != nullptr && m_sheet.version() > batch.state.sheetVersion();
    if (applyingSheet || !batch.hosts.isSettled(batch.now)) {
        return;
    }
    for (const std::string &id : batch.state.pending()) {
        if (!batch.canAddFor(id)) {
            continue;
        }
        const JobSpec &spec = batch.state.find(id)->spec;
        std::string reason = BatchScheduler::unrunnableReason(spec, batch.state.capacities(), m_sheet.sheet());
        if (!reason.empty()) {
            batch.add(JobUnrunnable{.job = id, .reason = std::move(reason)});
        }
    }
}

} // namespace Carobflow
