#include "carobflow/core/shardstate.h"

#include "carobflow/core/invariant.h"

#include <algorithm>

#include <boost/json.hpp>

namespace Carobflow
{

namespace
{

/// Maximum weight of older runs in the moving average of run times. Low, so that the average follows a change of the
/// class within a few runs.
constexpr std::int64_t RunTimeHistory = 4;

bool isPendingState(JobState state)
{
    return state == JobState::Accepted || state == JobState::Checkpointed;
}

bool isActiveState(JobState state)
{
    return state == JobState::Assigned || state == JobState::Running || state == JobState::Evicting;
}

} // namespace

void ShardState::apply(const LedgerRecord &record)
{
    std::visit([this](const auto &content) { applyRecord(content); }, record);
}

JobRecord &ShardState::existing(const std::string &job)
{
    const auto found = m_content.jobs.find(job);
    requireInvariant(found != m_content.jobs.end(), "ledger-record-of-known-job", job);
    return found->second;
}

JobRecord &ShardState::current(const std::string &job, Fence fence)
{
    JobRecord &record = existing(job);
    requireInvariant(isActiveState(record.state) && record.fence == fence, "record-of-current-assignment", job);
    return record;
}

void ShardState::setState(JobRecord &job, JobState state)
{
    job.state = state;
    const std::string &id = job.spec.id;
    isPendingState(state) ? (void)m_pending.insert(id) : (void)m_pending.erase(id);
    isActiveState(state) ? (void)m_active.insert(id) : (void)m_active.erase(id);
    isTerminal(state) ? (void)m_ended.insert_or_assign(job.order, id) : (void)m_ended.erase(job.order);
}

void ShardState::returnToPending(JobRecord &job)
{
    job.host.clear();
    if (job.cancelRequested) {
        setState(job, JobState::Cancelled);
    } else {
        setState(job, job.checkpoint.empty() ? JobState::Accepted : JobState::Checkpointed);
    }
}

void ShardState::applyRecord(const JobSubmitted &record)
{
    const auto [position, added] = m_content.jobs.try_emplace(record.spec.id);
    requireInvariant(added, "job-submitted-once", record.spec.id);
    JobRecord &job = position->second;
    job.spec = record.spec;
    job.order = m_content.nextOrder++;
    setState(job, JobState::Accepted);
}

void ShardState::applyRecord(const JobRevised &record)
{
    JobRecord &job = existing(record.spec.id);
    const bool relisted = job.state == JobState::Cancelled && job.cancelledBySheet;
    requireInvariant(!isTerminal(job.state) || job.state == JobState::Unrunnable || relisted,
                     "ended-job-is-not-revised",
                     job.spec.id);
    job.spec = record.spec;
    if (isTerminal(job.state)) {
        job.cancelRequested = false;
        job.cancelledBySheet = false;
        job.reason.clear();
        returnToPending(job);
    }
}

void ShardState::applyRecord(const JobCancelRequested &record)
{
    JobRecord &job = existing(record.job);
    requireInvariant(!isTerminal(job.state), "ended-job-is-not-cancelled", record.job);
    job.cancelRequested = true;
    job.cancelledBySheet = record.bySheet;
    job.reason = record.reason;
    setState(job, isActiveState(job.state) ? JobState::Evicting : JobState::Cancelled);
}

void ShardState::applyRecord(const JobUnrunnable &record)
{
    JobRecord &job = existing(record.job);
    requireInvariant(isPendingState(job.state), "only-waiting-job-is-unrunnable", record.job);
    job.reason = record.reason;
    setState(job, JobState::Unrunnable);
}

void ShardState::applyRecord(const JobForgotten &record)
{
    const JobRecord &job = existing(record.job);
    requireInvariant(isTerminal(job.state), "only-ended-job-is-forgotten", record.job);
    m_ended.erase(job.order);
    m_content.jobs.erase(record.job);
}

void ShardState::applyRecord(const TaskAssigned &record)
{
    JobRecord &job = existing(record.job);
    requireInvariant(isPendingState(job.state), "only-waiting-job-is-assigned", record.job);
    requireInvariant(record.fence > m_content.lastFence && record.fence > job.fence, "fence-grows", record.job);
    m_content.lastFence = record.fence;
    job.fence = record.fence;
    job.host = record.host;
    job.resumed = !job.checkpoint.empty();
    job.reason.clear();
    setState(job, JobState::Assigned);
}

void ShardState::applyRecord(const TaskStopRequested &record)
{
    JobRecord &job = current(record.job, record.fence);
    job.reason = record.reason;
    setState(job, JobState::Evicting);
}

void ShardState::applyRecord(const CheckpointRecorded &record)
{
    JobRecord &job = current(record.job, record.fence);
    job.checkpoint = record.checkpoint;
    job.checkpointFence = record.fence;
    job.progressPermille = record.progressPermille;
}

void ShardState::applyRecord(const TaskEnded &record)
{
    JobRecord &job = current(record.job, record.fence);
    requireInvariant(record.outcome != ReportedState::Running && record.outcome != ReportedState::Stopping,
                     "ended-task-runs-no-more",
                     record.job);
    if (!record.checkpoint.empty()) {
        job.checkpoint = record.checkpoint;
        job.checkpointFence = record.fence;
        job.progressPermille = record.progressPermille;
    }
    if (record.outcome == ReportedState::Finished) {
        finish(job, record);
        return;
    }
    if (record.outcome == ReportedState::Failed) {
        fail(job, record);
        return;
    }
    if (job.state == JobState::Evicting && record.outcome != ReportedState::Refused) {
        ++job.evictions;
    }
    if (!job.cancelRequested) {
        job.reason = record.reason;
    }
    returnToPending(job);
}

void ShardState::finish(JobRecord &job, const TaskEnded &record)
{
    m_content.hostFaults.erase(job.host);
    if (!job.resumed && record.runMilliseconds > 0) {
        ClassRunTime &runTime = m_content.runTimes[job.spec.jobClass];
        const std::int64_t history = std::min<std::int64_t>(static_cast<std::int64_t>(runTime.runs), RunTimeHistory);
        runTime.milliseconds = (runTime.milliseconds * history + record.runMilliseconds) / (history + 1);
        ++runTime.runs;
    }
    job.result = record.result;
    job.failures = 0;
    job.failedHosts.clear();
    job.soundFailedHosts.clear();
    if (job.spec.kind == JobKind::Batch) {
        job.reason.clear();
        job.progressPermille = 1000;
        setState(job, JobState::Finished);
        return;
    }
    // A recurring check starts each run from the beginning.
    job.checkpoint.clear();
    job.progressPermille = 0;
    returnToPending(job);
}

void ShardState::fail(JobRecord &job, const TaskEnded &record)
{
    ++job.failures;
    job.failedHosts.insert(job.host);
    if (!isOnTrial(job.host)) {
        job.soundFailedHosts.insert(job.host);
        m_content.hostFaults[job.host].insert(job.spec.id);
    }
    if (!job.cancelRequested) {
        job.reason = record.reason;
    }
    const std::size_t hosts = job.failures < MaxFailures ? job.soundFailedHosts.size() : job.failedHosts.size();
    if (job.cancelRequested || hosts < JobFaultHosts) {
        returnToPending(job);
        return;
    }
    // The fault is attributed to the job, so it no longer counts against the hosts.
    for (const std::string &host : job.failedHosts) {
        const auto faults = m_content.hostFaults.find(host);
        if (faults != m_content.hostFaults.end()) {
            faults->second.erase(job.spec.id);
            if (faults->second.empty()) {
                m_content.hostFaults.erase(faults);
            }
        }
    }
    setState(job, JobState::Failed);
}

void ShardState::applyRecord(const CapacitySeen &record)
{
    std::erase_if(m_content.capacities,
                  [&record](const Resources &capacity) { return capacity.fitsIn(record.capacity); });
    m_content.capacities.push_back(record.capacity);
}

void ShardState::applyRecord(const SheetApplied &record)
{
    requireInvariant(record.version > m_content.sheetVersion, "sheet-version-grows");
    m_content.sheetVersion = record.version;
}

std::string ShardState::snapshot() const
{
    return boost::json::serialize(boost::json::value_from(m_content));
}

Result<ShardState> ShardState::restore(std::string_view text)
{
    // Boost.JSON reports malformed content by exceptions; they are converted to errors here.
    try {
        ShardState state;
        state.m_content = boost::json::value_to<ShardContent>(boost::json::parse(text));
        for (auto &[id, job] : state.m_content.jobs) {
            state.setState(job, job.state);
        }
        return state;
    } catch (const std::exception &exception) {
        return Error{ErrorKind::Internal,
                     std::string("unreadable snapshot: run the version that wrote it: ") + exception.what()};
    }
}

const JobRecord *ShardState::find(std::string_view job) const
{
    const auto found = m_content.jobs.find(job);
    return found == m_content.jobs.end() ? nullptr : &found->second;
}

const std::map<std::string, JobRecord, std::less<>> &ShardState::jobs() const
{
    return m_content.jobs;
}

const std::set<std::string, std::less<>> &ShardState::pending() const
{
    return m_pending;
}

const std::set<std::string, std::less<>> &ShardState::active() const
{
    return m_active;
}

const std::map<std::uint64_t, std::string> &ShardState::ended() const
{
    return m_ended;
}

const JobRecord *ShardState::findActive(std::string_view job, Fence fence) const
{
    const JobRecord *record = find(job);
    return record != nullptr && isActiveState(record->state) && record->fence == fence ? record : nullptr;
}

Fence ShardState::lastFence() const
{
    return m_content.lastFence;
}

SheetVersion ShardState::sheetVersion() const
{
    return m_content.sheetVersion;
}

bool ShardState::isOnTrial(std::string_view host) const
{
    const auto found = m_content.hostFaults.find(host);
    return found != m_content.hostFaults.end() && found->second.size() >= HostFaultJobs;
}

const std::vector<Resources> &ShardState::capacities() const
{
    return m_content.capacities;
}

const ClassRunTime *ShardState::runTime(std::string_view jobClass) const
{
    const auto found = m_content.runTimes.find(jobClass);
    return found == m_content.runTimes.end() ? nullptr : &found->second;
}

} // namespace Carobflow
