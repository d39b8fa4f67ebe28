#include "carobflow/client/client.h"

#include "carobflow/client/clientsettings.h"
#include "carobflow/client/internal/commandline.h"
#include "carobflow/client/internal/commands.h"

#include <ostream>

namespace Carobflow
{

namespace
{

constexpr std::uint64_t MaxTimeoutMs = 600'000;

Error usageError(std::string message)
{
    return {.kind = ErrorKind::InvalidArgument, .message = std::move(message)};
}

/// Merges the settings file with the command-line options, which take precedence.
Result<ClientSettings> resolveSettings(const CommandCall &call)
{
    const auto &options = call.options;
    ClientSettings settings;
    if (options.count("settings") != 0) {
        auto fromFile = readClientSettings(options["settings"].as<std::string>());
        if (!isOk(fromFile)) {
            return fromFile;
        }
        settings = takeValue(std::move(fromFile));
    }
    if (options.count("entry") != 0) {
        settings.entry.entries.clear();
        for (const std::string &text : options["entry"].as<std::vector<std::string>>()) {
            auto entry = parseEntryAddress(text);
            if (!isOk(entry)) {
                return usageError("--entry: " + errorOf(entry).message);
            }
            settings.entry.entries.push_back(takeValue(std::move(entry)));
        }
    }
    for (const auto &[option, target] :
         {std::pair("token", &settings.entry.token), std::pair("author", &settings.author)}) {
        if (options.count(option) != 0) {
            *target = options[option].as<std::string>();
            if (const Status status = checkHeaderText("--" + std::string(option), *target); !isOk(status)) {
                return errorOf(status);
            }
        }
    }
    if (options.count("timeout-ms") != 0) {
        const auto timeout = parseNumber(options["timeout-ms"].as<std::string>()).value_or(0);
        if (timeout < 1 || timeout > MaxTimeoutMs) {
            return usageError("--timeout-ms: write a whole number from 1 to " + std::to_string(MaxTimeoutMs));
        }
        settings.entry.timeout = Milliseconds(timeout);
    }
    if (call.command->needsEntry && settings.entry.entries.empty()) {
        return usageError("no entry is given; write --entry HOST:PORT, or the key entry in the section [client] of the "
                          "file given with --settings");
    }
    return settings;
}

} // namespace

ExitCode runClient(std::span<const std::string> arguments, std::ostream &out, std::ostream &err)
{
    const auto parsed = parseCommandLine(arguments);
    if (const auto *end = std::get_if<CommandLineEnd>(&parsed)) {
        (end->exitCode == ExitCode::Success ? out : err) << end->text;
        return end->exitCode;
    }
    const auto &call = std::get<CommandCall>(parsed);
    const auto settings = resolveSettings(call);
    if (!isOk(settings)) {
        err << errorOf(settings).message << '\n';
        return ExitCode::Usage;
    }
    const Commands commands(call, valueOf(settings), out, err);
    return (commands.*call.command->run)();
}

} // namespace Carobflow
