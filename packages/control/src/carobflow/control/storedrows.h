#pragma once

#include "carobflow/connectors/tableservice.h"
#include "carobflow/scheduler/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <control.pb.h>

namespace Carobflow::StoredRows
{

/// A job as its row in the store or in the inbox describes it.
struct StoredJob {
    Scheduling::JobSpec spec;
    std::int64_t acceptedUnixMs = 0;
    /// The settings of its queue, if they are stored with the job.
    std::optional<Scheduling::Queue> queue;
};

/// Each function below decodes a row under `prefix`. The result is empty when another writer has left something there
/// that cannot be used; the reason is in the log then.

/// A job that can be run and that has the id of its row.
std::optional<StoredJob> readJob(const Row &row, std::string_view prefix);

/// The progress of a job whose runs are numbered as the scheduler numbers them. That of a large job lacks the tasks,
/// which have rows of their own.
std::optional<Scheduling::JobProgress> readProgress(const Row &row, std::string_view prefix);

/// The progress of all jobs, by their ids. A job is left out when one of its rows is missing or cannot be used.
std::map<std::string, Scheduling::JobProgress> readAllProgress(std::span<const Row> rows, std::string_view prefix);

/// The job that a row under one of the prefixes belongs to.
std::string jobOf(const Row &row, std::string_view prefix);

std::optional<carobflow::control::KnownHost> readHost(const Row &row);

/// The part of a key after its prefix.
std::string nameOf(const Row &row, std::string_view prefix);

} // namespace Carobflow::StoredRows
