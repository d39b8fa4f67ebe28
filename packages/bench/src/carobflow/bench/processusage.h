#pragma once

#include <cstdint>

namespace Carobflow::Bench
{

/// Processor time used by a process so far and its resident memory, from /proc.
struct ProcessUsage {
    double cpuSeconds = 0;
    double residentMiB = 0;

    /// Throws std::runtime_error when the process has ended.
    static ProcessUsage of(int pid);
};

} // namespace Carobflow::Bench
