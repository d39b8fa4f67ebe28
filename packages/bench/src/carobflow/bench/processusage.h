#pragma once

#include <cstdint>

namespace Carobflow::Bench
{

/// What a process has used so far, from /proc.
struct ProcessUsage {
    double cpuSeconds = 0;
    double residentMiB = 0;

    /// Throws std::runtime_error when the process has ended.
    static ProcessUsage of(int pid);
};

} // namespace Carobflow::Bench
