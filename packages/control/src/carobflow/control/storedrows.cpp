#include "carobflow/control/storedrows.h"

#include "carobflow/control/conversion.h"
#include "carobflow/logging/log.h"
#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>

namespace Carobflow::StoredRows
{

namespace wire = carobflow::control;

namespace
{

void logUnreadable(std::string_view event, const Row &row, std::string_view reason, std::string_view remedy)
{
    logError(event).with("row", row.key).with("row_version", row.version).with("reason", reason).with("remedy", remedy);
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
            .acceptedUnixMs = std::clamp<std::int64_t>(message.accepted_unix_ms(), 0, Scheduling::JobLimits::UnixMs)};
        fault = job.spec.id == nameOf(row, prefix) ? Scheduling::findFault(job.spec) : "its id is not that of the row";
        if (fault.empty()) {
            return job;
        }
    }
    logUnreadable("job-unreadable", row, fault, "remove the row; the job is not run");
    return std::nullopt;
}

} // namespace Carobflow::StoredRows
