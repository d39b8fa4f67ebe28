#include "carobflow/daemon/agentprocess.h"
#include "carobflow/daemon/entryprocess.h"
#include "carobflow/daemon/settings.h"
#include "carobflow/logging/log.h"
#include "carobflow/platform/nodes.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include <absl/synchronization/mutex.h>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

namespace
{

using namespace Carobflow;

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

std::unique_ptr<Process> makeProcess(boost::asio::io_context &context, const Settings &settings)
{
    if (settings.deployment == Deployment::Hosted) {
        return Platform::makeNode(context, settings);
    }
    return settings.role == Role::Entry ? makeEntryProcess(context, settings) : makeAgentProcess(context, settings);
}

int runDaemon(const Settings &settings)
{
    configureLog(settings.name, logLevelOf(settings.logLevel));
    // A write to a connection closed by the peer then fails with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Debian's build of Abseil, whose mutexes gRPC uses, runs deadlock detection at every lock.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    boost::asio::io_context context(static_cast<int>(settings.threads));
    const std::unique_ptr<Process> process = makeProcess(context, settings);
    const int code = runProcess(context, settings, *process);
    // Suspended coroutines refer to the process object, so the program exits without destroying either.
    std::cout.flush();
    std::_Exit(code);
}

/// Returns the settings path given by --settings or by the environment variable named by --settings-variable, or an
/// empty string.
std::string settingsPath(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("settings") != 0) {
        return arguments["settings"].as<std::string>();
    }
    if (arguments.count("settings-variable") != 0) {
        const char *path = std::getenv(arguments["settings-variable"].as<std::string>().c_str());
        return path == nullptr ? std::string() : path;
    }
    return {};
}

int runMain(int argc, char **argv)
{
    cxxopts::Options options("carobflowd", "Runs an entry or an agent of carobflow.");
    options.add_options()("settings", "INI file with the settings", cxxopts::value<std::string>());
    options.add_options()(
        "settings-variable", "environment variable that holds the path of the settings", cxxopts::value<std::string>());
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
    const std::string path = settingsPath(arguments);
    if (path.empty()) {
        std::cerr << "carobflowd: no settings; name an INI file with --settings FILE\n";
        return ExitUsage;
    }
    const auto settings = loadSettings(path);
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
