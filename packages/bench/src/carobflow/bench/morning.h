#pragma once

#include "carobflow/bench/deployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carobflow::Bench
{

/// A batch job of the morning workload.
struct MorningJob {
    std::string id;
    std::string jobClass;
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t runSeconds = 0;
    /// Seconds after acceptance of the sheet, or after submission for jobs of the noisy wave.
    std::int64_t deadlineSeconds = 0;
};

/// The jobs of the morning sheet: three classes of different sizes and deadlines. Together they need about three
/// quarters of the hosts' capacity during the morning.
std::vector<MorningJob> morningJobs(const Deployment &deployment);

/// A burst of jobs that are submitted together during the morning.
std::vector<MorningJob> noisyWave(const Deployment &deployment);

/// A sheet with these jobs and two standing checks.
std::string morningSheet(const Deployment &deployment, const std::vector<MorningJob> &jobs);

} // namespace Carobflow::Bench
