#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

/// Calls the function with each seed of a randomised test: 1 to `defaultCount`, or the range given by the environment
/// variable CAROBFLOW_SEEDS, for example "100..199".
template<typename Function>
void forEachSeed(std::uint64_t defaultCount, Function &&function)
{
    std::uint64_t first = 1;
    std::uint64_t last = defaultCount;
    if (const char *range = std::getenv("CAROBFLOW_SEEDS"); range != nullptr) {
        const std::string text(range);
        const auto separator = text.find("..");
        first = std::stoull(text.substr(0, separator));
        last = separator == std::string::npos ? first : std::stoull(text.substr(separator + 2));
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        function(seed);
    }
}
