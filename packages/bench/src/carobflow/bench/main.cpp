#include "carobflow/bench/demo.h"
#include "carobflow/bench/overloadcommand.h"
#include "carobflow/bench/pathcommand.h"
#include "carobflow/bench/policycommand.h"
#include "carobflow/bench/slopescommand.h"

#include <array>
#include <iostream>
#include <string_view>

#include <cxxopts.hpp>

namespace
{

using namespace Carobflow::Bench;

struct Command {
    std::string_view name;
    int (*run)(const MeasurementOptions &options);
};

constexpr std::array Commands{
    Command{"demo", [](const MeasurementOptions &) { return runDemo(); }},
    Command{"path", runPath},
    Command{"policy", runPolicy},
    Command{"overload", runOverload},
    Command{"slopes", runSlopes},
};

void addOptions(cxxopts::Options &options)
{
    const MeasurementOptions defaults;
    options.add_options()("command", "demo, path, policy, overload or slopes", cxxopts::value<std::string>());
    options.add_options()("json", "print JSON instead of tables");
    options.add_options()("seed",
                          "random seed of load, service times and slowdowns",
                          cxxopts::value<std::uint64_t>()->default_value(std::to_string(defaults.seed)));
    options.add_options()(
        "deployment", "coop or carta-andina", cxxopts::value<std::string>()->default_value(defaults.deployment));
    options.add_options()(
        "policy", "adaptive or baseline", cxxopts::value<std::string>()->default_value(defaults.policy));
    options.add_options()("load",
                          "load of the service as a fraction of its capacity",
                          cxxopts::value<double>()->default_value(std::to_string(defaults.load)));
    options.add_options()("part",
                          "part of slopes: sheets, commits, jobs or agents; all by default",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("daemon", "carobflowd to measure", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("h,help", "print this help");
    options.parse_positional({"command"});
    options.positional_help("COMMAND");
}

int run(int argc, char **argv)
{
    cxxopts::Options options("carobflow-benchmark",
                             "Measures complete systems of real processes that run against stand-ins.");
    addOptions(options);
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("command") == 0) {
        std::cout << options.help() << std::endl;
        return arguments.count("help") != 0 ? 0 : 2;
    }
    const auto &name = arguments["command"].as<std::string>();
    for (const Command &command : Commands) {
        if (command.name == name) {
            return command.run({.json = arguments.count("json") != 0,
                                .seed = arguments["seed"].as<std::uint64_t>(),
                                .daemon = arguments["daemon"].as<std::string>(),
                                .deployment = arguments["deployment"].as<std::string>(),
                                .policy = arguments["policy"].as<std::string>(),
                                .load = arguments["load"].as<double>(),
                                .part = arguments["part"].as<std::string>()});
        }
    }
    std::cerr << "unknown command '" << name << "'; see --help\n";
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &exception) {
        std::cerr << "carobflow-benchmark: " << exception.what() << "\n";
        return 1;
    }
}
