#pragma once

#include "carobflow/client/exitcode.h"

#include <iosfwd>
#include <span>
#include <string>

namespace Carobflow
{

/// Runs the operators' client with the arguments that follow the program's name.
ExitCode runClient(std::span<const std::string> arguments, std::ostream &out, std::ostream &err);

} // namespace Carobflow
