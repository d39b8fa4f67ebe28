#include "hostedsystem.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <numeric>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow::Bench
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Milliseconds CallTimeout{4000};
constexpr Milliseconds PollPause{20};

std::string configuration(std::int64_t version, bool withQueue)
{
    json::object content{{"version", version}, {"routes", json::array()}, {"services", json::array()}};
    if (withQueue) {
        content["routes"].as_array().push_back(json::object{{"name", "r-desk"},
                                                            {"host", "desk.example"},
                                                            {"path-prefix", "/desk/"},
                                                            {"target-latency-ms", 250},
                                                            {"priority", 0},
                                                            {"service", "desk"},
                                                            {"max-attempts", 3},
                                                            {"stretch", 1.5}});
        content["services"].as_array().push_back(json::object{{"name", "desk"}});
    }
    return json::serialize(content);
}

HttpRequest requestFor(std::string method, const std::string &id)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = "/desk/" + id;
    request.headers = {{"Host", "desk.example"}, {"Carobflow-Deadline-Remaining", "3000"}};
    request.timeout = CallTimeout;
    return request;
}

unsigned statusOf(const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer == nullptr ? 0 : answer->status;
}

} // namespace

HostedSystem::HostedSystem(Options options)
    : m_options(std::move(options))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carobflow-hosted-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a directory for the test's files");
    }
    m_directory = pattern;
    m_store = std::make_unique<StandIn::StoreStandIn>(m_io);
    m_store->putOperatorRow("config", configuration(m_configurationVersion, true));
    const auto ports = [this] {
        return Ports{.http = m_ports.reserve(),
                     .ready = m_ports.reserve(),
                     .grpc = m_ports.reserve(),
                     .metrics = m_ports.reserve()};
    };
    for (std::size_t index = 0; index < m_options.agents; ++index) {
        m_agentPorts.push_back(ports());
        StandIn::ServerStandIn::Options worker;
        worker.id = "i-" + std::to_string(index);
        worker.cpuMillis = m_options.workerCpuMillis;
        worker.maxHold = m_options.maxLease;
        worker.zone = "zone-" + std::to_string(index % 3);
        m_workers.push_back(std::make_unique<StandIn::ServerStandIn>(m_io, worker, m_record));
        m_workers.back()->checkIn(m_agentPorts.back().http);
    }
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        m_entryPorts.push_back(ports());
    }
    m_thread = std::thread([this] {
        const auto guard = asio::make_work_guard(m_io);
        m_io.run();
    });
    m_agents.resize(m_options.agents);
    m_entries.resize(m_options.entries);
    for (std::size_t index = 0; index < m_options.agents; ++index) {
        startAgent(index);
    }
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        startEntry(index);
    }
}

HostedSystem::~HostedSystem()
{
    m_agents.clear();
    m_entries.clear();
    m_io.stop();
    m_thread.join();
    if (std::getenv("CAROBFLOW_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory);
    }
}

std::string HostedSystem::writeSettings(const std::string &name,
                                        const std::string &role,
                                        const Ports &ports,
                                        std::uint16_t upstream)
{
    std::string path = m_directory + "/" + name + ".ini";
    std::ofstream file(path);
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    file << "[process]\nrole = " << role << "\ndeployment = hosted\nname = " << name << "\ndata_centre = zone-1\n"
         << (role == "agent" && m_options.agentThreads > 0
                 ? "threads = " + std::to_string(m_options.agentThreads) + "\n"
                 : "")
         << "[listen]\nhttp = " << address(ports.http) << "\ngrpc = " << address(ports.grpc)
         << "\nmetrics = " << address(ports.metrics) << "\n";
    if (role == "entry") {
        file << "ready = " << address(ports.ready) << "\n";
    }
    file << "[hosted]\nstore = " << address(m_store->port()) << "\nmax_lease_ms = " << m_options.maxLease.count()
         << "\n";
    if (upstream != 0) {
        file << "upstream = " << address(upstream) << "\n";
    }
    if (!m_options.limits.empty()) {
        file << "[limits]\n" << m_options.limits;
    }
    file << "[timing]\ndrain_delay_ms = 100\n";
    return path;
}

void HostedSystem::startAgent(std::size_t index)
{
    const std::string name = "host-" + std::to_string(index);
    const std::string settings = writeSettings(name, "agent", m_agentPorts[index], m_workers[index]->port());
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "carobflowd";
    m_agents[index].reset();
    m_agents[index] = std::make_unique<ChildProcess>(
        ChildProcess::Options{.name = name,
                              .program = program,
                              .arguments = {"--settings", settings},
                              .output = m_directory + "/" + name + "-" + std::to_string(m_starts++) + ".log"});
}

void HostedSystem::startEntry(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    const std::string settings = writeSettings(name, "entry", m_entryPorts[index], 0);
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "carobflowd";
    m_entries[index].reset();
    m_entries[index] = std::make_unique<ChildProcess>(
        ChildProcess::Options{.name = name,
                              .program = program,
                              .arguments = {"--settings", settings},
                              .output = m_directory + "/" + name + "-" + std::to_string(m_starts++) + ".log"});
}

HttpEndpoint HostedSystem::entryEndpoint(std::size_t entry) const
{
    return {.host = "127.0.0.1", .port = m_entryPorts[entry].http};
}

void HostedSystem::waitUntilReady()
{
    waitUntil("every entry is ready", [&] {
        return std::ranges::all_of(m_entryPorts, [&](const Ports &ports) {
            HttpRequest request;
            request.target = "/carobflow/readiness";
            return statusOf(m_caller.call({.host = "127.0.0.1", .port = ports.ready}, request)) == 200;
        });
    });
}

unsigned HostedSystem::submit(const std::string &id, std::size_t tasks, Milliseconds work, std::size_t entry)
{
    return submitBody(
        id,
        json::serialize(json::object{
            {"task-spec", std::to_string(work.count())},
            {"steps",
             json::array{json::object{
                 {"count", tasks}, {"cpu", 500}, {"memory-limit-mb", 100}, {"estimated-ms", work.count()}}}}}),
        entry);
}

unsigned HostedSystem::submitBody(const std::string &id, std::string body, std::size_t entry)
{
    HttpRequest request = requestFor("POST", id);
    request.body = std::move(body);
    return statusOf(m_caller.call(entryEndpoint(entry), request));
}

std::string HostedSystem::state(const std::string &id, std::size_t entry)
{
    const HttpOutcome outcome = m_caller.call(entryEndpoint(entry), requestFor("GET", id));
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (answer == nullptr || answer->status != 200) {
        return std::to_string(statusOf(outcome));
    }
    return std::string(json::parse(answer->body).at("state").as_string());
}

unsigned HostedSystem::cancel(const std::string &id, std::size_t entry)
{
    return statusOf(m_caller.call(entryEndpoint(entry), requestFor("DELETE", id)));
}

unsigned HostedSystem::checkIn(std::size_t agent, const std::string &id, const json::object &report)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/carobflow/workers/" + id + "/heartbeat";
    request.body = json::serialize(report);
    request.timeout = CallTimeout;
    return statusOf(m_caller.call({.host = "127.0.0.1", .port = m_agentPorts[agent].http}, request));
}

void HostedSystem::configure(bool withQueue)
{
    ++m_configurationVersion;
    onStandIns([&] { m_store->putOperatorRow("config", configuration(m_configurationVersion, withQueue)); });
}

std::string HostedSystem::agentMetrics(std::size_t index)
{
    HttpRequest request;
    request.target = "/metrics";
    const HttpOutcome outcome = m_caller.call({.host = "127.0.0.1", .port = m_agentPorts[index].metrics}, request);
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer == nullptr ? std::string() : answer->body;
}

bool HostedSystem::waitForState(const std::string &id, const std::string &wanted, Milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        if (state(id) == wanted) {
            return true;
        }
        std::this_thread::sleep_for(PollPause);
    }
    return false;
}

std::size_t HostedSystem::waitForRunning(std::size_t tasks)
{
    std::vector<std::size_t> counts;
    waitUntil("the tasks run", [&] {
        counts.clear();
        onStandIns([&] {
            std::ranges::transform(
                m_workers, std::back_inserter(counts), [](const auto &worker) { return worker->runningCount(); });
        });
        return std::accumulate(counts.begin(), counts.end(), std::size_t(0)) == tasks;
    });
    return static_cast<std::size_t>(std::ranges::max_element(counts) - counts.begin());
}

void HostedSystem::onStandIns(const std::function<void()> &function)
{
    std::promise<void> done;
    asio::post(m_io, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

std::vector<StandIn::ObservedRun> HostedSystem::runs()
{
    std::vector<StandIn::ObservedRun> copy;
    onStandIns([&] { copy = m_record; });
    return copy;
}

std::optional<std::size_t> HostedSystem::leader()
{
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        if (!m_agents[index] || !m_agents[index]->isRunning()) {
            continue;
        }
        const std::string output = m_agents[index]->output();
        const auto began = output.rfind("event=state-loaded");
        const auto ended = output.rfind("event=leading-ended");
        if (began != std::string::npos && (ended == std::string::npos || ended < began)) {
            return index;
        }
    }
    return std::nullopt;
}

std::vector<std::string> HostedSystem::violations()
{
    std::vector<std::string> faults;
    std::uint64_t oversized = 0;
    onStandIns([&] { oversized = m_store->oversizedWrites; });
    if (oversized > 0) {
        faults.push_back(std::to_string(oversized) + " writes are beyond the store's limits");
    }
    std::map<std::string, std::vector<StandIn::ObservedRun>> byTask;
    for (const StandIn::ObservedRun &run : runs()) {
        byTask[run.task].push_back(run);
    }
    for (const auto &[task, starts] : byTask) {
        for (std::size_t later = 1; later < starts.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                const bool overlaps = starts[earlier].endedAt == 0 || starts[earlier].endedAt > starts[later].startedAt;
                if (overlaps) {
                    faults.push_back(task + " runs twice at once");
                } else if (starts[earlier].endState == "done") {
                    faults.push_back(task + " started after it was done");
                }
            }
        }
    }
    return faults;
}

} // namespace Carobflow::Bench
