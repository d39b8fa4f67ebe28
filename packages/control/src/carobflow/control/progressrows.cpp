#include "carobflow/control/progressrows.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>
#include <utility>

#include <control.pb.h>

namespace Carobflow
{

namespace wire = carobflow::control;

namespace
{

/// Room in a transaction for the job's own row, and for rows of the leadership, of hosts and of the inbox.
constexpr std::size_t OtherRowsBytes = Scheduling::JobLimits::Bytes + 16'000;
/// Bytes of a checkpoint's field besides its text.
constexpr std::size_t FieldBytes = 8;

std::size_t bytesPerRow(const TransactionLimits &limits, std::size_t rows)
{
    const std::size_t available = limits.bytes - std::min(limits.bytes, OtherRowsBytes);
    return std::min(limits.rowBytes, available / rows);
}

/// Moves the checkpoints out of a row. The result has an entry for each task.
std::vector<std::string> takeCheckpoints(wire::JobProgress &row)
{
    std::vector<std::string> checkpoints;
    for (wire::TaskProgress &task : *row.mutable_tasks()) {
        checkpoints.push_back(std::exchange(*task.mutable_checkpoint(), {}));
        task.clear_checkpoint();
    }
    return checkpoints;
}

/// Puts back the checkpoints of the running or of the other tasks as far as they fit. Returns how many do not.
std::size_t
putCheckpoints(wire::JobProgress &row, std::vector<std::string> &checkpoints, bool ofRunning, std::size_t &available)
{
    std::size_t omitted = 0;
    for (int index = 0; index < row.tasks_size(); ++index) {
        wire::TaskProgress &task = *row.mutable_tasks(index);
        std::string &checkpoint = checkpoints[static_cast<std::size_t>(index)];
        if (checkpoint.empty() || (task.placements_size() > 0) != ofRunning) {
            continue;
        }
        const std::size_t needed = checkpoint.size() + FieldBytes;
        if (needed > available) {
            ++omitted;
            continue;
        }
        available -= needed;
        task.set_checkpoint(std::move(checkpoint));
    }
    return omitted;
}

} // namespace

ProgressRows::ProgressRows(const Scheduling::JobSpec &job)
    : m_job(job.id)
{
    for (const Scheduling::StepSpec &step : job.steps) {
        m_offsets.push_back(m_tasksPerOccurrence);
        m_tasksPerOccurrence += step.count;
    }
    const std::size_t tasks = m_tasksPerOccurrence * job.occurrences;
    m_taskRows = tasks > TasksPerRow ? (tasks + TasksPerRow - 1) / TasksPerRow : 0;
}

std::size_t ProgressRows::rowOf(const Scheduling::TaskId &task) const
{
    return 1 + (task.occurrence * m_tasksPerOccurrence + m_offsets[task.step] + task.index) / TasksPerRow;
}

std::vector<Scheduling::JobProgress> ProgressRows::split(const Scheduling::JobProgress &progress) const
{
    if (m_taskRows == 0) {
        return {progress};
    }
    std::vector<Scheduling::JobProgress> parts(1 + m_taskRows);
    parts.front() = {.cancelled = progress.cancelled,
                     .failed = progress.failed,
                     .started = progress.started,
                     .queue = progress.queue,
                     .tasks = {}};
    for (const Scheduling::TaskProgress &task : progress.tasks) {
        parts[rowOf(task.id)].tasks.push_back(task);
    }
    return parts;
}

std::vector<std::string> ProgressRows::keys() const
{
    std::vector<std::string> keys{StoreLayout::keyOf(StoreLayout::ProgressPrefix, m_job)};
    for (std::size_t row = 1; row <= m_taskRows; ++row) {
        keys.push_back(StoreLayout::taskRowKey(m_job, row));
    }
    return keys;
}

ProgressRows::Changes ProgressRows::changes(const Scheduling::JobProgress &progress, const TransactionLimits &limits)
{
    const std::vector<Scheduling::JobProgress> parts = split(progress);
    const std::vector<std::string> names = keys();
    const std::size_t budget = bytesPerRow(limits, parts.size());
    Changes changes;
    m_pending.clear();
    for (std::size_t part = 0; part < parts.size(); ++part) {
        wire::JobProgress row = toMessage(parts[part]);
        if (part == 0) {
            row.set_task_rows(static_cast<std::uint32_t>(m_taskRows));
        }
        std::vector<std::string> checkpoints = takeCheckpoints(row);
        m_pending.push_back(row.SerializeAsString());
        const std::string &essential = m_pending.back();
        const bool isWritten = m_taskRows > 0 && part < m_written.size() && m_written[part] == essential;
        if (isWritten) {
            continue;
        }
        std::size_t available = budget - std::min(budget, essential.size());
        changes.omittedCheckpoints += putCheckpoints(row, checkpoints, false, available);
        changes.omittedCheckpoints += putCheckpoints(row, checkpoints, true, available);
        changes.mutations.push_back({.key = names[part], .value = row.SerializeAsString()});
    }
    if (changes.mutations.empty()) {
        changes.mutations.push_back({.key = names.front(), .value = m_pending.front()});
    }
    return changes;
}

void ProgressRows::markWritten()
{
    m_written = std::exchange(m_pending, {});
}

} // namespace Carobflow
