#pragma once

#include "carobflow/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Converts thousandths of a core, as they are requested and reported, to cores.
constexpr double coresOf(std::int64_t cpuMillis)
{
    return static_cast<double>(cpuMillis) / 1000;
}

/// A group of identical tasks of a job.
///
/// The tasks of a step with `fillsLeftover` are called fillers: best-effort work that runs on processor time that the
/// reservations of other tasks leave idle.
struct StepSpec {
    std::uint32_t count = 1;
    /// Resources that one task requests.
    Resources request;
    /// The caller's estimate of one task's run time; often far off.
    Milliseconds estimate{0};
    /// Indices of the steps of which every task must have finished before this step starts; all are lower than the
    /// index of this step.
    std::vector<std::uint32_t> after;
    bool checkpointing = false;
    /// Gang scheduling: all tasks run at the same time or none does.
    bool gang = false;
    /// The tasks are slower when they are spread over several racks.
    bool tightlyCoupled = false;
    /// A label that the upstream must have; empty for any.
    std::string requiredLabel;
    /// The rack that holds the data; empty for any.
    std::string dataRack;
    /// Largest number of tasks of this step on one upstream; 0 for no limit.
    std::uint32_t maxPerUpstream = 0;
    /// Several copies of a task may run at once; the result of the first to finish is used.
    bool speculative = false;
    /// The tasks run until the job is cancelled and are restarted whatever the reason of their end.
    bool longRunning = false;
    /// The program that the tasks run. Tasks of one image behave alike, so interference is estimated per image.
    std::string image;
    /// Upper bound of the tail latency of a task that serves requests; 0 for tasks that serve none.
    Milliseconds tailTarget{0};
    /// The tasks use processor time that other tasks leave idle, and reserve none.
    bool fillsLeftover = false;
    /// Largest number of tasks of the step that may be unavailable at once because of orders of the scheduler; 0 for no
    /// limit.
    std::uint32_t maxUnavailable = 0;

    /// True for tasks that serve requests, which have a tail latency target.
    [[nodiscard]] bool serves() const
    {
        return tailTarget.count() > 0;
    }
};

/// A job as its client submitted it; immutable.
struct JobSpec {
    std::string id;
    std::string queue;
    /// Opaque text that is passed to every task.
    std::string payload;
    std::vector<StepSpec> steps;
    /// How often the steps run; at least 1.
    std::uint32_t occurrences = 1;
    /// Whether occurrences have due times.
    bool scheduled = false;
    /// Due time of the first occurrence in milliseconds since the Unix epoch.
    std::int64_t firstDueUnixMs = 0;
    Milliseconds interval{0};
};

/// A queue of jobs, from the operators' configuration.
struct Queue {
    std::string name;
    /// The service whose upstreams run the tasks.
    std::string service;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Number of failures of a task after which its job fails.
    std::uint32_t maxAttempts = 1;
    /// The latency objective of a job is the estimated length of its critical path times this factor, plus
    /// `latencyAllowance`.
    double stretch = 1;
    Milliseconds latencyAllowance{0};
    /// A start needs a permit from the advice service.
    bool needsPermit = false;
};

/// Identifies one task of a job.
struct TaskId {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // clang-tidy 14 takes the defaulted comparison for a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const TaskId &) const = default;

    /// "job.occurrence.step.index".
    [[nodiscard]] std::string toString() const;
};

/// Parses the form of TaskId::toString().
std::optional<TaskId> parseTaskId(std::string_view text);

/// One start of a task: runs of a task are numbered from 1.
struct RunId {
    TaskId task;
    std::uint32_t run = 0;

    // clang-tidy 14 takes the defaulted comparison for a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const RunId &) const = default;
};

/// Why a run ended. Unknown is a reason that this build does not know; whether the run has ended is uncertain then.
enum class RunEnd { Done, Failed, Stopped, LeaseExpired, MemberEnded, GangIncomplete, Unknown };
BOOST_DESCRIBE_ENUM(RunEnd, Done, Failed, Stopped, LeaseExpired, MemberEnded, GangIncomplete, Unknown)

/// State of a job as clients see it.
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };
BOOST_DESCRIBE_ENUM(JobPhase, Queued, Running, Completed, Failed, Cancelled)

/// The lower-case name of a phase as it appears in logs.
std::string_view phaseName(JobPhase phase);

/// The lower-case name of the reason for an end as it appears in logs.
std::string_view endName(RunEnd end);

/// Identifies one incarnation of an upstream, that is, one start of its process.
struct UpstreamIdentity {
    std::string id;
    /// Start time of the process in milliseconds since the Unix epoch; distinguishes incarnations with the same id.
    std::int64_t incarnation = 0;

    // clang-tidy 14 takes the defaulted comparison for a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const UpstreamIdentity &) const = default;
};

/// Properties that an upstream announces.
struct UpstreamDescription {
    UpstreamIdentity identity;
    std::string service;
    std::string dataCentre;
    Resources capacity;
    std::string rack;
    /// Labels that steps may require.
    std::vector<std::string> labels;
    /// The upstream is about to leave and accepts no new tasks.
    bool draining = false;
};

/// A run that an upstream lists as running.
struct RunningRun {
    RunId run;
    /// The latest checkpoint; empty when there is none.
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail latency in milliseconds for a task that serves requests, else processor use in thousandths of a core.
    std::int64_t load = 0;
    /// Percentage of its full speed to which pacing limits the run.
    std::uint32_t share = 100;
    /// Time between the first list that the agent has seen the run in and the latest one.
    Milliseconds listedFor{0};
};

/// A run that an upstream lists as ended. Each incarnation numbers its ends from 1 in increasing order.
struct EndedRun {
    std::uint64_t number = 0;
    RunId run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

} // namespace Carobflow::Scheduling
