#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace Carobflow::Bench
{

/// Command-line options of the measurements.
struct MeasurementOptions {
    bool json = false;
    std::uint64_t seed = 1;
    /// The daemon to measure; empty for the one in the directory of this program.
    std::filesystem::path daemon;
    /// coop or carta-andina.
    std::string deployment = "coop";
    /// adaptive or baseline.
    std::string policy = "adaptive";
    /// Load of the service as a fraction of its capacity without slowdown.
    double load = 0.4;
    /// The part of the slopes command to run: sheets, commits, jobs or agents; empty for all.
    std::string part;
};

} // namespace Carobflow::Bench
