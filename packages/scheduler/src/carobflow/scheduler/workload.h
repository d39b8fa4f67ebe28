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

/// A set of equal tasks of a job.
struct StepSpec {
    std::uint32_t count = 1;
    /// What one task asks for.
    Resources request;
    /// The caller's estimate of one task's run time; often far off.
    Milliseconds estimate{0};
    /// Steps of which every task must have finished before this step starts.
    std::vector<std::uint32_t> after;
    bool checkpointing = false;
    /// All tasks run at the same time or none does.
    bool gang = false;
    /// The tasks are slower when they are spread over several racks.
    bool tightlyCoupled = false;
    /// A label that the upstream must have; empty for any.
    std::string requiredLabel;
    /// The rack that holds the data; empty for any.
    std::string dataRack;
    /// The most tasks of this step on one upstream; 0 for no limit.
    std::uint32_t maxPerUpstream = 0;
    /// Several copies of a task may run at once, and the first to finish counts.
    bool speculative = false;
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning = false;
    /// The program that the tasks run; tasks of one image behave alike.
    std::string image;
    /// Bound on the tail latency of a task that serves requests; 0 for tasks that serve none.
    Milliseconds tailTarget{0};
    /// The tasks use processor time that others leave over and reserve none.
    bool fillsLeftover = false;
    /// The most tasks of the step that may be unavailable at once because of this system's orders; 0 for no promise.
    std::uint32_t maxUnavailable = 0;

    /// True for tasks that serve requests of their own users.
    [[nodiscard]] bool serves() const
    {
        return tailTarget.count() > 0;
    }
};

/// A job as its client submitted it. It does not change after that.
struct JobSpec {
    std::string id;
    std::string queue;
    /// Opaque text that is handed to every task.
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
    /// 0 comes first.
    std::uint32_t priority = 0;
    /// A task that has failed this often fails its job.
    std::uint32_t maxAttempts = 1;
    /// A job's latency objective is its longest chain of work times this, and `latencyAllowance` more.
    double stretch = 1;
    Milliseconds latencyAllowance{0};
    /// Starts need a permit from the advice service.
    bool needsPermit = false;
};

/// Names one task of a job.
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

/// Why a run ended.
enum class RunEnd { Done, Failed, Stopped, LeaseExpired, MemberEnded, GangIncomplete };
BOOST_DESCRIBE_ENUM(RunEnd, Done, Failed, Stopped, LeaseExpired, MemberEnded, GangIncomplete)

/// What a client learns of a job.
enum class JobPhase { Queued, Running, Completed, Failed, Cancelled };
BOOST_DESCRIBE_ENUM(JobPhase, Queued, Running, Completed, Failed, Cancelled)

/// The lower-case name of a phase as it appears in logs.
std::string_view phaseName(JobPhase phase);

/// The lower-case name of an end as it appears in logs.
std::string_view endName(RunEnd end);

/// One life of an upstream's process.
struct UpstreamIdentity {
    std::string id;
    /// Start of the process in milliseconds since the Unix epoch; tells apart lives under the same id.
    std::int64_t incarnation = 0;

    // clang-tidy 14 takes the defaulted comparison for a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const UpstreamIdentity &) const = default;
};

/// What an upstream says about itself.
struct UpstreamDescription {
    UpstreamIdentity identity;
    std::string service;
    std::string dataCentre;
    Resources capacity;
    std::string rack;
    /// Labels that steps may require.
    std::vector<std::string> labels;
    /// It leaves soon and takes no new tasks.
    bool draining = false;
};

/// A run that an upstream lists as running.
struct RunningRun {
    RunId run;
    /// Newest checkpoint; empty when there is none.
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// Tail latency in milliseconds for a task that serves, else processor use in thousandths of a core.
    std::int64_t load = 0;
    /// Share of its work in percent that pacing holds the run to.
    std::uint32_t share = 100;
};

/// A run that an upstream lists as ended. Numbers start at 1 in each incarnation and grow.
struct EndedRun {
    std::uint64_t number = 0;
    RunId run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

} // namespace Carobflow::Scheduling
