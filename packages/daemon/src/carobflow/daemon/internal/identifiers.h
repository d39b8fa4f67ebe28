#pragma once

#include <cstdint>
#include <string>

namespace Carobflow
{

/// A random identifier that is unique across processes and restarts.
std::string randomToken();

/// A random number, for example for the start of a process.
std::uint64_t randomNumber();

/// Seconds since the Unix epoch, for deadlines and reports only.
std::int64_t unixSeconds();

} // namespace Carobflow
