#pragma once

#include "carobflow/client/exitcode.h"
#include "carobflow/client/internal/command.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <cxxopts.hpp>

namespace Carobflow
{

/// A parsed command line that runs a command.
struct CommandCall {
    const Command *command = nullptr;
    std::vector<std::string> positionals;
    cxxopts::ParseResult options;
};

/// A command line that ends the program without running a command: help, the version or a usage error.
struct CommandLineEnd {
    ExitCode exitCode = ExitCode::Success;
    std::string text;
};

/// Parses an unsigned decimal integer.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Parses the arguments, which exclude the program name.
std::variant<CommandCall, CommandLineEnd> parseCommandLine(std::span<const std::string> arguments);

} // namespace Carobflow
