#pragma once

#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/job.h"
#include "carobflow/scheduler/operatorview.h"
#include "carobflow/scheduler/orders.h"
#include "carobflow/scheduler/placement.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// The leader's decisions: which run starts where, which run stops, and what clients may be told. It does no input or
/// output and reads no clock.
///
/// Every start is written to the store before its order leaves: plan() chooses attempts, takeDirtyJobs() names the jobs
/// whose progress has to be written, and commitJob() releases their orders and acknowledges their ends once the write
/// has succeeded. A successor therefore knows every upstream that may run a task.
class Scheduler
{
public:
    struct Options {
        Epoch epoch = 1;
        /// An agent may renew its upstream's leases for this long after it sent a report that was answered.
        Milliseconds grant{1500};
        /// Longest lease that an upstream gives to its runs.
        Milliseconds maxLease{6000};
        /// An earlier leader may have renewed grants for this long after the change of leader.
        Milliseconds predecessorGrant{6000};
        /// Hosts that have not reported for this long get no starts; three report intervals.
        Milliseconds reportTimeout{1200};
        /// Called with each decision that ends a run or gives one up, for the log.
        std::function<void(const RunId &run, std::string_view host, std::string_view event)> onDecision;
    };

    enum class Submission { Accepted, Known };

    explicit Scheduler(Options options);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Replaces what operators have configured.
    void setOperatorView(std::shared_ptr<const OperatorView> view);

    /// Takes a job. The client may be told only after commitJob() for it.
    Submission submit(JobSpec spec, TimePoint now);

    /// Cancels a job; false when there is none. The client may be told only after commitJob() for it.
    bool cancel(std::string_view id);

    [[nodiscard]] const Job *find(std::string_view id) const;

    /// Accepted jobs of a queue of which no task has started; jobs with due times are left out.
    [[nodiscard]] std::size_t countPending(std::string_view queue) const;

    /// Takes over a job of an earlier leader from the store.
    void restore(JobSpec spec, const JobProgress &progress, TimePoint acceptedAt, TimePoint now);

    /// Names a host of an earlier leader. Runs placed there are taken as running until it reports, or until every lease
    /// there must have ended.
    void expectHost(std::string_view name, TimePoint now);

    /// Takes a report. Grants are counted from `now` on.
    void onReport(const HostReport &report, TimePoint now);

    void onStartOutcome(std::string_view host, const RunId &run, StartOutcome outcome, TimePoint now);
    void onStopOutcome(std::string_view host, const RunId &run, StopOutcome outcome, TimePoint now);

    /// Decides on all that can be decided now. `unixMs` is the time of day, for due times.
    void plan(TimePoint now, std::int64_t unixMs);

    /// The job whose changes have waited longest for a write; null when all are in the store or in a write.
    [[nodiscard]] const Job *firstDirtyJob() const;

    /// Jobs with changes that are not in the store, those that have waited longest first, at most `limit`; their
    /// current state has to be written.
    std::vector<std::string> takeDirtyJobs(std::size_t limit);

    /// True when changes of the job are not in the store, or their write is in progress.
    [[nodiscard]] bool isDirty(std::string_view id) const
    {
        return m_dirty.contains(id) || m_committing.contains(id);
    }

    /// The state of a job that takeDirtyJobs() named has been written.
    void commitJob(std::string_view id, TimePoint now);

    /// Hosts that the store does not name yet and that runs are placed on.
    std::vector<std::string> takeNewHosts();

    /// Start orders whose decision is in the store, and stop orders, since the last call.
    std::vector<StartOrder> takeStarts();
    std::vector<StopOrder> takeStops();

    /// The newest end of this life of a host's upstream up to which all are in the store; 0 when no end of this life is
    /// known, because each life numbers its ends from 1.
    [[nodiscard]] std::uint64_t acknowledgedEnd(std::string_view host, const UpstreamIdentity &upstream) const;

    /// Removes a job that is over and of which nothing runs.
    bool forget(std::string_view id);

    [[nodiscard]] const std::map<std::string, std::unique_ptr<Job>, std::less<>> &jobs() const
    {
        return m_jobs;
    }

    [[nodiscard]] std::vector<const Host *> hosts() const;

    /// Headroom that services of an image lose per core of fillers of another one.
    [[nodiscard]] double effect(std::string_view serviceImage, std::string_view fillerImage) const
    {
        return m_guide.effect(serviceImage, fillerImage);
    }

private:
    struct HostState;

    HostState &hostState(std::string_view name);
    void applyEnds(HostState &host, const HostReport &report, TimePoint now);
    void applyEnd(HostState &host, const EndedRun &ended, TimePoint now);
    void applyRunning(HostState &host, const HostReport &report, TimePoint now);
    void settleRestored(HostState &host);
    void observeColocation(const HostReport &report, TimePoint now);
    void countFailure(Job &job, Task &task, HostState &host, const RunId &run, TimePoint now);
    void finishTask(Job &job, Task &task, const TaskId &id);
    void onRejected(Job &job, const RunId &run, Attempt &attempt, StartOutcome outcome, TimePoint now);
    void releaseLostHosts(TimePoint now);
    template<typename Predicate>
    void dropAttempts(const HostState &host, std::string_view event, Predicate &&predicate);
    void dropAttempt(Job &job, const TaskId &id, std::uint32_t run, std::string_view host);
    void planJob(Job &job, const Placement &placement, TimePoint now, std::int64_t unixMs);
    void planStep(Job &job, std::uint32_t occurrence, std::uint32_t step, const Placement &placement, TimePoint now);
    void placeGang(Job &job, const TaskId &first, const Placement &placement, TimePoint now);
    void place(Job &job, const TaskId &id, Host &host, std::uint32_t run, TimePoint now);
    void superviseAttempts(Job &job, TimePoint now);
    void supervise(Job &job, const TaskId &id, Task &task, Attempt &attempt, TimePoint now);
    void stop(const TaskId &id, Attempt &attempt, std::string_view reason, TimePoint now);
    [[nodiscard]] bool canStillStart(const Job &job, const TaskId &id, const Attempt &attempt) const;
    [[nodiscard]] std::vector<Host *> usableHosts(TimePoint now) const;
    /// True for a job that has had nothing running for a while, although its turn has come.
    bool isStarving(const Job &job, TimePoint now);
    [[nodiscard]] bool isUsable(const HostState &host, TimePoint now) const;
    void markDirty(const Job &job);
    void report(const RunId &run, std::string_view host, std::string_view event) const;

    Options m_options;
    std::shared_ptr<const OperatorView> m_view;
    FillerGuide m_guide{FillerGuide::Options{}};
    std::map<std::string, std::unique_ptr<Job>, std::less<>> m_jobs;
    /// Jobs that are not over, or of which something still runs.
    std::set<std::string, std::less<>> m_active;
    std::map<std::string, std::unique_ptr<HostState>, std::less<>> m_hosts;
    std::set<std::string, std::less<>> m_dirty;
    /// The same jobs in the order of their first change.
    std::deque<std::string> m_dirtyOrder;
    /// Jobs of the write in progress.
    std::set<std::string, std::less<>> m_committing;
    /// Since when unfinished jobs have had nothing running.
    std::map<std::string, TimePoint, std::less<>> m_idleSince;
    /// When all attempts were last looked at.
    TimePoint m_supervisedAt;
    std::vector<StartOrder> m_starts;
    std::vector<StopOrder> m_stops;
};

} // namespace Carobflow::Scheduling
