#pragma once

namespace Carobflow
{

/// Exit codes of the client.
enum class ExitCode {
    Success = 0,
    /// The operation failed, or it is unknown whether a change took effect; the message says which.
    Failed = 1,
    /// Wrong arguments or settings; nothing was sent.
    Usage = 2,
    /// The change conflicts with a concurrent change by another operator.
    Conflict = 3,
    /// No entry could be reached.
    Unreachable = 4,
};

} // namespace Carobflow
