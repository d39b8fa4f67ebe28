#include "carobflow/client/internal/command.h"
#include "carobflow/client/internal/commands.h"

#include <array>

namespace Carobflow
{

namespace
{

using Type = CommandOption::Type;

constexpr std::array<PositionalArgument, 1> FileArgument{{{"FILE"}}};
constexpr std::array<PositionalArgument, 1> NameArgument{{{"NAME"}}};
constexpr std::array<PositionalArgument, 1> IdArgument{{{"ID"}}};
constexpr std::array<PositionalArgument, 1> OptionalIdArgument{{{"ID", false}}};
constexpr std::array<PositionalArgument, 1> HostArgument{{{"HOST"}}};

constexpr std::array<CommandOption, 2> ApplyOptions{{
    {"replaces", "version of the sheet that this one replaces, 0 for the first", "VERSION", Type::Number, true},
    {"author", "recorded in the history", "NAME", Type::Text},
}};
constexpr std::array<CommandOption, 2> DataCentreOptions{{
    {"replaces", "change only this version of the sheet", "VERSION", Type::Number},
    {"author", "recorded in the history", "NAME", Type::Text},
}};
constexpr std::array<CommandOption, 8> SubmitOptions{{
    {"team", "team whose quota the job uses", "NAME", Type::Text, true},
    {"class", "class of the job", "NAME", Type::Text, true},
    {"cpu-millis", "declared processors in thousandths", "N", Type::Number, true},
    {"memory-mib", "declared memory", "N", Type::Number, true},
    {"accelerators", "declared accelerators, 0 if not given", "N", Type::Number},
    {"run-seconds", "declared run time", "N", Type::Number, true},
    {"deadline", "seconds since the Unix epoch, or +SECONDS from now; none if not given", "TIME", Type::Text},
    {"urgent", "start as soon as possible", "", Type::Flag},
}};
constexpr std::array<CommandOption, 1> DrainOptions{{
    {"end", "end the drain", "", Type::Flag},
}};
constexpr std::array<CommandOption, 1> BurnOptions{{
    {"html", "write a page with plots", "FILE", Type::Text},
}};

constexpr std::array<Command, 14> CommandTable{{
    {"sheet", "check", "Check a sheet without an entry.", FileArgument, {}, false, &Commands::sheetCheck},
    {"sheet", "apply", "Apply a sheet in place of a version.", FileArgument, ApplyOptions, true, &Commands::sheetApply},
    {"sheet", "show", "Print the current sheet.", {}, {}, true, &Commands::sheetShow},
    {"sheet", "history", "List the accepted sheets.", {}, {}, true, &Commands::sheetHistory},
    {"datacentre", "out", "Take a data centre out.", NameArgument, DataCentreOptions, true, &Commands::dataCentreOut},
    {"datacentre", "in", "Bring a data centre back.", NameArgument, DataCentreOptions, true, &Commands::dataCentreIn},
    {"job", "submit", "Submit a batch job.", IdArgument, SubmitOptions, true, &Commands::jobSubmit},
    {"job", "cancel", "Cancel a job.", IdArgument, {}, true, &Commands::jobCancel},
    {"job", "status", "Print one job, or list all.", OptionalIdArgument, {}, true, &Commands::jobStatus},
    {"upstream", "list", "List the upstreams.", {}, {}, true, &Commands::upstreamList},
    {"upstream",
     "drain",
     "Stop sending new work to a host's upstream.",
     HostArgument,
     DrainOptions,
     true,
     &Commands::upstreamDrain},
    {"report", "burn", "Report the use of the error budgets.", {}, BurnOptions, true, &Commands::reportBurn},
    {"report", "jobs", "Report jobs that need attention.", {}, {}, true, &Commands::reportJobs},
    {"report", "placement", "Report which tasks run where.", {}, {}, true, &Commands::reportPlacement},
}};

} // namespace

std::span<const Command> allCommands()
{
    return CommandTable;
}

} // namespace Carobflow
