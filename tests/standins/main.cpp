#include "standins/hoststandin.h"
#include "standins/platformstandin.h"
#include "standins/proxystandin.h"

#include <csignal>
#include <iostream>
#include <span>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

namespace
{

using namespace Carobflow;
using namespace Carobflow::StandIn;
using Milliseconds = std::chrono::milliseconds;
using Port = std::uint16_t;

void addCommonOptions(cxxopts::Options &options)
{
    options.add_options()("h,help", "print this help")(
        "address", "IP address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "port, 0 for any", cxxopts::value<Port>()->default_value("0"))(
        "control-port", "port of the control calls, 0 for any", cxxopts::value<Port>()->default_value("0"));
}

void addHostOptions(cxxopts::Options &options)
{
    const auto text = [](const char *value) { return cxxopts::value<std::string>()->default_value(value); };
    const auto number = [](const char *value) { return cxxopts::value<std::int64_t>()->default_value(value); };
    const auto real = [](const char *value) { return cxxopts::value<double>()->default_value(value); };
    options.add_options("host")("name", "name in the answers of the upstream", text("upstream"))(
        "cpu-millis", "capacity", number("32000"))("memory-mib", "capacity", number("125000"))(
        "accelerators", "capacity", number("0"))("speed", "work seconds a second", real("1"))(
        "usage-factor", "measured usage by declared size", real("1"))(
        "usage-lag-ms", "lag of the measured usage", number("500"))(
        "stop-ms", "time that a task takes to stop", number("50"))("accept-all", "start tasks that do not fit, too")(
        "fail-all", "let every task fail")(
        "fail-class", "let tasks of this class fail", cxxopts::value<std::vector<std::string>>())(
        "upstream-port", "port of the upstream, 0 for any", cxxopts::value<Port>()->default_value("0"))(
        "agent", "address:port of the agent", text(""))("service", "service of the upstream", text("desk"))(
        "slots", "slots of the upstream", cxxopts::value<std::uint32_t>()->default_value("8"))(
        "connections", "connections of the upstream", cxxopts::value<std::uint32_t>()->default_value("64"))(
        "service-ms", "median service time", number("20"))("sigma", "shape of the service times", real("0.4"))(
        "seed", "seed of the service times", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "pair-seed", "seed of the slowdown factors", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "max-slowdown", "largest slowdown factor of a task", real("3"));
}

HostStandIn::Options hostOptionsOf(const cxxopts::ParseResult &arguments)
{
    HostStandIn::Options options{.address = arguments["address"].as<std::string>(),
                                 .port = arguments["port"].as<Port>(),
                                 .upstreamPort = arguments["upstream-port"].as<Port>(),
                                 .controlPort = arguments["control-port"].as<Port>(),
                                 .agent = arguments["agent"].as<std::string>(),
                                 .connections = arguments["connections"].as<std::uint32_t>()};
    const auto milliseconds = [&](const char *name) { return Milliseconds(arguments[name].as<std::int64_t>()); };
    options.worker = {.capacity = {.cpuMillis = arguments["cpu-millis"].as<std::int64_t>(),
                                   .memoryMiB = arguments["memory-mib"].as<std::int64_t>(),
                                   .accelerators = arguments["accelerators"].as<std::int64_t>()},
                      .speed = arguments["speed"].as<double>(),
                      .usageFactor = arguments["usage-factor"].as<double>(),
                      .usageLag = milliseconds("usage-lag-ms"),
                      .stopTime = milliseconds("stop-ms"),
                      .enforceCapacity = arguments.count("accept-all") == 0,
                      .failAll = arguments.count("fail-all") != 0};
    if (arguments.count("fail-class") != 0) {
        const auto &classes = arguments["fail-class"].as<std::vector<std::string>>();
        options.worker.failingClasses = {classes.begin(), classes.end()};
    }
    options.upstream = {.name = arguments["name"].as<std::string>(),
                        .service = arguments["service"].as<std::string>(),
                        .slots = arguments["slots"].as<std::uint32_t>(),
                        .serviceTime = milliseconds("service-ms"),
                        .sigma = arguments["sigma"].as<double>(),
                        .seed = arguments["seed"].as<std::uint64_t>(),
                        .pairSeed = arguments["pair-seed"].as<std::uint64_t>(),
                        .maxSlowdown = arguments["max-slowdown"].as<double>()};
    return options;
}

/// Adds the routes "[name@]listen=target"; a route without a name is named by its index.
std::string addRoutes(ProxyStandIn &proxy, const std::vector<std::string> &routes)
{
    std::ostringstream ready;
    std::size_t index = 0;
    for (const auto &route : routes) {
        const auto at = route.find('@');
        const auto name = at == std::string::npos ? std::to_string(index) : route.substr(0, at);
        const auto pair = at == std::string::npos ? route : route.substr(at + 1);
        const auto equals = pair.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("'" + route + "' is not [name@]listen=target");
        }
        const auto listen = static_cast<Port>(std::stoul(pair.substr(0, equals)));
        const auto port = proxy.addRoute(name, listen, pair.substr(equals + 1));
        if (index++ == 0) {
            ready << " port=" << port;
        }
        ready << " route." << name << '=' << port;
    }
    return ready.str();
}

void runUntilSignal(boost::asio::io_context &io, const std::string &ready)
{
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { io.stop(); });
    std::cout << "ready" << ready << std::endl;
    io.run();
}

int run(const std::string &command, int argc, char **argv)
{
    cxxopts::Options options("carobflow-standin " + command, "Stand-in for an external system in tests.");
    addCommonOptions(options);
    if (command == "host") {
        addHostOptions(options);
    } else if (command == "proxy") {
        options.add_options()("route", "[name@]listen=target", cxxopts::value<std::vector<std::string>>());
    } else if (command != "platform") {
        std::cerr << "usage: carobflow-standin platform|host|proxy [options]; --help after the subcommand lists them\n";
        return 2;
    }
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help() << std::endl;
        return 0;
    }
    const auto address = arguments["address"].as<std::string>();
    const auto controlPort = arguments["control-port"].as<Port>();
    const auto text = [](const char *name, Port port) { return name + std::to_string(port); };
    boost::asio::io_context io(1);
    if (command == "platform") {
        const PlatformStandIn platform(
            io, {.address = address, .port = arguments["port"].as<Port>(), .controlPort = controlPort});
        runUntilSignal(io, text(" port=", platform.port()) + text(" control=", platform.controlPort()));
    } else if (command == "host") {
        const HostStandIn host(io, hostOptionsOf(arguments));
        runUntilSignal(io,
                       text(" port=", host.port()) + text(" control=", host.controlPort())
                           + text(" upstream=", host.upstreamPort()));
    } else {
        ProxyStandIn proxy(io, {.address = address, .controlPort = controlPort});
        const auto routes = arguments.count("route") != 0 ? arguments["route"].as<std::vector<std::string>>()
                                                          : std::vector<std::string>();
        runUntilSignal(io, addRoutes(proxy, routes) + text(" control=", proxy.controlPort()));
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const std::span words(argv, static_cast<std::size_t>(argc));
        const std::string command = words.size() > 1 ? words[1] : "";
        // The subcommand takes the place of the program name.
        return run(command, argc > 1 ? argc - 1 : argc, words.size() > 1 ? &words[1] : argv);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n';
        return 2;
    }
}
