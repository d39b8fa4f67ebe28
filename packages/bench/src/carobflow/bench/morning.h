#pragma once

#include "carobflow/bench/deployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carobflow::Bench
{

/// One batch job of the compressed morning.
struct MorningJob {
    std::string id;
    std::string jobClass;
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t runSeconds = 0;
    /// Seconds after the sheet was accepted, or after the submission for jobs of the noisy wave.
    std::int64_t deadlineSeconds = 0;
};

/// The jobs of the morning sheet: three classes of different sizes and deadlines, together about three
/// quarters of what the hosts can do in the morning.
std::vector<MorningJob> morningJobs(const Deployment &deployment);

/// Jobs that are submitted at once while the morning runs.
std::vector<MorningJob> noisyWave(const Deployment &deployment);

/// The sheet with these jobs and two standing checks.
std::string morningSheet(const Deployment &deployment, const std::vector<MorningJob> &jobs);

} // namespace Carobflow::Bench
