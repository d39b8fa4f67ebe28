#include "carobflow/control/storedrows.h"

#include "carobflow/control/conversion.h"
#include "carobflow/daemon/settings.h"
#include "carobflow/logging/log.h"
#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Carobflow::StoredRows
{

namespace wire = carobflow::control;

namespace
{

/// Leaves room for the runs that follow. A task is started once in 150 ms at most, so that this takes years.
constexpr std::uint32_t HighestRun = std::numeric_limits<std::uint32_t>::max() / 2;

constexpr std::string_view ProgressRemedy = "cancel what the job was for and submit it under another id";

void logUnreadable(std::string_view event, const Row &row, std::string_view reason, std::string_view remedy)
{
    logError(event).with("row", row.key).with("row_version", row.version).with("reason", reason).with("remedy", remedy);
}

std::string_view findFault(const Scheduling::JobProgress &progress)
{
    std::set<Scheduling::TaskId> tasks;
    for (const Scheduling::TaskProgress &task : progress.tasks) {
        if (!tasks.insert(task.id).second) {
            return "a task is listed twice";
        }
        if (task.lastRun > HighestRun) {
            return "the number of a run is out of range";
        }
        for (const auto &[host, run] : task.placements) {
            if (host.empty() || run == 0 || run > task.lastRun) {
                return "a run is placed on no host or has no valid number";
            }
        }
    }
    return {};
}

/// One of the rows that hold the progress of a job.
struct ProgressRow {
    Scheduling::JobProgress progress;
    std::uint32_t taskRows = 0;
};

std::optional<ProgressRow> readProgressRow(const Row &row, std::string_view prefix)
{
    wire::JobProgress message;
    std::string_view fault = "its bytes cannot be decoded";
    if (message.ParseFromString(row.value)) {
        ProgressRow read{.progress = fromMessage(message, jobOf(row, prefix)), .taskRows = message.task_rows()};
        fault = findFault(read.progress);
        if (fault.empty()) {
            return read;
        }
    }
    logUnreadable("progress-unreadable", row, fault, ProgressRemedy);
    return std::nullopt;
}

} // namespace

std::string nameOf(const Row &row, std::string_view prefix)
{
    return row.key.substr(std::min(prefix.size(), row.key.size()));
}

std::optional<StoredJob> readJob(const Row &row, std::string_view prefix)
{
    wire::Job message;
    std::string_view fault = "its bytes cannot be decoded";
    if (message.ParseFromString(row.value)) {
        StoredJob job{
            .spec = fromMessage(message),
            .acceptedUnixMs = std::clamp<std::int64_t>(message.accepted_unix_ms(), 0, Scheduling::JobLimits::UnixMs),
            .queue = message.has_queue_settings() ? std::optional(fromMessage(message.queue_settings()))
                                                  : std::nullopt};
        fault = job.spec.id == nameOf(row, prefix) ? Scheduling::findFault(job.spec) : "its id is not that of the row";
        if (fault.empty()) {
            return job;
        }
    }
    logUnreadable("job-unreadable", row, fault, "remove the row; the job is not run");
    return std::nullopt;
}

std::string jobOf(const Row &row, std::string_view prefix)
{
    const std::string name = nameOf(row, prefix);
    return name.substr(0, name.find('.'));
}

std::optional<Scheduling::JobProgress> readProgress(const Row &row, std::string_view prefix)
{
    auto stored = readProgressRow(row, prefix);
    return stored ? std::optional(std::move(stored->progress)) : std::nullopt;
}

std::map<std::string, Scheduling::JobProgress> readAllProgress(std::span<const Row> rows, std::string_view prefix)
{
    std::map<std::string, ProgressRow> states;
    std::map<std::string, std::vector<ProgressRow>> taskRows;
    for (const Row &row : rows) {
        if (auto read = readProgressRow(row, prefix)) {
            const std::string job = jobOf(row, prefix);
            if (nameOf(row, prefix) == job) {
                states.emplace(job, std::move(*read));
            } else {
                taskRows[job].push_back(std::move(*read));
            }
        }
    }
    std::map<std::string, Scheduling::JobProgress> complete;
    for (auto &[job, state] : states) {
        const std::vector<ProgressRow> &further = taskRows[job];
        // A row that is missing hides which tasks have finished.
        if (state.taskRows > 0 && further.size() != state.taskRows) {
            logError("progress-incomplete")
                .with("job", job)
                .with("rows", further.size())
                .with("expected", state.taskRows)
                .with("remedy", ProgressRemedy);
            continue;
        }
        for (const ProgressRow &row : further) {
            state.progress.tasks.insert(
                state.progress.tasks.end(), row.progress.tasks.begin(), row.progress.tasks.end());
        }
        if (const std::string_view fault = findFault(state.progress); !fault.empty()) {
            logError("progress-unreadable").with("job", job).with("reason", fault).with("remedy", ProgressRemedy);
            continue;
        }
        complete.emplace(job, std::move(state.progress));
    }
    return complete;
}

std::optional<wire::KnownHost> readHost(const Row &row)
{
    wire::KnownHost host;
    if (host.ParseFromString(row.value)) {
        // Whoever writes an empty row names neither an address nor a leader.
        const bool usable = host.address().empty() ? host.granted_by_epoch() > 0 : isOk(parseEndpoint(host.address()));
        if (usable) {
            return host;
        }
    }
    logUnreadable("host-unreadable",
                  row,
                  "it cannot be decoded or its address is none",
                  "remove the row; the host is used when it reports");
    return std::nullopt;
}

} // namespace Carobflow::StoredRows
