#pragma once

#include "carobflow/scheduler/scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Carobflow::Scheduling
{

/// Drives the scheduler with a synthetic load in virtual time: quick jobs whose clients wait, batch jobs of fillers,
/// and services. Run times are random, and some tasks fail. Commits take 10 ms, and hosts report every 400 ms and at
/// each end of a run. Interference is not modelled.
class LoadSimulator
{
public:
    struct Options {
        std::size_t hosts = 11;
        std::int64_t hostCpuMillis = 32000;
        double quickPerSecond = 4.45;
        std::uint32_t quickWidth = 6;
        double batchPerSecond = 1.6;
        std::uint32_t batchWidth = 8;
        std::int64_t batchCpuMillis = 3500;
        /// Spread of the logarithm of run times, which the estimates do not show.
        double workSpread = 0.1;
        /// Fraction of tasks that take seven times as long.
        double longTasks = 0;
        /// Fraction of quick jobs whose steps are speculative.
        double speculativeJobs = 0;
        /// Multiple of the batch arrivals between the fourth and the tenth second.
        double batchBurst = 1;
        /// Number of hosts on which tasks take three times as long.
        std::size_t slowHosts = 0;
        std::size_t services = 6;
        std::uint32_t serviceWidth = 6;
        std::int64_t serviceCpuMillis = 6400;
        double failures = 0.005;
        /// Fraction of start orders that are executed seconds later, without an answer.
        double lateStarts = 0;
        /// Fraction of start orders that are executed and whose answer is lost.
        double lostAnswers = 0;
        /// Mean number of upstreams that crash and restart per second.
        double crashesPerSecond = 0;
        std::uint64_t seed = 1;
        SchedulingFeatures features = {};
    };

    /// Results of one kind of job.
    struct Outcome {
        std::size_t submitted = 0;
        /// Completed within the latency objective.
        std::size_t inTime = 0;
        /// Submissions that were rejected, and jobs that were accepted at their first or a later submission.
        std::size_t rejections = 0;
        std::size_t accepted = 0;
        /// Completed later, but within three times the latency objective.
        std::size_t late = 0;
        std::vector<Duration> firstStart;
        /// Sums over jobs: their work, and the work of those that completed within the objective.
        double work = 0;
        double workInTime = 0;
        /// The largest fifth of the jobs by work, and those among them that completed within three objectives.
        std::size_t large = 0;
        std::size_t largeServed = 0;
    };

    explicit LoadSimulator(Options options);

    /// Simulates this much time. Returns the processor time of the simulation, including the scheduler, per simulated
    /// second.
    double simulate(Seconds length);

    /// Outcomes of "quick" and "batch" jobs.
    [[nodiscard]] const std::map<std::string, Outcome> &outcomes() const
    {
        return m_outcomes;
    }

    [[nodiscard]] std::size_t starts() const
    {
        return m_starts;
    }

    /// Copies of slow tasks, and those among them that were decided while tasks waited for room.
    struct Copies {
        std::size_t started = 0;
        std::size_t won = 0;
        std::size_t whileTasksWaited = 0;
    };

    [[nodiscard]] const Copies &copies() const
    {
        return m_copies;
    }

    /// Number of stop orders with the reason "preempted".
    [[nodiscard]] std::size_t preemptions() const
    {
        return m_preemptions;
    }

    /// Violated invariants: two runs of a task at once, a run after its task was done, an overcommitted host. A
    /// speculative task may have two runs, and start within a second after it was done.
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    struct Running {
        RunId run;
        TimePoint endsAt;
        TimePoint startedAt;
        /// Length of the task, and the part of it that earlier runs have done.
        Duration work{};
        Duration doneBefore{};
        Resources request;
        bool serves = false;
        bool fails = false;
    };

    struct JobRecord {
        std::string kind;
        TimePoint submittedAt;
        bool isLarge = false;
        bool started = false;
    };

    /// A rejected job that its client submits again.
    struct Returning {
        JobSpec spec;
        JobRecord record;
        TimePoint at;
    };

    struct LateStart {
        StartOrder order;
        TimePoint at;
    };

    struct HostModel {
        std::string name;
        UpstreamDescription upstream;
        std::vector<Running> running;
        std::vector<EndedRun> ended;
        std::vector<LateStart> late;
        /// The highest run of each task that has ended or was stopped here; such runs never start again.
        std::map<TaskId, std::uint32_t> closedRuns;
        std::uint64_t nextEnd = 1;
        /// Ends up to this number are acknowledged and no longer reported.
        std::uint64_t acknowledgedEnd = 0;
        /// The upstream has confirmed its lists under the leader. A new incarnation is reported once before that.
        bool fenced = true;
        TimePoint reportAt;
        bool reportDue = false;
    };

    void submit(const std::string &kind, std::uint32_t width);
    /// Submits a job for the first time or again. Clients honour the time to return and come back while the result can
    /// still be useful to them.
    void offer(JobSpec spec, const JobRecord &record);
    void submitArrivals();
    void advanceHosts();
    void report(HostModel &host);
    void crashRandomUpstream();
    void startRun(HostModel &host, const StartOrder &order);
    void endRun(HostModel &host, const RunId &run, RunEnd how);
    void execute(const StartOrder &order);
    void execute(const StopOrder &order);
    void runScheduler();
    void collectFinished();

    Options m_options;
    std::mt19937_64 m_random;
    /// Arrivals have their own random numbers, so that they are the same whatever the scheduler decides.
    std::mt19937_64 m_arrivals;
    TimePoint m_now{Seconds(1000)};
    TimePoint m_commitAt;
    std::vector<std::string> m_committing;
    std::vector<HostModel> m_hosts;
    std::map<std::string, std::size_t> m_hostIndex;
    std::unique_ptr<Scheduler> m_scheduler;
    std::map<std::string, JobRecord> m_unfinished;
    std::vector<Returning> m_returning;
    std::map<std::string, Outcome> m_outcomes;
    TimePoint m_nextQuick;
    TimePoint m_nextBatch;
    std::size_t m_submitted = 0;
    std::size_t m_starts = 0;
    std::size_t m_preemptions = 0;
    std::map<TaskId, std::size_t> m_activeRuns;
    /// Finished tasks and the times of their ends.
    std::map<TaskId, TimePoint> m_done;
    Copies m_copies;
    /// Length of each task with checkpoints that was stopped, and the part of it that its checkpoint contains.
    std::map<TaskId, std::pair<Duration, Duration>> m_checkpoints;
    std::vector<std::string> m_violations;
};

} // namespace Carobflow::Scheduling
