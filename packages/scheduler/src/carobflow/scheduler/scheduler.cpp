#include "carobflow/scheduler/scheduler.h"

#include "carobflow/core/invariant.h"
#include "carobflow/scheduler/joborder.h"
#include "carobflow/scheduler/preemptionsurvey.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Carobflow::Scheduling
{
namespace
{

/// Time without an answer to its agent after which an upstream gets no starts.
constexpr Milliseconds UpstreamSilenceLimit{1000};
/// Delay before the task of a rejected start is placed again.
constexpr Milliseconds RejectionDelay{150};
/// Time after which an unanswered order is sent again. An agent that is alive answers within 500 ms.
constexpr Milliseconds ResendDelay{1200};
/// A run is stalled when its percentage has not changed for this long and for half of its estimated time. Reports
/// arrive every 400 ms, and measurements lag by 500 ms.
constexpr Milliseconds StallTime{2000};
/// Fillers that are paced to a lower percentage may make no visible progress for seconds.
constexpr std::uint32_t PacedShareThreshold = 60;
constexpr std::uint32_t FullShare = 100;
/// Interval of the checks of all attempts. Under load, calls of plan() are less than 10 ms apart, which is more often
/// than the time limits of runs require.
constexpr Milliseconds SuperviseInterval{40};
/// A job that has waited for longer while the hosts are mostly free may be started beside services that it slows down.
/// The deployments allow three seconds.
constexpr Milliseconds StarvationTime{2000};
/// Time within which a long-running task must become ready; otherwise it is stopped and started elsewhere.
constexpr Milliseconds StartupLimit{3000};
constexpr std::uint32_t ReadyPercent = 100;
/// A long-running task that ends by itself after less time is restarted with a delay that doubles each time. Each
/// restart costs a write and a call.
constexpr Milliseconds ShortRunTime{5000};
constexpr Milliseconds RestartDelay{150};
/// The deployments allow nine seconds without a run.
constexpr Milliseconds LongestRestartDelay{3000};
constexpr std::uint32_t MaxRestartDoublings = 6;
/// Number of unanswered start orders for one run after which the upstream counts as hung. Each waits 400 ms for its
/// answer.
constexpr std::uint32_t MaxStartSends = 3;
/// Number of runs after which the release of lost hosts goes on with the next plan. The leader renews its leadership
/// between two plans, and on a small host's share the release of 2,000 runs takes a second.
constexpr std::size_t MaxReleasedRuns = 100;
/// Starts that one plan places before the next plan goes on. A start costs the leader about 0.6 ms of a core, and the
/// replies that allow leases wait for the round of writes and orders that follows a plan. Leases lapse, and agents
/// reject starts, when a leader with the processor share of a small host sends hundreds of starts in one round.
constexpr std::size_t MaxPlacedStarts = 60;
/// Time without a report after which a host of which nothing is left is forgotten. Longer than the restarts and
/// partitions in the deployments' records; a host that reports later is added again.
constexpr Seconds LostHostRetention{60};

/// Crashes after which the job of a task is given up, when they were those of several hosts and nothing else crashes
/// upstreams. Operators allow it after two.
constexpr std::size_t CrashLimit = 2;
/// The same in any other case, so that tasks are not given up because their upstreams crash for reasons of their own.
constexpr std::size_t UncertainCrashLimit = 3;
/// How long a crash without a start before it makes other crashes uncertain. Chosen, not measured.
constexpr Seconds UnexplainedCrashMemory{10};

/// An upstream that a start crashes may still list the run once or twice, since lists follow each other within 25 ms
/// while ended runs are not acknowledged. Otherwise they come every 400 ms.
constexpr Milliseconds SurvivalTime{200};

/// Two reports on one restart of an upstream differ by less. The times that follow a restart contain a longer slack.
constexpr Milliseconds SameRestartTolerance{100};

bool isMostlyFree(std::span<Host *const> hosts)
{
    const auto isHalfFree = [](const Host *host) {
        return host->fits({.request = {.cpuMillis = host->upstream()->capacity.cpuMillis / 2}});
    };
    return static_cast<std::size_t>(std::ranges::count_if(hosts, isHalfFree)) * 2 >= hosts.size();
}

bool isStillNeeded(const Job &job, const Task &task)
{
    return !job.isOver() && !task.done;
}

bool isUnsent(const Attempt &attempt)
{
    return attempt.sends == 0
        && (attempt.phase == AttemptPhase::Planned || attempt.phase == AttemptPhase::Committing
            || attempt.phase == AttemptPhase::Sent);
}

/// True when every copy of the start order is known to have been executed by the upstream that listed the run. Another
/// copy may be executed seconds later, and how many a previous leader sent is not known.
bool isOnlyCopyListed(const Attempt &attempt)
{
    return attempt.sends == 1 && attempt.listed;
}

} // namespace

struct Scheduler::HostState {
    explicit HostState(std::string name)
        : host(std::move(name))
    {
    }

    struct PendingEnd {
        std::string job;
        bool committing = false;
    };

    Host host;
    /// Recent starts that were released while the upstream was silent, for the case that it has crashed.
    std::vector<RunId> recentBeforeSilence;
    /// Index of the attempts that reserve resources here. Reports arrive too often for a search through all jobs.
    std::set<RunId> attempts;
    /// Among them may be attempts of which the upstream's next complete lists under this leader show whether they run.
    bool hasUnconfirmed = false;
    /// Time at which every lease here must have expired unless a further report arrives.
    TimePoint leaseFreeAt;
    /// Time by which the leases have expired that calls for former incarnations may have given the upstream.
    TimePoint formerLeasesExpireBy;
    /// Time from which on the host has been known to this leader, for the silence of a host that has never reported.
    TimePoint expectedSince;
    bool silent = false;
    /// Taken by takeNewHosts().
    bool taken = false;

    /// Time from which on nothing here can hold a lease unless a further report arrives.
    [[nodiscard]] TimePoint freeAt() const
    {
        return std::max(leaseFreeAt, formerLeasesExpireBy);
    }

    UpstreamIdentity endsUpstream;
    std::uint64_t highestEndNumber = 0;
    std::map<std::uint64_t, PendingEnd> pendingEnds;
    std::string lastFailedJob;
};

Scheduler::Scheduler(Options options)
    : m_options(std::move(options))
    , m_view(std::make_shared<const OperatorView>())
    , m_admission(m_options.admission)
{
}

Scheduler::~Scheduler() = default;

void Scheduler::report(const RunId &run, std::string_view host, std::string_view event) const
{
    if (m_options.onDecision) {
        m_options.onDecision(run, host, event);
    }
}

void Scheduler::markDirty(const Job &job)
{
    if (m_dirty.insert(job.spec().id).second) {
        m_dirtyOrder.push_back(job.spec().id);
    }
    m_active.insert(job.spec().id);
}

Scheduler::HostState &Scheduler::hostState(std::string_view name)
{
    auto found = m_hosts.find(name);
    if (found == m_hosts.end()) {
        found = m_hosts.emplace(std::string(name), std::make_unique<HostState>(std::string(name))).first;
    }
    return *found->second;
}

std::vector<const Host *> Scheduler::hosts() const
{
    std::vector<const Host *> hosts;
    for (const auto &[name, state] : m_hosts) {
        hosts.push_back(&state->host);
    }
    return hosts;
}

bool Scheduler::mayRenew(const HostReport &report)
{
    return report.silence <= UpstreamSilenceLimit;
}

ContactCount Scheduler::contact(TimePoint now, Duration timeout) const
{
    ContactCount contact;
    for (const auto &[name, state] : m_hosts) {
        const bool reporting = state->host.hasReported() && now - state->host.reportedAt() < timeout;
        contact.reporting += reporting ? 1 : 0;
        contact.expected += reporting || now <= state->freeAt() ? 1 : 0;
    }
    return contact;
}

std::vector<std::string> Scheduler::forgetLostHosts(TimePoint now)
{
    std::vector<std::string> names;
    std::erase_if(m_hosts, [&](const auto &entry) {
        const HostState &state = *entry.second;
        const TimePoint lastContact = state.host.hasReported() ? state.host.reportedAt() : state.expectedSince;
        const bool lost = state.attempts.empty() && now > state.freeAt() && now - lastContact > LostHostRetention;
        if (lost) {
            names.push_back(entry.first);
        }
        return lost;
    });
    return names;
}

void Scheduler::setOperatorView(std::shared_ptr<const OperatorView> view)
{
    m_view = std::move(view);
    for (const auto &[id, job] : m_jobs) {
        // Accepted jobs of a queue that was removed keep its last configuration.
        if (const Queue *queue = m_view->findQueue(job->spec().queue)) {
            job->setQueue(*queue);
        }
    }
}

JobOrder::Rule Scheduler::orderRule() const
{
    return m_options.features.orderByValue ? JobOrder::Rule::Value : JobOrder::Rule::LeastSlack;
}

JobAdmission::Decision Scheduler::admit(const JobSpec &spec, TimePoint now)
{
    const Queue *queue = m_view->findQueue(spec.queue);
    const auto highest = std::ranges::min_element(
        m_view->queues, {}, [](const auto &entry) { return entry.second.priority; });
    if (!m_options.features.admission || queue == nullptr || m_jobs.contains(spec.id)
        || !JobAdmission::mayReject(spec, *queue, highest->second.priority)) {
        return {.submittedAt = now};
    }
    std::vector<const Job *> jobs;
    std::ranges::transform(m_active, std::back_inserter(jobs), [&](const std::string &id) { return find(id); });
    return m_admission.decide(Job(spec, *queue, now), jobs, highest->second.priority, orderRule(), now);
}

Scheduler::Submission Scheduler::submit(JobSpec spec, TimePoint now, std::optional<Queue> lastKnownQueue)
{
    if (m_jobs.contains(spec.id)) {
        return Submission::Known;
    }
    const Queue *queue = m_view->findQueue(spec.queue);
    Queue settings = queue != nullptr ? *queue : std::move(lastKnownQueue).value_or(Queue{});
    auto job = std::make_unique<Job>(std::move(spec), std::move(settings), now);
    markDirty(*job);
    const std::string id = job->spec().id;
    m_jobs.emplace(id, std::move(job));
    return Submission::Accepted;
}

bool Scheduler::cancel(std::string_view id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return false;
    }
    if (!found->second->isOver()) {
        found->second->cancel();
        markDirty(*found->second);
    }
    return true;
}

const Job *Scheduler::find(std::string_view id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

std::size_t Scheduler::countPending(std::string_view queue) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [&](const auto &entry) {
        const Job &job = *entry.second;
        return job.spec().queue == queue && !job.spec().scheduled && !job.isOver() && !job.hasStarted();
    }));
}

void Scheduler::restore(JobSpec spec, const JobProgress &progress, TimePoint acceptedAt, TimePoint now)
{
    const Queue *queue = m_view->findQueue(spec.queue);
    auto job = std::make_unique<Job>(std::move(spec), queue != nullptr ? *queue : Queue{}, acceptedAt);
    job->restore(progress, now);
    job->forEachTask([&](const TaskId &id, const Task &task) {
        for (const Attempt &attempt : task.attempts) {
            if (!m_hosts.contains(attempt.host)) {
                // Its row is missing or unreadable, so the longest wait applies.
                expectHost(attempt.host,
                           {.now = now,
                            .leasesExpireBy = now + m_options.leaseTimes.untilFreeAfterWrite(),
                            .formerExpireBy = now + m_options.leaseTimes.untilFreeAfterRestart()});
            }
            HostState &state = hostState(attempt.host);
            state.host.reserve(job->step(id));
            state.host.addRecentStart(job->spec().id, attempt.suspected);
            state.attempts.insert({.task = id, .run = attempt.run});
            state.hasUnconfirmed = true;
        }
    });
    m_active.insert(job->spec().id);
    const std::string id = job->spec().id;
    if (job->isOver()) {
        m_storedFinalStates.insert(id);
    }
    m_jobs.insert_or_assign(id, std::move(job));
}

void Scheduler::expectHost(std::string_view name, const ExpectedHost &expected)
{
    HostState &state = hostState(name);
    if (!state.host.hasReported()) {
        state.expectedSince = expected.now;
        state.leaseFreeAt = expected.leasesExpireBy;
        state.formerLeasesExpireBy = expected.formerExpireBy;
    }
}

void Scheduler::onReport(const HostReport &report, TimePoint now)
{
    HostState &state = hostState(report.host);
    const UpstreamDescription *known = state.host.upstream();
    const bool isOlder = known != nullptr && report.upstream
        && report.upstream->identity.incarnation < known->identity.incarnation;
    if (isOlder && (report.agentIncarnation == state.host.report().agentIncarnation || now <= state.freeAt())) {
        // Out of order: a report on a newer incarnation of the upstream has arrived before. A restarted agent may have
        // received a late announcement, whose sender may have had another id. Once all leases have ended nothing
        // depends on that any more.
        return;
    }
    const bool fenced = report.fencedEpoch == m_options.epoch;
    const bool wasLeaving = known != nullptr && known->draining;
    const UpstreamIdentity before = known != nullptr ? known->identity : UpstreamIdentity{};
    const bool replaced = state.host.apply(report, now);
    if (std::exchange(state.silent, false)) {
        reportContact(state, "reporting-again", now);
    }
    if (mayRenew(report)) {
        state.leaseFreeAt = std::max(state.leaseFreeAt, now + m_options.leaseTimes.untilFreeAfterReport());
    }
    noteFormerLeases(state, report, replaced && before.id == report.upstream->identity.id, now);
    if (replaced && !wasLeaving) {
        observeCrash(state, now);
    }
    if (report.silence <= UpstreamSilenceLimit) {
        state.recentBeforeSilence.clear();
    }
    if (replaced) {
        m_hostSpeed.forget(report.host);
        releaseReplaced(state, before);
    }
    if (report.silence > UpstreamSilenceLimit && report.leaseLeft.count() <= 0 && now > state.formerLeasesExpireBy) {
        // All leases there have expired, even if the upstream has never confirmed its lists under this leader.
        noteRecentStarts(state);
        dropAttempts(state, "upstream-silent", [](const Attempt & /*attempt*/) { return true; });
    }
    if (!fenced || !report.upstream) {
        return;
    }
    applyEnds(state, report, now);
    applyRunning(state, report, now);
    settleUnlisted(state, report, now);
    observeColocation(report, now);
}

void Scheduler::noteFormerLeases(HostState &host, const HostReport &report, bool restarted, TimePoint now)
{
    TimePoint expireBy;
    if (report.formerLeaseLeft > Milliseconds(0)) {
        expireBy = now + std::min<Duration>(report.formerLeaseLeft, m_options.leaseTimes.untilFreeAfterRestart());
    } else if (restarted) {
        // The agent has been restarted as well, and does not know of the calls of its predecessor.
        expireBy = now + m_options.leaseTimes.untilFreeAfterRestart();
    }
    // Reports on one restart differ by the delays of their messages.
    if (expireBy > host.formerLeasesExpireBy + SameRestartTolerance) {
        host.formerLeasesExpireBy = expireBy;
        m_restartedHosts.push_back(host.host.name());
    }
}

void Scheduler::applyEnds(HostState &host, const HostReport &report, TimePoint now)
{
    if (host.endsUpstream != report.upstream->identity) {
        host.endsUpstream = report.upstream->identity;
        host.highestEndNumber = 0;
        host.pendingEnds.clear();
    }
    for (const EndedRun &ended : report.ended) {
        if (ended.number > host.highestEndNumber) {
            host.highestEndNumber = ended.number;
            applyEnd(host, ended, now);
        }
    }
}

void Scheduler::applyEnd(HostState &host, const EndedRun &ended, TimePoint now)
{
    const auto found = m_jobs.find(ended.run.task.job);
    Task *task = found == m_jobs.end() ? nullptr : found->second->findTask(ended.run.task);
    if (task == nullptr) {
        return;
    }
    Job &job = *found->second;
    const auto attempt = std::ranges::find_if(task->attempts, [&](const Attempt &candidate) {
        return candidate.run == ended.run.run && candidate.host == host.host.name();
    });
    if (ended.end == RunEnd::Unknown) {
        // The outcome of a stop order shows whether the run is gone.
        if (attempt != task->attempts.end() && attempt->phase != AttemptPhase::Stopping) {
            report(ended.run, host.host.name(), endName(ended.end));
            stop(ended.run.task, *attempt, "end-unknown", now);
        }
        return;
    }
    if (attempt == task->attempts.end()) {
        // The run was abandoned. A success still counts, because finished work must not be started again. A failure
        // does not: a previous leader may have counted it, and the task may have been started again since.
        if (ended.end == RunEnd::Done && !task->succeeded && !job.isOver()) {
            report(ended.run, host.host.name(), "done-after-all");
            task->finishedBy = ended.run.run;
            job.recordSuccess(ended.run.task);
            reportCompletion(job, now);
            markDirty(job);
        }
        if (isDirty(job.spec().id)) {
            addPendingEnd(host, ended.number, job.spec().id);
        }
        return;
    }
    report(ended.run, host.host.name(), endName(ended.end));
    markSurvived(host, job, *task, *attempt);
    job.markStarted();
    if (!ended.checkpoint.empty()) {
        task->checkpoint = ended.checkpoint;
    }
    if (ended.end == RunEnd::Done && !job.isOver()) {
        if (!task->done) {
            task->finishedBy = ended.run.run;
            task->took = attempt->restored ? Duration(0) : now - attempt->startedAt;
        }
        const double remaining = job.remainingWork();
        job.recordSuccess(ended.run.task);
        reportCompletion(job, now);
        if (m_options.features.admission) {
            m_admission.onTaskDone(job, job.step(ended.run.task), remaining, now - attempt->startedAt, now);
        }
        host.host.recordSuccess();
        noteRunTime(job, ended.run.task, *task, *attempt, now);
    } else if (ended.end == RunEnd::Failed && !(task->done && job.step(ended.run.task).speculative)) {
        countFailure(job, *task, host, ended.run, now);
    }
    if (job.step(ended.run.task).longRunning && (ended.end == RunEnd::Done || ended.end == RunEnd::Failed)) {
        delayRestart(*task, *attempt, now);
    }
    dropAttempt(job, ended.run.task, ended.run.run, host.host.name());
    addPendingEnd(host, ended.number, job.spec().id);
}

void Scheduler::addPendingEnd(HostState &host, std::uint64_t number, const std::string &job)
{
    host.pendingEnds.emplace(number, HostState::PendingEnd{.job = job});
    m_endHosts[job].insert(host.host.name());
}

void Scheduler::acknowledgeEnds(std::string_view job)
{
    const auto hosts = m_endHosts.find(job);
    if (hosts == m_endHosts.end()) {
        return;
    }
    std::erase_if(hosts->second, [&](const std::string &name) {
        ++m_endChecks;
        const auto host = m_hosts.find(name);
        if (host == m_hosts.end()) {
            return true;
        }
        // Ends that were reported during the write wait for the next one.
        bool hasLater = false;
        std::erase_if(host->second->pendingEnds, [&](const auto &entry) {
            ++m_endChecks;
            const bool isOfJob = entry.second.job == job;
            hasLater = hasLater || (isOfJob && !entry.second.committing);
            return isOfJob && entry.second.committing;
        });
        return !hasLater;
    });
    if (hosts->second.empty()) {
        m_endHosts.erase(hosts);
    }
}

void Scheduler::noteRunTime(const Job &job, const TaskId &id, Task &task, const Attempt &attempt, TimePoint now)
{
    const StepSpec &step = job.step(id);
    if (!m_options.features.hostSpeed || step.longRunning || step.gang) {
        return;
    }
    // A later run may have continued from a checkpoint. A paced run is slow because of the services beside it.
    if (attempt.run == 1 && attempt.share >= FullShare && !attempt.restored) {
        task.fullSpeedTime = now - attempt.startedAt;
        task.fullSpeedHost = attempt.host;
    }
    if (job.isStepFinished(id.occurrence, id.step)) {
        m_hostSpeed.onStepEnd(job.stepTasks(id.occurrence, id.step), now);
    }
}

void Scheduler::delayRestart(Task &task, const Attempt &attempt, TimePoint now) const
{
    if (now - attempt.startedAt >= ShortRunTime) {
        task.shortRuns = 0;
        return;
    }
    // A single short run has no delay, so that a task which fails once is not away for longer than needed.
    const std::uint32_t doublings = std::min(task.shortRuns++, MaxRestartDoublings);
    if (doublings > 0) {
        task.notBefore = now + std::min(RestartDelay * (1U << (doublings - 1)), LongestRestartDelay);
    }
}

void Scheduler::countFailure(Job &job, Task &task, HostState &host, const RunId &run, TimePoint now)
{
    // A task or job that fails wherever it runs does not indicate a fault of its hosts.
    if (task.failures == 0 && host.lastFailedJob != job.spec().id) {
        host.lastFailedJob = job.spec().id;
        host.host.recordFailure(now);
    }
    const StepSpec &step = job.step(run.task);
    const bool isCounted = step.gang && task.failedRun == run.run;
    if (!isCounted) {
        ++task.failures;
        task.failedRun = run.run;
    }
    if (std::ranges::find(task.failedOn, host.host.name()) == task.failedOn.end()) {
        task.failedOn.push_back(host.host.name());
    }
    if (step.gang) {
        for (Task &member : job.stepTasks(run.task.occurrence, run.task.step)) {
            member.failures = std::max(member.failures, task.failures);
            member.failedRun = std::max(member.failedRun, task.failedRun);
        }
    }
    // While another attempt of a speculative task is left, it may still succeed; see dropAttempt().
    if (!job.allowsRun(step, task) && !task.done && task.attempts.size() == 1) {
        job.fail();
        report(run, host.host.name(), "job-failed");
    }
}

std::vector<RunId> Scheduler::recentStarts(const HostState &host) const
{
    std::vector<RunId> recent;
    for (const RunId &run : host.attempts) {
        for (const Attempt &attempt : m_jobs.find(run.task.job)->second->findTask(run.task)->attempts) {
            // A run that the new incarnation may run has been counted for the crash of the previous one.
            // An agent that is silent may not have received the order.
            const bool mayHaveStarted = attempt.sends > 0 && !attempt.restored && !attempt.mayRunOnSuccessor
                && !attempt.survivedStart && !attempt.noReply;
            if (attempt.run == run.run && attempt.host == host.host.name() && mayHaveStarted) {
                recent.push_back(run);
            }
        }
    }
    return recent;
}

void Scheduler::noteRecentStarts(HostState &host)
{
    std::ranges::move(recentStarts(host), std::back_inserter(host.recentBeforeSilence));
}

void Scheduler::observeCrash(HostState &host, TimePoint now)
{
    const std::size_t runs = host.attempts.size();
    noteRecentStarts(host);
    std::vector<RunId> recent = std::exchange(host.recentBeforeSilence, {});
    std::erase_if(recent, [&](const RunId &run) { return find(run.task.job) == nullptr; });
    // Starts of suspected tasks are kept apart from those of other jobs, so one of these goes before the rest.
    std::vector<RunId> responsible;
    std::ranges::copy_if(recent, std::back_inserter(responsible), [&](const RunId &run) {
        return find(run.task.job)->findTask(run.task)->suspected;
    });
    if (responsible.empty()) {
        responsible = recent;
    }
    const bool isCertain = !responsible.empty() && std::ranges::all_of(responsible, [&](const RunId &run) {
        return run.task.job == responsible.front().task.job;
    });
    if (recent.empty()) {
        m_unexplainedCrashAt = now;
    }
    if (m_options.onUpstreamCrash) {
        m_options.onUpstreamCrash({.host = host.host.name(),
                                   .runs = runs,
                                   .recentStarts = recent.size(),
                                   .job = isCertain ? responsible.front().task.job : std::string_view()});
    }
    for (const RunId &run : responsible) {
        Job &job = *m_jobs.at(run.task.job);
        Task &task = *job.findTask(run.task);
        if (!isStillNeeded(job, task)) {
            continue;
        }
        task.suspected = true;
        if (isCertain) {
            countCrash(job, task, run, host.host.name(), now);
        }
        markDirty(job);
    }
}

void Scheduler::countCrash(Job &job, Task &task, const RunId &run, std::string_view host, TimePoint now)
{
    task.crashedOn.emplace_back(host);
    report(run, host, "upstream-crashed");
    if (!mayCrashAgain(task, now)) {
        job.fail();
        report(run, host, "job-failed");
    }
}

bool Scheduler::mayCrashAgain(const Task &task, TimePoint now) const
{
    const std::set<std::string_view> hosts(task.crashedOn.begin(), task.crashedOn.end());
    const bool isUncertain = hosts.size() < CrashLimit
        || (m_unexplainedCrashAt && now - *m_unexplainedCrashAt < UnexplainedCrashMemory);
    return task.crashedOn.size() < (isUncertain ? UncertainCrashLimit : CrashLimit);
}

void Scheduler::markSurvived(HostState &host, const Job &job, Task &task, Attempt &attempt)
{
    if (!std::exchange(attempt.survivedStart, true)) {
        host.host.removeRecentStart(job.spec().id, attempt.suspected);
        task.suspected = false;
    }
}

void Scheduler::applyRunning(HostState &host, const HostReport &report, TimePoint now)
{
    for (const RunningRun &running : report.running) {
        const auto found = m_jobs.find(running.run.task.job);
        Task *task = found == m_jobs.end() ? nullptr : found->second->findTask(running.run.task);
        Attempt *attempt = nullptr;
        if (task != nullptr) {
            const auto match = std::ranges::find_if(task->attempts, [&](const Attempt &candidate) {
                return candidate.run == running.run.run && candidate.host == host.host.name();
            });
            attempt = match == task->attempts.end() ? nullptr : &*match;
        }
        if (attempt == nullptr) {
            m_stops.push_back({.run = running.run,
                               .host = host.host.name(),
                               .upstream = report.upstream->identity,
                               .reason = "unknown-run"});
            continue;
        }
        if (attempt->phase == AttemptPhase::Sent) {
            attempt->phase = AttemptPhase::Running;
            attempt->progressedAt = now;
        }
        if (attempt->restored && found->second->step(running.run.task).speculative) {
            // Started under a previous leader; a prediction from its progress needs the time since then.
            attempt->startedAt = std::min(attempt->startedAt, now - running.listedFor);
        }
        if (running.listedFor >= SurvivalTime) {
            markSurvived(host, *found->second, *task, *attempt);
        }
        attempt->upstream = report.upstream->identity;
        attempt->restored = false;
        attempt->mayRunOnSuccessor = false;
        attempt->listed = true;
        attempt->noReply = false;
        attempt->resend = false;
        attempt->share = running.share;
        if (running.share >= m_relocation.options().slowShare) {
            attempt->slowSince.reset();
        } else if (!attempt->slowSince) {
            attempt->slowSince = now;
        }
        if (attempt->percent != running.percent) {
            attempt->percent = running.percent;
            attempt->progressedAt = now;
        }
        if (!running.checkpoint.empty() && running.checkpoint != task->checkpoint) {
            // Written with the next change of the job; a change of leader before that loses only some work.
            task->checkpoint = running.checkpoint;
        }
        found->second->markStarted();
    }
}

void Scheduler::observeColocation(const HostReport &report, TimePoint now)
{
    std::vector<HeadroomModel::Service> services;
    std::vector<HeadroomModel::Filler> fillers;
    for (const RunningRun &running : report.running) {
        const Job *job = find(running.run.task.job);
        if (job == nullptr || job->findTask(running.run.task) == nullptr) {
            continue;
        }
        const StepSpec &step = job->step(running.run.task);
        if (step.serves()) {
            services.push_back(
                {.run = running.run, .image = step.image, .tailTarget = step.tailTarget, .tailMs = running.load});
        } else if (step.fillsLeftover) {
            fillers.push_back({.image = step.image, .cores = coresOf(running.load), .share = running.share});
        }
    }
    m_fillerAdmission.observe(report.host, std::move(services), fillers, now);
}

void Scheduler::releaseReplaced(HostState &host, const UpstreamIdentity &before)
{
    const UpstreamIdentity &identity = host.host.upstream()->identity;
    const bool hasSameId = identity.id == before.id;
    // An agent that has just started may take a late announcement of an earlier incarnation for the current one.
    const bool isLater = identity.incarnation > before.incarnation;
    dropAttempts(host, "upstream-replaced", [&](const Attempt &attempt) {
        const bool isGone = isLater && !attempt.mayRunOnSuccessor && isOnlyCopyListed(attempt);
        return !attempt.restored && attempt.upstream != identity && (!hasSameId || isUnsent(attempt) || isGone);
    });
    for (const RunId &run : host.attempts) {
        for (Attempt &attempt : m_jobs.find(run.task.job)->second->findTask(run.task)->attempts) {
            if (attempt.run == run.run && attempt.host == host.host.name() && !attempt.restored) {
                attempt.upstream = identity;
                attempt.mayRunOnSuccessor = true;
                host.hasUnconfirmed = true;
                if (attempt.phase == AttemptPhase::Stopping) {
                    // The stop order was meant for the previous incarnation, so it is sent again at once.
                    attempt.since = {};
                }
            }
        }
    }
}

void Scheduler::settleUnlisted(HostState &host, const HostReport &report, TimePoint now)
{
    // A run that is not listed may have ended, and its end may follow.
    if (report.moreEnds || !std::exchange(host.hasUnconfirmed, false)) {
        return;
    }
    // The upstream had stopped accepting orders of previous leaders before it made this list, so a restored attempt
    // that is not listed will never run.
    dropAttempts(host, "not-running-after-takeover", [](const Attempt &attempt) { return attempt.restored; });
    for (const RunId &run : host.attempts) {
        for (Attempt &attempt : m_jobs.find(run.task.job)->second->findTask(run.task)->attempts) {
            if (attempt.run == run.run && attempt.host == host.host.name() && attempt.mayRunOnSuccessor
                && attempt.phase != AttemptPhase::Stopping) {
                // A copy of the start order may still arrive. The upstream rejects it after a stop.
                stop(run.task, attempt, "upstream-replaced", now);
            }
        }
    }
}

template<typename Predicate>
void Scheduler::dropAttempts(const HostState &host, std::string_view event, Predicate &&predicate)
{
    const std::string &name = host.host.name();
    std::vector<RunId> dropped;
    for (const RunId &run : host.attempts) {
        for (const Attempt &attempt : m_jobs.find(run.task.job)->second->findTask(run.task)->attempts) {
            if (attempt.run == run.run && attempt.host == name && predicate(attempt)) {
                dropped.push_back(run);
            }
        }
    }
    for (const RunId &run : dropped) {
        report(run, name, event);
        dropAttempt(*m_jobs.at(run.task.job), run.task, run.run, name);
    }
}

void Scheduler::dropAttempt(Job &job, const TaskId &id, std::uint32_t run, std::string_view host)
{
    Task &task = *job.findTask(id);
    const auto attempt = std::ranges::find_if(
        task.attempts, [&](const Attempt &candidate) { return candidate.run == run && candidate.host == host; });
    if (attempt != task.attempts.end()) {
        HostState &state = hostState(host);
        if (!attempt->survivedStart) {
            state.host.removeRecentStart(job.spec().id, attempt->suspected);
        }
        if (attempt->isCopy) {
            const std::string_view result = task.finishedBy == run ? "won" : task.done ? "lost" : "no-result";
            reportCopy(*attempt, id, result);
        }
        job.removeAttempt(task, attempt);
        state.host.release(job.step(id));
        state.attempts.erase({.task = id, .run = run});
        markDirty(job);
        const StepSpec &step = job.step(id);
        if (step.speculative && task.attempts.empty() && isStillNeeded(job, task) && !job.allowsRun(step, task)) {
            job.fail();
            report({.task = id, .run = run}, host, "job-failed");
        }
    }
}

void Scheduler::onStartOutcome(std::string_view host, const RunId &run, StartOutcome outcome, TimePoint now)
{
    const auto found = m_jobs.find(run.task.job);
    Task *task = found == m_jobs.end() ? nullptr : found->second->findTask(run.task);
    if (task == nullptr) {
        return;
    }
    const auto attempt = std::ranges::find_if(
        task->attempts, [&](const Attempt &candidate) { return candidate.run == run.run && candidate.host == host; });
    if (attempt == task->attempts.end()) {
        return;
    }
    Job &job = *found->second;
    attempt->noReply = false;
    switch (outcome) {
    case StartOutcome::Started:
        job.markStarted();
        if (attempt->phase == AttemptPhase::Sent) {
            attempt->phase = AttemptPhase::Running;
            attempt->startedAt = now;
            attempt->progressedAt = now;
        }
        return;
    case StartOutcome::Unanswered:
    case StartOutcome::Fenced:
        repeatStart(run, *attempt, now);
        return;
    case StartOutcome::Superseded:
    case StartOutcome::NoRoom:
    case StartOutcome::LeaseOver:
    case StartOutcome::NoPermit:
    case StartOutcome::NotAccepted:
    case StartOutcome::Unhealthy:
    case StartOutcome::Malformed:
        onRejected(job, run, *attempt, outcome, now);
        return;
    }
}

void Scheduler::onNoReply(std::string_view host, const RunId &run, TimePoint now)
{
    const auto found = m_jobs.find(run.task.job);
    Task *task = found == m_jobs.end() ? nullptr : found->second->findTask(run.task);
    if (task == nullptr) {
        return;
    }
    for (Attempt &attempt : task->attempts) {
        if (attempt.run == run.run && attempt.host == host) {
            attempt.noReply = !attempt.listed;
            repeatStart(run, attempt, now);
        }
    }
}

void Scheduler::repeatStart(const RunId &run, Attempt &attempt, TimePoint now)
{
    attempt.resend = true;
    m_supervisedAt = {};
    if (attempt.phase == AttemptPhase::Sent && attempt.sends >= MaxStartSends) {
        hostState(attempt.host).host.recordStall(now);
        stop(run.task, attempt, "unanswered", now);
    }
}

void Scheduler::onRejected(Job &job, const RunId &run, Attempt &attempt, StartOutcome outcome, TimePoint now)
{
    if (attempt.phase != AttemptPhase::Sent) {
        return;
    }
    report(run, attempt.host, outcomeName(outcome));
    job.findTask(run.task)->notBefore = now + RejectionDelay;
    if (outcome == StartOutcome::Unhealthy) {
        hostState(attempt.host).host.recordStall(now);
    }
    if (attempt.sends > 1 || outcome == StartOutcome::Superseded) {
        // The upstream may have executed an earlier copy of the order, or still execute it; a stop order rules that
        // out.
        stop(run.task, attempt, "rejected", now);
        return;
    }
    const std::string host = attempt.host;
    dropAttempt(job, run.task, run.run, host);
}

void Scheduler::onStopOutcome(std::string_view host, const RunId &run, StopOutcome outcome, TimePoint /*now*/)
{
    const auto found = m_jobs.find(run.task.job);
    if (outcome != StopOutcome::Absent || found == m_jobs.end() || found->second->findTask(run.task) == nullptr) {
        return;
    }
    report(run, host, "absent");
    dropAttempt(*found->second, run.task, run.run, host);
}

void Scheduler::reportContact(const HostState &host, std::string_view event, TimePoint now) const
{
    if (m_options.onHostContact) {
        m_options.onHostContact({.host = host.host.name(),
                                 .event = event,
                                 .runs = host.attempts.size(),
                                 .hasReported = host.host.hasReported(),
                                 .leasesExpireIn = std::chrono::duration_cast<Milliseconds>(host.freeAt() - now)});
    }
}

void Scheduler::reportCompletion(const Job &job, TimePoint now) const
{
    if (!m_options.onCompletion || !job.isOver() || job.isService() || job.spec().scheduled) {
        return;
    }
    const JobValue value{JobValue::Options{}};
    m_options.onCompletion(
        {.job = &job,
         .took = std::chrono::duration_cast<Milliseconds>(now - job.acceptedAt()),
         .objective = std::chrono::duration_cast<Milliseconds>(JobValue::objectiveEnd(job) - job.acceptedAt()),
         .timeliness = value.timelinessAt(job, now),
         .runs = job.runCount()});
}

HeldBackRuns Scheduler::heldBackRuns(TimePoint now) const
{
    HeldBackRuns held;
    for (const auto &[name, state] : m_hosts) {
        for (const RunId &run : state->attempts) {
            for (const Attempt &attempt : m_jobs.find(run.task.job)->second->findTask(run.task)->attempts) {
                if (attempt.run == run.run && attempt.host == name && attempt.slowSince) {
                    ++held.count;
                    held.longest = std::max(held.longest,
                                            std::chrono::duration_cast<Milliseconds>(now - *attempt.slowSince));
                }
            }
        }
    }
    return held;
}

void Scheduler::observeSilence(HostState &host, TimePoint now)
{
    const TimePoint lastContact = host.host.hasReported() ? host.host.reportedAt() : host.expectedSince;
    if (host.attempts.empty() || now - lastContact < m_options.reportTimeout) {
        return;
    }
    ++m_waiting.silentHosts;
    m_waiting.runsOnSilentHosts += host.attempts.size();
    if (!std::exchange(host.silent, true)) {
        if (host.host.hasReported()) {
            host.taken = false;
            m_silentHosts.push_back(host.host.name());
        }
        reportContact(host, "silent", now);
    }
}

void Scheduler::releaseLostHosts(TimePoint now)
{
    std::size_t released = 0;
    for (const auto &[name, state] : m_hosts) {
        if (now > state->freeAt() && released < MaxReleasedRuns) {
            if (!state->attempts.empty()) {
                reportContact(*state, "given-up", now);
                released += state->attempts.size();
            }
            dropAttempts(*state, "host-lost", [](const Attempt & /*attempt*/) { return true; });
        }
        observeSilence(*state, now);
    }
}

bool Scheduler::isUsable(const HostState &host, TimePoint now) const
{
    const HostReport &report = host.host.report();
    // Starts on a host with unconfirmed attempts could add ends faster than its agent reads them.
    return host.host.hasReported() && report.fencedEpoch == m_options.epoch && host.host.upstream() != nullptr
        && !host.hasUnconfirmed && now - host.host.reportedAt() < m_options.reportTimeout
        && report.silence < UpstreamSilenceLimit;
}

std::vector<Host *> Scheduler::usableHosts(TimePoint now) const
{
    std::vector<Host *> usable;
    for (const auto &[name, state] : m_hosts) {
        if (isUsable(*state, now)) {
            usable.push_back(&state->host);
        }
    }
    return usable;
}

void Scheduler::plan(TimePoint now, std::int64_t unixMs)
{
    m_waiting = {};
    m_unplaced.clear();
    m_placedStarts = 0;
    releaseLostHosts(now);
    const bool supervisesAll = now - m_supervisedAt >= SuperviseInterval;
    if (supervisesAll) {
        m_supervisedAt = now;
    }
    m_slowRuns.clear();
    std::vector<Job *> open;
    for (auto next = m_active.begin(); next != m_active.end();) {
        Job &job = *m_jobs.at(*next);
        if (job.isOver() && job.isIdle()) {
            m_idleSince.erase(*next);
            next = m_active.erase(next);
            continue;
        }
        if (supervisesAll || m_dirty.contains(*next)) {
            superviseAttempts(job, now);
        }
        if (!job.isOver()) {
            open.push_back(&job);
        }
        ++next;
    }
    const std::vector<Host *> hosts = usableHosts(now);
    if (hosts.empty()) {
        return;
    }
    JobOrder(orderRule(), now).sort(open);
    const bool groupsServices = m_options.features.groupServices;
    const HostSpeed *speed = m_options.features.hostSpeed ? &m_hostSpeed : nullptr;
    Placement placement({.groupsServices = groupsServices, .hostSpeed = speed}, *m_view, m_fillerAdmission, hosts);
    Placement interferingPlacement({.allowsInterference = true, .groupsServices = groupsServices, .hostSpeed = speed},
                                   *m_view,
                                   m_fillerAdmission,
                                   hosts);
    const bool mostlyFree = isMostlyFree(hosts);
    std::size_t firstWaitingFiller = open.size();
    for (std::size_t rank = 0; rank < open.size() && m_placedStarts < MaxPlacedStarts; ++rank) {
        Job *job = open[rank];
        const bool starving = isStarving(*job, now) && mostlyFree;
        planJob(*job, starving ? interferingPlacement : placement, now, unixMs);
        if (m_waiting.unplacedFillers > 0 && firstWaitingFiller == open.size()) {
            firstWaitingFiller = rank;
        }
    }
    moveSlowRuns(open, firstWaitingFiller, placement, now);
    preempt(open, hosts, placement, now);
    startCopies(open, hosts, placement, now);
    m_waiting.comparisons = placement.comparisons() + interferingPlacement.comparisons();
    m_waiting.fillerRefusals = placement.fillerRefusals();
    m_waiting.otherRefusals = placement.otherRefusals();
}

bool Scheduler::isStarving(const Job &job, TimePoint now)
{
    if (!job.isIdle()) {
        m_idleSince.erase(job.spec().id);
        return false;
    }
    return now - m_idleSince.try_emplace(job.spec().id, now).first->second > StarvationTime;
}

void Scheduler::planJob(Job &job, Placement &placement, TimePoint now, std::int64_t unixMs)
{
    if (job.queue().service.empty() || job.queue().needsPermit) {
        return;
    }
    for (std::uint32_t occurrence = 0; occurrence < job.spec().occurrences; ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec().steps.size(); ++step) {
            if (job.isStepReady(occurrence, step, unixMs)) {
                planStep(job, occurrence, step, placement, now);
            }
        }
    }
}

void Scheduler::planStep(Job &job, std::uint32_t occurrence, std::uint32_t step, Placement &placement, TimePoint now)
{
    TaskId id{.job = job.spec().id, .occurrence = occurrence, .step = step, .index = 0};
    if (job.step(id).gang) {
        placeGang(job, id, placement, now);
        return;
    }
    for (Task &task : job.stepTasks(occurrence, step)) {
        if (m_placedStarts >= MaxPlacedStarts) {
            return;
        }
        if (!task.done && task.attempts.empty() && task.notBefore <= now) {
            Host *host = placement.choose(job, id, now);
            if (host == nullptr) {
                noteUnplaced(job, id);
                if (task.failedOn.empty()) {
                    // The tasks of a step are identical, so no other one fits either.
                    return;
                }
            } else {
                place(job, id, *host, task.lastRun + 1, now);
                if (placement.allowsInterference()) {
                    // A single task is started first, to measure its effect on the services.
                    return;
                }
            }
        }
        ++id.index;
    }
}

void Scheduler::noteUnplaced(const Job &job, const TaskId &id)
{
    m_waiting.unplacedFillers += job.step(id).fillsLeftover ? 1 : 0;
    if (++m_waiting.unplaced == 1) {
        m_waiting.firstUnplaced = id.toString();
    }
    if (m_options.features.preemption) {
        m_unplaced.push_back(id);
    }
}

void Scheduler::placeGang(Job &job, const TaskId &first, Placement &placement, TimePoint now)
{
    const auto tasks = job.stepTasks(first.occurrence, first.step);
    const bool waiting = std::ranges::all_of(
        tasks, [&](const Task &task) { return !task.done && task.attempts.empty() && task.notBefore <= now; });
    if (!waiting) {
        return;
    }
    const std::uint32_t run = std::ranges::max(tasks, {}, &Task::lastRun).lastRun + 1;
    TaskId id = first;
    for (; id.index < tasks.size(); ++id.index) {
        Host *host = placement.choose(job, id, now);
        if (host == nullptr) {
            noteUnplaced(job, id);
            break;
        }
        place(job, id, *host, run, now);
    }
    if (id.index == tasks.size()) {
        return;
    }
    // Not all members fit. A partial gang would only keep resources reserved.
    for (TaskId placed = first; placed.index < id.index; ++placed.index) {
        const std::string host = tasks[placed.index].attempts.front().host;
        dropAttempt(job, placed, run, host);
        tasks[placed.index].lastRun = run - 1;
    }
    placement.onReleased();
}

void Scheduler::place(Job &job, const TaskId &id, Host &host, std::uint32_t run, TimePoint now)
{
    Task &task = *job.findTask(id);
    requireInvariant(run > task.lastRun, "run-numbers-grow", id.toString());
    requireInvariant(!task.done, "finished-task-not-started", id.toString());
    requireInvariant(task.attempts.empty() || job.step(id).speculative, "one-run-at-a-time", id.toString());
    requireInvariant(host.fits(job.step(id)), "host-not-overcommitted", host.name());
    host.reserve(job.step(id));
    host.addRecentStart(job.spec().id, task.suspected);
    host.recordPlacement(now);
    hostState(host.name()).attempts.insert({.task = id, .run = run});
    if (job.step(id).fillsLeftover) {
        m_fillerAdmission.onPlaced(host.name(), job.step(id).image, coresOf(job.step(id).request.cpuMillis), now);
    }
    ++m_placedStarts;
    task.lastRun = run;
    job.addAttempt(task,
                   {.run = run,
                    .host = host.name(),
                    .upstream = host.upstream()->identity,
                    .phase = AttemptPhase::Planned,
                    .suspected = task.suspected,
                    .isCopy = !task.attempts.empty(),
                    .since = now,
                    .startedAt = now,
                    .progressedAt = now});
    markDirty(job);
}

void Scheduler::moveSlowRuns(std::span<Job *const> order,
                             std::size_t firstWaitingFiller,
                             Placement &placement,
                             TimePoint now)
{
    const auto hasPlace = [&](const RunId &run) {
        // The next free place goes to the first job of the order that waits for one. Tasks that are no fillers wait for
        // other resources.
        const Job *job = find(run.task.job);
        if (m_relocation.standsStill(job->step(run.task), job->findTask(run.task)->attempts.front())) {
            return true;
        }
        const auto rank = static_cast<std::size_t>(std::ranges::find(order, job) - order.begin());
        return (rank <= firstWaitingFiller && firstWaitingFiller < order.size())
            || placement.choose(*job, run.task, now) != nullptr;
    };
    for (const RunId &run : m_relocation.select(std::exchange(m_slowRuns, {}), hasPlace, now)) {
        Task &task = *m_jobs.find(run.task.job)->second->findTask(run.task);
        Attempt &attempt = task.attempts.front();
        ++task.moves;
        task.movedFrom.push_back(attempt.host);
        stop(run.task, attempt, "moved", now);
    }
}

void Scheduler::startCopies(std::span<Job *const> order,
                            std::span<Host *const> hosts,
                            Placement &placement,
                            TimePoint now)
{
    // A plan that has reached its limit does not show whether further tasks would wait for room.
    if (!m_options.features.copies || m_waiting.unplaced > 0 || m_placedStarts >= MaxPlacedStarts) {
        return;
    }
    for (const CopyPlanner::Copy &copy : m_copyPlanner.plan(order, hosts, now)) {
        Job &job = *m_jobs.find(copy.task.job)->second;
        Task &task = *job.findTask(copy.task);
        Host *host = placement.choose(job, copy.task, now);
        if (host == nullptr || host->isSuspect(now)) {
            continue;
        }
        place(job, copy.task, *host, task.lastRun + 1, now);
        ++task.copies;
        task.attempts.back().expectedGain = copy.gain;
        reportCopy(task.attempts.back(), copy.task, "started");
    }
}

void Scheduler::reportCopy(const Attempt &copy, const TaskId &id, std::string_view event) const
{
    if (m_options.onCopy) {
        m_options.onCopy({.run = {.task = id, .run = copy.run},
                          .host = copy.host,
                          .event = event,
                          .expectedGain = std::chrono::duration_cast<Milliseconds>(copy.expectedGain)});
    }
}

void Scheduler::preempt(std::span<Job *const> order,
                        std::span<Host *const> hosts,
                        const Placement &placement,
                        TimePoint now)
{
    if (m_unplaced.empty() || !m_preemption.isDue(now)) {
        return;
    }
    const PreemptionSurvey survey(order, m_unplaced, hosts, placement, now);
    for (const RunId &run : m_preemption.plan(survey.waiting(), survey.running(), survey.rooms(), now)) {
        Task &task = *m_jobs.find(run.task.job)->second->findTask(run.task);
        task.preemptedAt = now;
        stop(run.task, task.attempts.front(), "preempted", now);
    }
}

void Scheduler::superviseAttempts(Job &job, TimePoint now)
{
    std::vector<RunId> unsent;
    job.forEachTask([&](const TaskId &id, Task &task) {
        for (Attempt &attempt : task.attempts) {
            if (attempt.phase == AttemptPhase::Planned && !isStillNeeded(job, task)) {
                unsent.push_back({.task = id, .run = attempt.run});
            } else {
                supervise(job, id, task, attempt, now);
            }
        }
    });
    for (const RunId &run : unsent) {
        const Task &task = *job.findTask(run.task);
        const auto attempt = std::ranges::find(task.attempts, run.run, &Attempt::run);
        const std::string host = attempt->host;
        dropAttempt(job, run.task, run.run, host);
    }
}

void Scheduler::supervise(Job &job, const TaskId &id, Task &task, Attempt &attempt, TimePoint now)
{
    const bool isUnconfirmed = attempt.restored
        || (attempt.mayRunOnSuccessor && attempt.phase != AttemptPhase::Stopping);
    if (attempt.phase == AttemptPhase::Planned || attempt.phase == AttemptPhase::Committing || isUnconfirmed) {
        return;
    }
    const StepSpec &step = job.step(id);
    const Duration stallLimit = std::max<Duration>(StallTime, step.estimate / 2);
    if (attempt.phase == AttemptPhase::Running && isStillNeeded(job, task) && !step.longRunning
        && attempt.share >= PacedShareThreshold && now - attempt.progressedAt <= stallLimit) {
        // Nothing to decide, which is the case for most attempts.
        return;
    }
    HostState &host = hostState(attempt.host);
    if (!isUsable(host, now)) {
        return;
    }
    if (attempt.phase == AttemptPhase::Stopping) {
        if (now - attempt.since > ResendDelay) {
            stop(id, attempt, "repeated", now);
        }
        return;
    }
    if (!isStillNeeded(job, task)) {
        stop(id, attempt, job.isCancelled() ? "cancelled" : "not-needed", now);
        return;
    }
    if (attempt.phase == AttemptPhase::Sent) {
        if (attempt.resend || now - attempt.since > ResendDelay) {
            attempt.resend = false;
            if (!canStillStart(job, id, attempt)) {
                stop(id, attempt, "no-longer-allowed", now);
                return;
            }
            attempt.since = now;
            ++attempt.sends;
            m_starts.push_back({.run = {.task = id, .run = attempt.run},
                                .host = attempt.host,
                                .upstream = attempt.upstream,
                                .payload = job.spec().payload,
                                .checkpoint = task.checkpoint,
                                .permit = {},
                                .image = step.image,
                                .tailTarget = step.tailTarget,
                                .fillsLeftover = step.fillsLeftover});
        }
        return;
    }
    const UpstreamDescription &upstream = *host.host.upstream();
    if (step.longRunning) {
        if (upstream.draining) {
            stop(id, attempt, "upstream-leaves", now);
        } else if (attempt.percent < ReadyPercent && now - attempt.startedAt > StartupLimit
                   && now - attempt.progressedAt > StartupLimit) {
            host.host.recordStall(now);
            stop(id, attempt, "not-at-work", now);
        }
        return;
    }
    if (attempt.share < PacedShareThreshold) {
        // Paced by the agent of its host, so the lack of progress is no fault of the upstream.
        attempt.progressedAt = now;
        if (const auto gain = m_relocation.gain(step, task, attempt, now); gain && m_options.features.relocation) {
            m_slowRuns.push_back({.run = {.task = id, .run = attempt.run}, .gain = *gain});
        }
        return;
    }
    if (now - attempt.progressedAt > stallLimit) {
        host.host.recordStall(now);
        stop(id, attempt, "stalled", now);
    }
}

void Scheduler::stop(const TaskId &id, Attempt &attempt, std::string_view reason, TimePoint now)
{
    attempt.phase = AttemptPhase::Stopping;
    attempt.since = now;
    m_stops.push_back({.run = {.task = id, .run = attempt.run},
                       .host = attempt.host,
                       .upstream = attempt.upstream,
                       .reason = reason});
}

bool Scheduler::canStillStart(const Job &job, const TaskId &id, const Attempt &attempt) const
{
    const Task &task = *job.findTask(id);
    const auto host = m_hosts.find(attempt.host);
    if (!isStillNeeded(job, task) || host == m_hosts.end() || (attempt.isCopy && !job.allowsRun(job.step(id), task))) {
        return false;
    }
    const UpstreamDescription *upstream = host->second->host.upstream();
    return upstream != nullptr && upstream->identity == attempt.upstream && !upstream->draining
        && !host->second->host.isOvercommitted() && !m_view->isEvacuated(upstream->dataCentre);
}

const Job *Scheduler::firstDirtyJob() const
{
    return m_dirtyOrder.empty() ? nullptr : find(m_dirtyOrder.front());
}

std::vector<std::string> Scheduler::takeDirtyJobs(std::size_t limit)
{
    std::vector<std::string> taken;
    while (!m_dirtyOrder.empty() && taken.size() < limit) {
        std::string id = std::move(m_dirtyOrder.front());
        m_dirtyOrder.pop_front();
        m_dirty.erase(id);
        const auto found = m_jobs.find(id);
        found->second->forEachTask([](const TaskId & /*id*/, Task &task) {
            for (Attempt &attempt : task.attempts) {
                if (attempt.phase == AttemptPhase::Planned) {
                    attempt.phase = AttemptPhase::Committing;
                }
            }
        });
        if (const auto hosts = m_endHosts.find(id); hosts != m_endHosts.end()) {
            for (const std::string &name : hosts->second) {
                ++m_endChecks;
                const auto host = m_hosts.find(name);
                if (host == m_hosts.end()) {
                    continue;
                }
                for (auto &[number, end] : host->second->pendingEnds) {
                    ++m_endChecks;
                    end.committing = end.committing || end.job == id;
                }
            }
        }
        m_committing.insert_or_assign(id, found->second->isOver());
        taken.push_back(std::move(id));
    }
    return taken;
}

void Scheduler::commitJob(std::string_view id, TimePoint now)
{
    const auto written = m_committing.extract(std::string(id));
    const bool isFinal = !written.empty() && written.mapped();
    acknowledgeEnds(id);
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    if (isFinal) {
        m_storedFinalStates.insert(found->first);
    }
    Job &job = *found->second;
    std::vector<RunId> decided;
    job.forEachTask([&](const TaskId &taskId, const Task &task) {
        for (const Attempt &attempt : task.attempts) {
            if (attempt.phase == AttemptPhase::Committing) {
                decided.push_back({.task = taskId, .run = attempt.run});
            }
        }
    });
    // One by one: a start that is withdrawn makes room for the next on an upstream that has shrunk meanwhile.
    for (const RunId &run : decided) {
        Attempt &attempt = *std::ranges::find(job.findTask(run.task)->attempts, run.run, &Attempt::run);
        if (canStillStart(job, run.task, attempt)) {
            attempt.phase = AttemptPhase::Sent;
            attempt.resend = true;
            attempt.since = now;
        } else {
            const std::string host = attempt.host;
            report(run, host, "withdrawn");
            dropAttempt(job, run.task, run.run, host);
        }
    }
    superviseAttempts(job, now);
}

std::vector<std::string> Scheduler::takeNewHosts()
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_hosts) {
        if (!state->taken && state->host.hasReported() && !state->silent && mayRenew(state->host.report())) {
            state->taken = true;
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> Scheduler::takeSilentHosts()
{
    return std::exchange(m_silentHosts, {});
}

std::vector<std::string> Scheduler::takeRestartedHosts()
{
    return std::exchange(m_restartedHosts, {});
}

std::optional<TimePoint> Scheduler::formerLeasesExpireBy(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second->formerLeasesExpireBy != TimePoint{}
        ? std::optional(found->second->formerLeasesExpireBy)
        : std::nullopt;
}

std::optional<TimePoint> Scheduler::silentUntil(std::string_view host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second->silent ? std::optional(found->second->freeAt()) : std::nullopt;
}

std::vector<StartOrder> Scheduler::takeStarts()
{
    return std::exchange(m_starts, {});
}

std::vector<StopOrder> Scheduler::takeStops()
{
    return std::exchange(m_stops, {});
}

std::uint64_t Scheduler::acknowledgedEnd(std::string_view host, const UpstreamIdentity &upstream) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || found->second->endsUpstream != upstream) {
        return 0;
    }
    const HostState &state = *found->second;
    return state.pendingEnds.empty() ? state.highestEndNumber : state.pendingEnds.begin()->first - 1;
}

bool Scheduler::forget(std::string_view id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second->isOver() || !found->second->isIdle()) {
        return false;
    }
    if (m_dirty.erase(std::string(id)) > 0) {
        std::erase(m_dirtyOrder, id);
    }
    m_active.erase(std::string(id));
    m_storedFinalStates.erase(std::string(id));
    m_admission.forget(id);
    m_jobs.erase(found);
    return true;
}

} // namespace Carobflow::Scheduling
