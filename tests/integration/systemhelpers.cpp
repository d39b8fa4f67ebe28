#include "systemhelpers.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow::Bench
{

namespace json = boost::json;

std::uint64_t metricOf(Cluster &cluster, const HttpEndpoint &process, std::string_view name)
{
    const auto outcome = cluster.caller().call(process, {.target = "/metrics", .timeout = Milliseconds(500)});
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    std::istringstream lines(answer == nullptr ? std::string() : answer->body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(std::string(name) + " ")) {
            return static_cast<std::uint64_t>(std::stod(line.substr(name.size() + 1)));
        }
    }
    return 0;
}

std::vector<HttpEndpoint> allProcesses(const Cluster &cluster)
{
    std::vector<HttpEndpoint> processes;
    for (std::uint32_t index = 0; index < cluster.deployment().entries; ++index) {
        processes.push_back(cluster.entry(index));
    }
    for (std::uint32_t index = 0; index < cluster.deployment().hosts; ++index) {
        processes.push_back(cluster.agentHttp(index));
    }
    return processes;
}

Milliseconds waitUntilInForce(Cluster &cluster, SheetVersion version, TimePoint since)
{
    waitUntil("sheet version " + std::to_string(version) + " is in force everywhere", [&] {
        return std::ranges::all_of(allProcesses(cluster), [&](const HttpEndpoint &process) {
            return metricOf(cluster, process, "carobflow_sheet_version") == version;
        });
    });
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - since);
}

std::uint32_t waitForLeader(Cluster &cluster, std::optional<std::uint32_t> otherThan)
{
    std::uint32_t leader = 0;
    waitUntil("another agent leads", [&] {
        for (std::uint32_t index = 0; index < cluster.deployment().hosts; ++index) {
            if (otherThan != index
                && metricOf(cluster, cluster.agentHttp(index), "carobflow_shard_leading{shard=\"0\"}") == 1) {
                leader = index;
                return true;
            }
        }
        return false;
    });
    return leader;
}

std::unique_ptr<ChildProcess>
startClient(const Cluster &cluster, std::uint32_t entry, std::vector<std::string> arguments)
{
    static int starts = 0;
    const std::string name = "client-" + std::to_string(++starts);
    arguments.insert(arguments.end(),
                     {"--entry",
                      "127.0.0.1:" + std::to_string(cluster.entry(entry).port),
                      "--token",
                      std::string(Cluster::operatorToken())});
    return std::make_unique<ChildProcess>(
        ChildProcess::Options{.name = name,
                              .program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "carobflow",
                              .arguments = std::move(arguments),
                              .output = cluster.directory() / (name + ".log")});
}

std::string sheetFile(const Cluster &cluster, const std::string &name, const std::string &text)
{
    const auto path = cluster.directory() / name;
    std::ofstream(path) << text;
    return path.string();
}

std::int64_t monotonicMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::vector<std::int64_t> taskStarts(Cluster &cluster, std::string_view dataCentre)
{
    std::vector<std::int64_t> starts;
    const auto logs = cluster.hostLogs();
    for (std::uint32_t index = 0; index < logs.size(); ++index) {
        if (!dataCentre.empty() && cluster.dataCentreOf(index) != dataCentre) {
            continue;
        }
        for (const auto &event : logs[index].at("tasks").as_array()) {
            if (event.at("event").as_string() == "start") {
                starts.push_back(event.at("atMs").as_int64());
            }
        }
    }
    std::ranges::sort(starts);
    return starts;
}

std::uint64_t executedRequests(Cluster &cluster, std::string_view dataCentre)
{
    std::uint64_t executed = 0;
    const auto logs = cluster.hostLogs();
    for (std::uint32_t index = 0; index < logs.size(); ++index) {
        executed += cluster.dataCentreOf(index) == dataCentre ? logs[index].at("executed").to_number<std::uint64_t>()
                                                              : 0;
    }
    return executed;
}

RepeatedCall::RepeatedCall(std::function<void()> function, Milliseconds interval)
    : m_thread([this, function = std::move(function), interval] {
        while (!m_stopped) {
            function();
            std::this_thread::sleep_for(interval);
        }
    })
{
}

RepeatedCall::~RepeatedCall()
{
    stop();
}

void RepeatedCall::stop()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

BalancedLoad::BalancedLoad(Cluster &cluster, double requestsPerSecond)
    : m_cluster(cluster)
    , m_rate(requestsPerSecond)
    , m_sending([this] { sendBatch(); }, Milliseconds(0))
{
}

void BalancedLoad::sendBatch()
{
    std::vector<HttpEndpoint> ready;
    for (std::uint32_t index = 0; index < m_cluster.deployment().entries; ++index) {
        const auto outcome = m_cluster.caller().call(m_cluster.entry(index),
                                                     {.target = "/readyz", .timeout = Milliseconds(200)});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer != nullptr && answer->status == 200) {
            ready.push_back(m_cluster.entry(index));
        }
    }
    if (ready.empty()) {
        return;
    }
    const LoadSummary some = Load::run(m_cluster.caller(),
                                       ready,
                                       {.requestsPerSecond = m_rate,
                                        .duration = Milliseconds(100),
                                        .seed = ++m_seed,
                                        .service = m_cluster.deployment().service});
    const std::lock_guard lock(m_mutex);
    m_summary.answered += some.answered;
    m_summary.notRun += some.notRun;
    m_summary.unknown += some.unknown;
    m_summary.refused += some.refused;
    m_summary.cut += some.cut;
    m_summary.wrong += some.wrong;
}

std::uint64_t BalancedLoad::answered() const
{
    const std::lock_guard lock(m_mutex);
    return m_summary.answered;
}

LoadSummary BalancedLoad::stop()
{
    m_sending.stop();
    return m_summary;
}

JobStream::JobStream(Cluster &cluster, std::string prefix, Milliseconds interval, std::int64_t runSeconds)
    : m_cluster(cluster)
    , m_prefix(std::move(prefix))
    , m_runSeconds(runSeconds)
    , m_submitting([this] { submitOne(); }, interval)
{
}

void JobStream::submitOne()
{
    const std::string id = m_prefix + "-" + std::to_string(++m_next);
    const json::object job{{"id", id},
                           {"team", "workshop"},
                           {"jobClass", "reseam"},
                           {"cpuMillis", 1000},
                           {"memoryMiB", 1000},
                           {"runSeconds", m_runSeconds}};
    const auto outcome = m_cluster.caller().call(
        m_cluster.entry(0),
        {.method = "POST", .target = "/v1/jobs", .body = json::serialize(job), .timeout = Milliseconds(4000)});
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (answer != nullptr && answer->status == 202) {
        const std::lock_guard lock(m_mutex);
        m_accepted.push_back(id);
    }
}

void JobStream::stop()
{
    m_submitting.stop();
}

std::size_t JobStream::submitted() const
{
    const std::lock_guard lock(m_mutex);
    return m_accepted.size();
}

std::map<std::string, std::string> JobStream::states() const
{
    std::map<std::string, std::string> states;
    const auto outcome = m_cluster.caller().call(m_cluster.entry(0),
                                                 {.target = "/v1/jobs", .timeout = Milliseconds(4000)});
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    if (answer != nullptr && answer->status == 200) {
        const auto document = json::parse(answer->body);
        for (const auto &job : document.at("jobs").as_array()) {
            states[std::string(job.at("id").as_string())] = std::string(job.at("state").as_string());
        }
    }
    return states;
}

std::vector<std::string> JobStream::unfinished() const
{
    const auto known = states();
    std::vector<std::string> list;
    const std::lock_guard lock(m_mutex);
    for (const std::string &id : m_accepted) {
        const auto found = known.find(id);
        if (found == known.end() || found->second != "finished") {
            list.push_back(id + "=" + (found == known.end() ? "missing" : found->second));
        }
    }
    return list;
}

std::size_t JobStream::finishedSince(std::size_t first) const
{
    const auto known = states();
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (std::size_t index = first; index < m_accepted.size(); ++index) {
        const auto found = known.find(m_accepted[index]);
        count += found != known.end() && found->second == "finished" ? 1 : 0;
    }
    return count;
}

void waitUntilFinished(std::initializer_list<const JobStream *> streams, Milliseconds limit)
{
    std::string left;
    const auto allFinished = [&] {
        left.clear();
        for (const JobStream *stream : streams) {
            for (const std::string &job : stream->unfinished()) {
                left += " " + job;
            }
        }
        return left.empty();
    };
    try {
        waitUntil("all jobs finish", allFinished, limit);
    } catch (const std::runtime_error &error) {
        throw std::runtime_error(error.what() + std::string(":") + left);
    }
}

} // namespace Carobflow::Bench
