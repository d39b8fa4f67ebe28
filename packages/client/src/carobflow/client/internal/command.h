#pragma once

#include "carobflow/client/exitcode.h"

#include <span>
#include <string_view>

namespace Carobflow
{

class Commands;

/// An option that is specific to a command.
struct CommandOption {
    enum class Type { Flag, Text, Number };

    std::string_view name;
    std::string_view help;
    /// Placeholder for the value in the help.
    std::string_view valueName;
    Type type = Type::Text;
    bool required = false;
};

/// A positional argument of a command, such as a file.
struct PositionalArgument {
    std::string_view name;
    bool required = true;
};

/// Describes a command of the client for argument parsing and the help.
struct Command {
    std::string_view group;
    std::string_view action;
    std::string_view help;
    std::span<const PositionalArgument> positionals;
    std::span<const CommandOption> options;
    /// False for a command that runs without an entry.
    bool needsEntry = true;
    ExitCode (Commands::*run)() const;
};

/// All commands, in the order of the help.
std::span<const Command> allCommands();

} // namespace Carobflow
