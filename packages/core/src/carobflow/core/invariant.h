#pragma once

#include <string_view>

namespace Carobflow
{

/// Reports a violated invariant on standard error as one key=value line and ends the process.
[[noreturn]] void invariantViolated(std::string_view name, std::string_view detail);

/// Ends the process when the invariant does not hold. It is active in every build type, so that the long randomised
/// runs check exactly the code that ships.
inline void requireInvariant(bool holds, std::string_view name, std::string_view detail = {})
{
    if (!holds) [[unlikely]] {
        invariantViolated(name, detail);
    }
}

} // namespace Carobflow
