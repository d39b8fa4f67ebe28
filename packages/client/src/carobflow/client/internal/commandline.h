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

/// Arguments that name a command to run.
struct CommandCall {
    const Command *command = nullptr;
    std::vector<std::string> words;
    cxxopts::ParseResult options;
};

/// Arguments that end the program without a command: help, the version or a usage error.
struct CommandLineEnd {
    ExitCode exitCode = ExitCode::Success;
    std::string text;
};

/// A whole number in decimal digits.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Parses the arguments, without the program's name.
std::variant<CommandCall, CommandLineEnd> parseCommandLine(std::span<const std::string> arguments);

} // namespace Carobflow
