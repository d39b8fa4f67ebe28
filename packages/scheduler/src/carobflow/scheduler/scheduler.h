#pragma once

#include "carobflow/scheduler/copyplanner.h"
#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/hostspeed.h"
#include "carobflow/scheduler/job.h"
#include "carobflow/scheduler/jobadmission.h"
#include "carobflow/scheduler/leasetimes.h"
#include "carobflow/scheduler/operatorview.h"
#include "carobflow/scheduler/orders.h"
#include "carobflow/scheduler/placement.h"
#include "carobflow/scheduler/preemptionplanner.h"
#include "carobflow/scheduler/relocation.h"
#include "carobflow/scheduler/schedulingfeatures.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// A host on which runs are placed has become silent, has reported again, or has been given up.
struct HostContactChange {
    std::string_view host;
    /// "silent", "reporting-again" or "given-up".
    std::string_view event;
    /// Number of runs that reserve resources on the host.
    std::size_t runs = 0;
    /// True when the host has reported to this leader, false when it is known from the store only.
    bool hasReported = false;
    /// Time until every lease on the host must have expired; its tasks start elsewhere then.
    Milliseconds leasesExpireIn{0};
};

/// An upstream has been replaced by another incarnation without leaving first.
struct UpstreamCrash {
    std::string_view host;
    /// Runs that ended with it, and those among them whose start it had not survived yet.
    std::size_t runs = 0;
    std::size_t recentStarts = 0;
    /// The job whose start is held responsible; empty when none can be told.
    std::string_view job;
};

/// A copy of a task has been started or has ended.
struct CopyChange {
    RunId run;
    std::string_view host;
    /// "started"; or at the end of the copy "won", "lost" to another attempt, or "no-result" when the task is not done.
    std::string_view event;
    /// How much earlier than the first attempt the copy was expected to end; 0 when a previous leader decided it.
    Milliseconds expectedGain{0};
};

/// A batch job has completed.
struct JobCompletion {
    const Job *job = nullptr;
    /// Time since its acceptance, and the time until which its result has its full worth.
    Milliseconds took{0};
    Milliseconds objective{0};
    Timeliness timeliness = Timeliness::InTime;
    /// Number of runs of its tasks.
    std::size_t runs = 0;
};

/// Runs that pacing limits to a low share; see Relocation.
struct HeldBackRuns {
    std::size_t count = 0;
    /// The longest time since which one of them has been limited.
    Milliseconds longest{0};
};

/// Tasks that are ready and have no run, and the hosts for whose leases others wait.
struct WaitingTasks {
    /// Steps and gangs for which the last plan found no host, and the first task among them in the order of the plan.
    std::size_t unplaced = 0;
    std::string firstUnplaced;
    /// Those among them that wait for processor time which other tasks leave unused.
    std::size_t unplacedFillers = 0;
    std::size_t silentHosts = 0;
    /// Runs on silent hosts. Their tasks start elsewhere when the leases have expired.
    std::size_t runsOnSilentHosts = 0;
    /// Hosts compared by the last plan, each once for every choice; most of a plan's processor time.
    std::size_t comparisons = 0;
    /// Why hosts did not take these tasks; a host counts once for every choice.
    Refusals fillerRefusals;
    Refusals otherRefusals;
};

/// How many hosts a leader hears.
struct ContactCount {
    std::size_t reporting = 0;
    /// Those, and the hosts that may still hold leases.
    std::size_t expected = 0;
};

/// Makes the decisions of a leader: which run starts where, which run stops, and what is acknowledged to clients. It
/// does no input or output and reads no clock.
///
/// Every start is written to the store before its order is sent: plan() chooses attempts, takeDirtyJobs() names the
/// jobs whose progress has to be written, and commitJob() releases their orders and acknowledges their ends once the
/// write has succeeded. The next leader therefore knows every upstream that may run a task.
class Scheduler
{
public:
    struct Options {
        Epoch epoch = 1;
        LeaseTimes leaseTimes;
        /// Time without a report after which a host gets no starts; three report intervals.
        Milliseconds reportTimeout{1200};
        SchedulingFeatures features = {};
        JobAdmission::Options admission = {};
        /// Called for the log whenever a run ends, is abandoned or fails its job.
        std::function<void(const RunId &run, std::string_view host, std::string_view event)> onDecision;
        /// Called for the log and the counters.
        std::function<void(const UpstreamCrash &crash)> onUpstreamCrash;
        /// Called for the log when a host on which runs are placed stops reporting, reports again, or is given up.
        std::function<void(const HostContactChange &change)> onHostContact;
        /// Called for the log and the counters when a copy of a task is started, and when it ends.
        std::function<void(const CopyChange &change)> onCopy;
        /// Called for the log and the counters when a batch job completes.
        std::function<void(const JobCompletion &completion)> onCompletion;
    };

    enum class Submission { Accepted, Known };

    explicit Scheduler(Options options);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Replaces the operators' configuration.
    void setOperatorView(std::shared_ptr<const OperatorView> view);

    /// Decides whether a job that is not known is accepted; see JobAdmission.
    JobAdmission::Decision admit(const JobSpec &spec, TimePoint now);

    /// Counts of the decisions since the last call, for the log.
    JobAdmission::Summary takeAdmissionSummary()
    {
        return m_admission.takeSummary();
    }

    /// Accepts a job. It must not be acknowledged to the client before commitJob() for the job. `lastKnownQueue` is
    /// used when the operators have removed the job's queue since the job was accepted elsewhere.
    Submission submit(JobSpec spec, TimePoint now, std::optional<Queue> lastKnownQueue = std::nullopt);

    /// Cancels a job. Returns false when there is no such job. The cancellation must not be acknowledged to the client
    /// before commitJob() for the job.
    bool cancel(std::string_view id);

    [[nodiscard]] const Job *find(std::string_view id) const;

    /// Number of accepted jobs of a queue of which no task has started, without jobs that have due times.
    [[nodiscard]] std::size_t countPending(std::string_view queue) const;

    /// Takes over a job of a previous leader with its progress from the store.
    void restore(JobSpec spec, const JobProgress &progress, TimePoint acceptedAt, TimePoint now);

    struct ExpectedHost {
        TimePoint now;
        /// Time by which every lease that previous leaders allowed there has expired.
        TimePoint leasesExpireBy;
        /// Time by which the leases have expired that calls for former incarnations may have given the upstream.
        TimePoint formerExpireBy{};
    };

    /// Adds a host of previous leaders. Runs placed there count as running until the host reports or all leases have
    /// expired. Called before restore().
    void expectHost(std::string_view name, const ExpectedHost &expected);

    /// Processes a report. The agent's grant is counted from `now`.
    void onReport(const HostReport &report, TimePoint now);

    void onStartOutcome(std::string_view host, const RunId &run, StartOutcome outcome, TimePoint now);
    /// The agent has not replied to a start order in time.
    void onNoReply(std::string_view host, const RunId &run, TimePoint now);
    void onStopOutcome(std::string_view host, const RunId &run, StopOutcome outcome, TimePoint now);

    /// Makes all decisions that are possible now. `unixMs` is the wall-clock time, for due times.
    void plan(TimePoint now, std::int64_t unixMs);

    /// The job whose changes have waited longest for a write; null when every change is in the store or part of a
    /// write.
    [[nodiscard]] const Job *firstDirtyJob() const;

    /// Takes at most `limit` jobs with changes that are not in the store, longest waiting first. The caller has to
    /// write their current state.
    std::vector<std::string> takeDirtyJobs(std::size_t limit);

    /// True when changes of the job are not in the store, or their write is in progress.
    [[nodiscard]] bool isDirty(std::string_view id) const
    {
        return m_dirty.contains(id) || m_committing.contains(id);
    }

    /// True when the final state of a job is in the store, whether or not later changes of its runs are.
    [[nodiscard]] bool isFinalStateStored(std::string_view id) const
    {
        return m_storedFinalStates.contains(id);
    }

    /// The state of a job that takeDirtyJobs() returned has been written.
    void commitJob(std::string_view id, TimePoint now);

    /// Takes the hosts that have reported to this leader for the first time and whose reports may be answered with a
    /// grant. The caller has to write them together with the epoch of this leader before it grants leases there.
    std::vector<std::string> takeNewHosts();

    /// Takes the hosts with runs that have become silent. The caller has to write when their leases expire, so that the
    /// next leader does not wait longer. A silent host that reports again counts as new.
    std::vector<std::string> takeSilentHosts();

    /// Takes the hosts whose upstreams have restarted under their ids. The caller has to write, before any start there,
    /// when the leases expire that calls for former incarnations may have given them, so that the next leader waits as
    /// long.
    std::vector<std::string> takeRestartedHosts();

    /// Time by which those leases expire; empty for a host whose upstream has not restarted.
    [[nodiscard]] std::optional<TimePoint> formerLeasesExpireBy(std::string_view host) const;

    /// Time by which the leases of a silent host expire; empty for any other host.
    [[nodiscard]] std::optional<TimePoint> silentUntil(std::string_view host) const;

    /// Take the start orders whose decision is in the store, and the stop orders, since the last call.
    std::vector<StartOrder> takeStarts();
    std::vector<StopOrder> takeStops();

    /// The number up to which all ends of this incarnation of a host's upstream are in the store. 0 when no end of this
    /// incarnation is known, because each incarnation numbers its ends from 1.
    [[nodiscard]] std::uint64_t acknowledgedEnd(std::string_view host, const UpstreamIdentity &upstream) const;

    /// Removes a job that is over and of which nothing runs. Returns false for any other job.
    bool forget(std::string_view id);

    [[nodiscard]] const std::map<std::string, std::unique_ptr<Job>, std::less<>> &jobs() const
    {
        return m_jobs;
    }

    [[nodiscard]] std::vector<const Host *> hosts() const;

    /// Number of steps of which the tasks have been compared to find slow ones.
    [[nodiscard]] std::size_t examinedSteps() const
    {
        return m_copyPlanner.examinedSteps();
    }

    /// Counts hosts; those whose last report is younger than `timeout` are reporting.
    [[nodiscard]] ContactCount contact(TimePoint now, Duration timeout) const;

    /// True when the answer to a report may be a grant. A silent upstream gets none, so that its leases end.
    [[nodiscard]] static bool mayRenew(const HostReport &report);

    /// Removes the hosts that have not reported for long and of which nothing is left. The caller has to remove their
    /// rows. Returns their names.
    std::vector<std::string> forgetLostHosts(TimePoint now);

    /// What waited for resources or for leases at the last plan; for the log.
    [[nodiscard]] const WaitingTasks &waitingTasks() const
    {
        return m_waiting;
    }

    /// Runs that are held back now, for the log. Visits all attempts.
    [[nodiscard]] HeldBackRuns heldBackRuns(TimePoint now) const;

    /// Moves of held back runs since the last call, and those for which no host was found.
    Relocation::Summary takeRelocationSummary()
    {
        return m_relocation.takeSummary();
    }

    /// Number of ends that takeDirtyJobs() and commitJob() have examined so far, and of hosts that they have searched
    /// for such ends.
    [[nodiscard]] std::size_t endChecks() const
    {
        return m_endChecks;
    }

    /// Headroom that services of one image lose per core of fillers of another.
    [[nodiscard]] double effect(std::string_view serviceImage, std::string_view fillerImage) const
    {
        return m_fillerAdmission.effect(serviceImage, fillerImage);
    }

private:
    struct HostState;

    HostState &hostState(std::string_view name);
    /// Notes until when the upstream may hold leases of calls for its former incarnations.
    void noteFormerLeases(HostState &host, const HostReport &report, bool restarted, TimePoint now);
    void applyEnds(HostState &host, const HostReport &report, TimePoint now);
    void applyEnd(HostState &host, const EndedRun &ended, TimePoint now);
    void applyRunning(HostState &host, const HostReport &report, TimePoint now);
    /// Drops the attempts of a replaced upstream that can no longer run, and keeps those that its successor may run.
    void releaseReplaced(HostState &host, const UpstreamIdentity &before);
    /// Settles the attempts of which the upstream's lists had to show whether they run.
    void settleUnlisted(HostState &host, const HostReport &report, TimePoint now);
    void observeColocation(const HostReport &report, TimePoint now);
    /// Notes how long a finished task took, for the speed of its host.
    void noteRunTime(const Job &job, const TaskId &id, Task &task, const Attempt &attempt, TimePoint now);
    void countFailure(Job &job, Task &task, HostState &host, const RunId &run, TimePoint now);
    /// Runs whose start the upstream may have performed and has not survived yet.
    [[nodiscard]] std::vector<RunId> recentStarts(const HostState &host) const;
    void noteRecentStarts(HostState &host);
    /// Finds the job whose start has crashed an upstream, and gives it up when that has happened too often.
    void observeCrash(HostState &host, TimePoint now);
    void countCrash(Job &job, Task &task, const RunId &run, std::string_view host, TimePoint now);
    [[nodiscard]] bool mayCrashAgain(const Task &task, TimePoint now) const;
    /// Notes that an upstream has survived the start of a run.
    void markSurvived(HostState &host, const Job &job, Task &task, Attempt &attempt);
    /// Delays the next run of a long-running task after runs that ended soon after their start.
    void delayRestart(Task &task, const Attempt &attempt, TimePoint now) const;
    /// Sends a start order again that has no answer, up to a limit.
    void repeatStart(const RunId &run, Attempt &attempt, TimePoint now);
    void onRejected(Job &job, const RunId &run, Attempt &attempt, StartOutcome outcome, TimePoint now);
    void releaseLostHosts(TimePoint now);
    /// Notes hosts on which runs are placed and that have become silent.
    void observeSilence(HostState &host, TimePoint now);
    void reportCompletion(const Job &job, TimePoint now) const;
    void reportContact(const HostState &host, std::string_view event, TimePoint now) const;
    template<typename Predicate>
    void dropAttempts(const HostState &host, std::string_view event, Predicate &&predicate);
    void dropAttempt(Job &job, const TaskId &id, std::uint32_t run, std::string_view host);
    void planJob(Job &job, Placement &placement, TimePoint now, std::int64_t unixMs);
    void planStep(Job &job, std::uint32_t occurrence, std::uint32_t step, Placement &placement, TimePoint now);
    void noteUnplaced(const Job &job, const TaskId &id);
    void placeGang(Job &job, const TaskId &first, Placement &placement, TimePoint now);
    void place(Job &job, const TaskId &id, Host &host, std::uint32_t run, TimePoint now);
    /// Stops runs that services hold back, so that their tasks continue on other hosts.
    void moveSlowRuns(std::span<Job *const> order, std::size_t firstWaitingFiller, Placement &placement, TimePoint now);
    /// Starts copies of slow tasks of speculative steps.
    void startCopies(std::span<Job *const> order, std::span<Host *const> hosts, Placement &placement, TimePoint now);
    void reportCopy(const Attempt &copy, const TaskId &id, std::string_view event) const;
    /// Stops runs of batch work for tasks that found no host and lose more by waiting.
    void preempt(std::span<Job *const> order, std::span<Host *const> hosts, const Placement &placement, TimePoint now);
    void superviseAttempts(Job &job, TimePoint now);
    void supervise(Job &job, const TaskId &id, Task &task, Attempt &attempt, TimePoint now);
    void stop(const TaskId &id, Attempt &attempt, std::string_view reason, TimePoint now);
    [[nodiscard]] JobOrder::Rule orderRule() const;
    [[nodiscard]] bool canStillStart(const Job &job, const TaskId &id, const Attempt &attempt) const;
    [[nodiscard]] std::vector<Host *> usableHosts(TimePoint now) const;
    /// True for an unfinished job that has had no attempt for longer than the starvation time.
    bool isStarving(const Job &job, TimePoint now);
    [[nodiscard]] bool isUsable(const HostState &host, TimePoint now) const;
    void markDirty(const Job &job);
    /// Notes an end that is acknowledged with the next write of the job.
    void addPendingEnd(HostState &host, std::uint64_t number, const std::string &job);
    /// Acknowledges the ends that the write of the job contained.
    void acknowledgeEnds(std::string_view job);
    void report(const RunId &run, std::string_view host, std::string_view event) const;

    Options m_options;
    std::shared_ptr<const OperatorView> m_view;
    FillerAdmission m_fillerAdmission{FillerAdmission::Options{}};
    std::map<std::string, std::unique_ptr<Job>, std::less<>> m_jobs;
    /// Jobs that are not over or still have attempts.
    std::set<std::string, std::less<>> m_active;
    std::map<std::string, std::unique_ptr<HostState>, std::less<>> m_hosts;
    /// The hosts that have ends which a write of the job acknowledges, by job. May name hosts without such ends.
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_endHosts;
    std::size_t m_endChecks = 0;
    std::set<std::string, std::less<>> m_dirty;
    /// The jobs of m_dirty in the order of their first change.
    std::deque<std::string> m_dirtyOrder;
    /// Jobs of the write in progress, and whether it contains their final states.
    std::map<std::string, bool, std::less<>> m_committing;
    /// Jobs whose final states are in the store.
    std::set<std::string, std::less<>> m_storedFinalStates;
    /// Time since which unfinished jobs have had no attempt.
    std::map<std::string, TimePoint, std::less<>> m_idleSince;
    /// Starts that the current plan has placed; those of a gang that was given up count as well.
    std::size_t m_placedStarts = 0;
    Relocation m_relocation{Relocation::Options{}};
    JobAdmission m_admission;
    /// Runs that may move, from the last check of all attempts.
    std::vector<Relocation::Candidate> m_slowRuns;
    CopyPlanner m_copyPlanner{CopyPlanner::Options{}};
    HostSpeed m_hostSpeed{HostSpeed::Options{}};
    PreemptionPlanner m_preemption{PreemptionPlanner::Options{}};
    /// One task of each step that the last plan found no host for, in the order of the plan.
    std::vector<TaskId> m_unplaced;
    WaitingTasks m_waiting;
    std::vector<std::string> m_silentHosts;
    std::vector<std::string> m_restartedHosts;
    /// Time of the last check of all attempts.
    TimePoint m_supervisedAt;
    /// When an upstream last crashed without a start before it.
    std::optional<TimePoint> m_unexplainedCrashAt;
    std::vector<StartOrder> m_starts;
    std::vector<StopOrder> m_stops;
};

} // namespace Carobflow::Scheduling
