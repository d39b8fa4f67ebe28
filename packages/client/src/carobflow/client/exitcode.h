#pragma once

namespace Carobflow
{

/// The exit codes of the programs.
enum class ExitCode {
    Success = 0,
    /// The operation failed, or it is unknown whether a change took effect; the message tells which.
    Failed = 1,
    /// Wrong arguments or settings; nothing was sent.
    Usage = 2,
    /// The change lost a race against another operator's change.
    Conflict = 3,
    /// No entry could be reached.
    Unreachable = 4,
};

} // namespace Carobflow
