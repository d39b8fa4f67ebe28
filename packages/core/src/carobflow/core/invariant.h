#pragma once

#include <string_view>

namespace Carobflow
{

/// Reports a violated invariant on standard error as one key=value line and aborts the process.
[[noreturn]] void invariantViolated(std::string_view name, std::string_view detail);

/// Aborts the process when the invariant does not hold. Enabled in every build type, so that the randomised tests check
/// the same code that is released.
inline void requireInvariant(bool holds, std::string_view name, std::string_view detail = {})
{
    if (!holds) [[unlikely]] {
        invariantViolated(name, detail);
    }
}

} // namespace Carobflow
