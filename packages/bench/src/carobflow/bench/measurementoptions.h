#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace Carobflow::Bench
{

/// What measurements can be told from the command line.
struct MeasurementOptions {
    bool json = false;
    std::uint64_t seed = 1;
    /// The daemon to measure; empty for the one beside this program.
    std::filesystem::path daemon;
    /// coop or carta-andina.
    std::string deployment = "coop";
    /// adaptive or baseline.
    std::string policy = "adaptive";
    /// Load of the counter service as a share of its capacity without slowdown.
    double load = 0.4;
    /// The part of the slopes to measure: sheets, commits, jobs or agents; empty for all.
    std::string part;
};

} // namespace Carobflow::Bench
