#pragma once

#include "carobflow/scheduler/scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Carobflow::Scheduling
{

/// Drives the decisions of the scheduler with the load of a day in virtual time: quick jobs whose clients wait, batch
/// jobs that fill what services leave over, and services. Tasks run for a drawn time and some fail; commits take a few
/// milliseconds, and hosts report every 400 ms and at each end. Interference is not modelled.
class LoadPlayer
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
        std::size_t services = 6;
        std::uint32_t serviceWidth = 6;
        std::int64_t serviceCpuMillis = 6400;
        double failures = 0.005;
        /// Share of start orders that are carried out seconds later, without an answer.
        double lateStarts = 0;
        /// Share of start orders that are carried out and whose answer is lost.
        double lostAnswers = 0;
        /// Upstreams that crash and start again in each second.
        double crashesPerSecond = 0;
        std::uint64_t seed = 1;
    };

    /// What the callers of one kind of job got.
    struct Outcome {
        std::size_t submitted = 0;
        /// Completed within the latency objective.
        std::size_t inTime = 0;
        /// Completed within three objectives.
        std::size_t late = 0;
        std::vector<Duration> firstStart;
    };

    explicit LoadPlayer(Options options);

    /// Plays this much time of the day, and returns the processor time of the scheduler per second of the day.
    double play(Seconds length);

    /// Outcomes of "quick" and "batch" jobs.
    [[nodiscard]] const std::map<std::string, Outcome> &outcomes() const
    {
        return m_outcomes;
    }

    [[nodiscard]] std::size_t starts() const
    {
        return m_starts;
    }

    /// What must never happen and did: two runs of a task at once, a run after its task was done, a host over its room.
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    struct Running {
        RunId run;
        TimePoint endsAt;
        TimePoint startedAt;
        Resources request;
        bool serves = false;
        bool fails = false;
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
        /// The highest run of each task that has ended or was stopped here.
        std::map<TaskId, std::uint32_t> settled;
        std::uint64_t nextEnd = 1;
        /// Ends up to this number are forgotten.
        std::uint64_t acknowledgedEnd = 0;
        /// The upstream has confirmed its lists under the leader. A new life is known before it has.
        bool fenced = true;
        TimePoint reportAt;
        bool reportDue = false;
    };

    struct JobRecord {
        std::string kind;
        TimePoint submittedAt;
        bool started = false;
    };

    void submit(const std::string &kind, std::uint32_t width);
    void arrive();
    void advanceHosts();
    void report(HostModel &host);
    void crashSome();
    void begin(HostModel &host, const StartOrder &order);
    void endRun(HostModel &host, const RunId &run, RunEnd how);
    void carryOut(const StartOrder &order);
    void carryOut(const StopOrder &order);
    void decide();
    void collectFinished();

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{Seconds(1000)};
    TimePoint m_commitAt;
    std::vector<std::string> m_committing;
    std::vector<HostModel> m_hosts;
    std::map<std::string, std::size_t> m_hostIndex;
    std::unique_ptr<Scheduler> m_scheduler;
    std::map<std::string, JobRecord> m_open;
    std::map<std::string, Outcome> m_outcomes;
    TimePoint m_nextQuick;
    TimePoint m_nextBatch;
    std::size_t m_submitted = 0;
    std::size_t m_starts = 0;
    std::map<TaskId, std::size_t> m_runningNow;
    std::set<TaskId> m_done;
    std::vector<std::string> m_violations;
};

} // namespace Carobflow::Scheduling
