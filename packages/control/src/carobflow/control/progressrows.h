#pragma once

#include "carobflow/core/table.h"
#include "carobflow/scheduler/job.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Carobflow
{

/// The rows in which the progress of one job is stored, each within the limits of the store.
///
/// A job of up to TasksPerRow tasks has one row. Any other one has a row for its state and further rows for its tasks
/// in groups of that size, so that a change writes only the groups that it concerns. Every row is written with the
/// first changes, so that a missing one is noticed. All changes of a job fit into one transaction.
///
/// Checkpoints that do not fit into the row of their task are left out, first those of tasks that are running: their
/// upstreams list them to the next leader. A task whose checkpoint is left out starts from its beginning when the
/// leader changes while the task does not run.
class ProgressRows
{
public:
    /// Without checkpoints a task takes up to about 600 bytes, with host names of 100 bytes.
    static constexpr std::size_t TasksPerRow = 40;

    explicit ProgressRows(const Scheduling::JobSpec &job);

    struct Changes {
        std::vector<Mutation> mutations;
        /// Number of checkpoints that do not fit into their rows.
        std::size_t omittedCheckpoints = 0;
    };

    /// The rows that differ from the written ones, at least one. Rows that differ in checkpoints only are left out.
    [[nodiscard]] Changes changes(const Scheduling::JobProgress &progress, const TransactionLimits &limits);

    /// The last result of changes() is part of a write.
    void markWritten();

    /// Keys of all rows.
    [[nodiscard]] std::vector<std::string> keys() const;

private:
    /// The progress in one part for each row.
    [[nodiscard]] std::vector<Scheduling::JobProgress> split(const Scheduling::JobProgress &progress) const;
    [[nodiscard]] std::size_t rowOf(const Scheduling::TaskId &task) const;

    std::string m_job;
    /// Index of the first task of each step within an occurrence.
    std::vector<std::size_t> m_offsets;
    std::size_t m_tasksPerOccurrence = 0;
    /// Number of rows besides the one of the job's state; 0 when that one holds the tasks.
    std::size_t m_taskRows = 0;
    /// The rows without checkpoints, as they were written last and as changes() has returned them.
    std::vector<std::string> m_written;
    std::vector<std::string> m_pending;
};

} // namespace Carobflow
