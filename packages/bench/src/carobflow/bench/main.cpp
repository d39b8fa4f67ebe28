#include "carobflow/bench/demo.h"

#include <iostream>

#include <cxxopts.hpp>

int main(int argc, char **argv)
{
    using namespace Carobflow::Bench;
    try {
        cxxopts::Options options("carobflow-benchmark", "Runs whole systems of real processes against stand-ins.");
        options.add_options()("command", "demo", cxxopts::value<std::string>());
        options.add_options()("h,help", "print this help");
        options.parse_positional({"command"});
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0 || arguments.count("command") == 0) {
            std::cout << options.help() << std::endl;
            return arguments.count("help") != 0 ? 0 : 2;
        }
        if (arguments["command"].as<std::string>() == "demo") {
            return runDemo();
        }
        std::cerr << "unknown command; see --help\n";
        return 2;
    } catch (const std::exception &exception) {
        std::cerr << "carobflow-benchmark: " << exception.what() << "\n";
        return 1;
    }
}
