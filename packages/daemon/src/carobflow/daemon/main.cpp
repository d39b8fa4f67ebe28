#include "carobflow/daemon/agentprocess.h"
#include "carobflow/daemon/entryprocess.h"
#include "carobflow/daemon/settings.h"
#include "carobflow/logging/log.h"

#include <csignal>
#include <iostream>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

namespace
{

using namespace Carobflow;

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

LogLevel levelOf(const std::string &name)
{
    static const std::map<std::string, LogLevel> Levels{{"debug", LogLevel::Debug},
                                                        {"info", LogLevel::Info},
                                                        {"warning", LogLevel::Warning},
                                                        {"error", LogLevel::Error}};
    return Levels.at(name);
}

int runDaemon(const Settings &settings)
{
    configureLog(settings.name, levelOf(settings.logLevel));
    // Writing to a connection that the other side has closed is reported as an error of the write.
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(static_cast<int>(settings.threads));
    const std::unique_ptr<Process> process = settings.role == Role::Entry ? makeEntryProcess(context, settings)
                                                                          : makeAgentProcess(context, settings);
    const int code = runProcess(context, settings, *process);
    // Suspended coroutines refer to the process object, so the program ends without destroying either.
    std::cout.flush();
    std::_Exit(code);
}

int runMain(int argc, char **argv)
{
    cxxopts::Options options("carobflowd", "Runs an entry or an agent of carobflow.");
    options.add_options()("settings", "INI file with the settings", cxxopts::value<std::string>());
    options.add_options()("check-settings", "check the settings and exit");
    options.add_options()("h,help", "print this help");
    options.add_options()("version", "print the version");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help() << "\nExit codes: 0 success, 1 failed to start, 2 usage or settings error.\n";
        return ExitOk;
    }
    if (arguments.count("version") != 0) {
        std::cout << "carobflowd " << CAROBFLOW_VERSION << "\n";
        return ExitOk;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "carobflowd: no settings; name an INI file with --settings FILE\n";
        return ExitUsage;
    }
    const auto settings = loadSettings(arguments["settings"].as<std::string>());
    if (!isOk(settings)) {
        std::cerr << errorOf(settings).message;
        return ExitUsage;
    }
    if (arguments.count("check-settings") != 0) {
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    return runDaemon(valueOf(settings));
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runMain(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "carobflowd: " << exception.what() << "; see carobflowd --help\n";
        return ExitUsage;
    } catch (const std::exception &exception) {
        std::cerr << "carobflowd: " << exception.what() << "\n";
        return 1;
    }
}
