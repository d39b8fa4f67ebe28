#pragma once

#include "carobflow/client/exitcode.h"

#include <iosfwd>
#include <span>
#include <string>

namespace Carobflow
{

/// Runs the operators' command-line client. `arguments` excludes the program name.
ExitCode runClient(std::span<const std::string> arguments, std::ostream &out, std::ostream &err);

} // namespace Carobflow
