#include "carobflow/client/internal/commandline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <system_error>

namespace Carobflow
{

namespace
{

constexpr std::array<CommandOption, 6> CommonOptions{{
    {"entry", "address of an entry; may be repeated, tried in this order", "HOST:PORT", CommandOption::Type::Text},
    {"token", "the operators' token", "TOKEN", CommandOption::Type::Text},
    {"settings", "INI file with the section [client]", "FILE", CommandOption::Type::Text},
    {"timeout-ms", "time for a request and its reply", "MS", CommandOption::Type::Number},
    {"json", "print the entry's JSON as it is", "", CommandOption::Type::Flag},
    {"help", "print this help", "", CommandOption::Type::Flag},
}};

void addOption(cxxopts::Options &options, const CommandOption &option)
{
    std::shared_ptr<cxxopts::Value> value;
    if (option.name == "entry") {
        value = cxxopts::value<std::vector<std::string>>();
    } else if (option.type == CommandOption::Type::Flag) {
        value = cxxopts::value<bool>();
    } else {
        // Numbers are read as text because the error message of cxxopts does not name the option.
        value = cxxopts::value<std::string>();
    }
    const std::string name = option.name == "help" ? "h,help" : std::string(option.name);
    options.add_options()(name, std::string(option.help), value, std::string(option.valueName));
}

std::string fullName(const Command &command)
{
    return "carobflow " + std::string(command.group) + " " + std::string(command.action);
}

cxxopts::Options makeOptions(const Command &command)
{
    cxxopts::Options options(fullName(command), std::string(command.help));
    std::string usage;
    for (const PositionalArgument &argument : command.positionals) {
        usage += (usage.empty() ? "" : " ")
            + (argument.required ? std::string(argument.name) : "[" + std::string(argument.name) + "]");
    }
    for (const CommandOption &option : command.options) {
        if (option.required) {
            usage += (usage.empty() ? "--" : " --") + std::string(option.name) + " " + std::string(option.valueName);
        }
        addOption(options, option);
    }
    for (const CommandOption &option : CommonOptions) {
        addOption(options, option);
    }
    options.custom_help(usage + (usage.empty() ? "" : " ") + "[OPTION...]");
    return options;
}

/// Options of all commands combined, so that the command is found even after options of any command.
cxxopts::Options makeCombinedOptions()
{
    cxxopts::Options options("carobflow", "Operates a carobflow system.");
    std::set<std::string_view> added;
    const auto addOnce = [&](const CommandOption &option) {
        if (added.insert(option.name).second) {
            addOption(options, option);
        }
    };
    std::ranges::for_each(CommonOptions, addOnce);
    for (const Command &command : allCommands()) {
        std::ranges::for_each(command.options, addOnce);
    }
    options.add_options()("version", "print the version");
    return options;
}

/// Help for a group of commands, or for all commands when the group is empty.
std::string overview(std::string_view group)
{
    constexpr std::size_t nameWidth = 20;
    std::string text = "Operates a carobflow system.\n\nUsage: carobflow COMMAND [OPTION...]\n\nCommands:\n";
    for (const Command &command : allCommands()) {
        if (group.empty() || command.group == group) {
            std::string name = std::string(command.group) + " " + std::string(command.action);
            name.resize(std::max(name.size(), nameWidth), ' ');
            text.append("  ").append(name).append(command.help).append("\n");
        }
    }
    return text
        + "\nOptions:\n  --version  print the version\n  --help     print this help, or after a command the help of "
          "the "
          "command\n";
}

CommandLineEnd usageError(const std::string &message, const std::string &helpCommand)
{
    return {.exitCode = ExitCode::Usage, .text = message + "; see " + helpCommand + " --help\n"};
}

cxxopts::ParseResult parseWith(cxxopts::Options &options, std::span<const std::string> arguments)
{
    std::vector<const char *> argv{"carobflow"};
    for (const std::string &argument : arguments) {
        argv.push_back(argument.c_str());
    }
    return options.parse(static_cast<int>(argv.size()), argv.data());
}

/// Returns an error message for the first numeric option whose value is not a number.
std::optional<std::string> findInvalidNumber(const cxxopts::ParseResult &parsed, std::span<const CommandOption> options)
{
    for (const CommandOption &option : options) {
        const std::string name(option.name);
        if (option.type == CommandOption::Type::Number && parsed.count(name) != 0) {
            const auto &text = parsed[name].as<std::string>();
            if (!parseNumber(text)) {
                std::string message = "--";
                message.append(name).append(": '").append(text);
                return message.append("' is not accepted; write a whole number in digits only");
            }
        }
    }
    return std::nullopt;
}

std::variant<CommandCall, CommandLineEnd> parseCommand(const Command &command, std::span<const std::string> arguments)
{
    auto commandOptions = makeOptions(command);
    CommandCall call{.command = &command, .positionals = {}, .options = parseWith(commandOptions, arguments)};
    if (call.options.count("help") != 0) {
        return CommandLineEnd{.exitCode = ExitCode::Success, .text = commandOptions.help()};
    }
    // The positional arguments start with the group and the action.
    call.positionals = call.options.unmatched();
    call.positionals.erase(call.positionals.begin(), call.positionals.begin() + 2);
    for (std::size_t index = 0; index < command.positionals.size(); ++index) {
        if (command.positionals[index].required
            && (call.positionals.size() <= index || call.positionals[index].empty())) {
            return usageError(std::string(command.positionals[index].name) + " is missing", fullName(command));
        }
    }
    if (call.positionals.size() > command.positionals.size()) {
        return usageError("unexpected argument '" + call.positionals[command.positionals.size()] + "'",
                          fullName(command));
    }
    for (const CommandOption &option : command.options) {
        if (option.required && call.options.count(std::string(option.name)) == 0) {
            return usageError("--" + std::string(option.name) + " is missing", fullName(command));
        }
    }
    for (const auto options : {command.options, std::span<const CommandOption>(CommonOptions)}) {
        if (const auto message = findInvalidNumber(call.options, options)) {
            return usageError(*message, fullName(command));
        }
    }
    return call;
}

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && parsedTo == end ? std::optional(value) : std::nullopt;
}

std::variant<CommandCall, CommandLineEnd> parseCommandLine(std::span<const std::string> arguments)
{
    std::string helpCommand = "carobflow";
    try {
        auto options = makeCombinedOptions();
        const auto parsed = parseWith(options, arguments);
        const auto &positionals = parsed.unmatched();
        if (parsed.count("version") != 0) {
            return CommandLineEnd{.exitCode = ExitCode::Success, .text = "carobflow " CAROBFLOW_VERSION "\n"};
        }
        const auto commands = allCommands();
        const std::string group = positionals.empty() ? "" : positionals[0];
        const bool groupIsKnown = std::ranges::find(commands, group, &Command::group) != commands.end();
        if (positionals.size() < 2) {
            if (parsed.count("help") != 0 && (positionals.empty() || groupIsKnown)) {
                return CommandLineEnd{.exitCode = ExitCode::Success, .text = overview(group)};
            }
            return usageError("the command is missing or incomplete", helpCommand);
        }
        const auto command = std::ranges::find_if(commands, [&](const Command &candidate) {
            return candidate.group == positionals[0] && candidate.action == positionals[1];
        });
        if (command == commands.end()) {
            return usageError("unknown command '" + positionals[0] + " " + positionals[1] + "'", helpCommand);
        }
        helpCommand = fullName(*command);
        return parseCommand(*command, arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        return usageError(error.what(), helpCommand);
    }
}

} // namespace Carobflow
