#pragma once

#include "carobflow/client/exitcode.h"

#include <span>
#include <string_view>

namespace Carobflow
{

class Commands;

/// An option of a command besides those that every command has.
struct CommandOption {
    enum class Type { Flag, Text, Number };

    std::string_view name;
    std::string_view help;
    /// Stands for the value in the help.
    std::string_view valueName;
    Type type = Type::Text;
    bool required = false;
};

/// A word after the command, such as a file.
struct CommandWord {
    std::string_view name;
    bool required = true;
};

/// A command of the client, as the arguments and the help know it.
struct Command {
    std::string_view group;
    std::string_view action;
    std::string_view help;
    std::span<const CommandWord> words;
    std::span<const CommandOption> options;
    /// False for a command that works without an entry.
    bool needsEntry = true;
    ExitCode (Commands::*run)() const;
};

/// All commands, in the order of the help.
std::span<const Command> allCommands();

} // namespace Carobflow
