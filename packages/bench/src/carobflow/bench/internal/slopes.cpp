#include "carobflow/bench/internal/slopes.h"

#include "carobflow/bench/internal/probes.h"

#include <algorithm>
#include <thread>

#include <boost/json/parse.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr Milliseconds SampleInterval{10000};
/// Time after a change until processor use has settled.
constexpr Milliseconds SettleTime{3000};
constexpr std::uint32_t MaxAgentsPerStandIn = 25;
/// More than the number of ledger rows between two snapshots, so that a snapshot that contains the jobs exists.
constexpr std::uint32_t ProbeCount = 205;

IntervalUsage meanOf(const std::vector<IntervalUsage> &usage)
{
    IntervalUsage mean;
    for (const IntervalUsage &one : usage) {
        mean.corePercent += one.corePercent / static_cast<double>(usage.size());
        mean.residentMiB += one.residentMiB / static_cast<double>(usage.size());
    }
    return mean;
}

/// A sheet of about this many lines, padded with teams because these start no tasks.
std::string sheetOfLines(const Deployment &deployment, std::size_t lines, int variant)
{
    std::string sheet = baseSheet(deployment);
    for (auto count = static_cast<std::size_t>(std::count(sheet.begin(), sheet.end(), '\n')); count < lines; ++count) {
        sheet += "team,team-" + std::to_string(count) + "," + std::to_string(1000 + variant) + ",1000,0\n";
    }
    return sheet;
}

std::uint64_t storeCount(Cluster &cluster, const char *kind)
{
    const auto stats = cluster.caller().getJson(cluster.platformControl(), "/control/stats");
    return stats.at(kind).to_number<std::uint64_t>();
}

std::vector<double> timesUntilInForce(Cluster &cluster, std::size_t lines, std::size_t repetitions)
{
    std::vector<double> times(repetitions);
    for (std::size_t variant = 0; variant < repetitions; ++variant) {
        times[variant] = millisecondsUntilInForce(cluster,
                                                  sheetOfLines(cluster.deployment(), lines, static_cast<int>(variant)));
    }
    return times;
}

double medianOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

void measureAgents(Report &report, const MeasurementOptions &options, std::uint32_t agents, std::uint32_t entries)
{
    Deployment deployment = coopDeployment();
    deployment.hosts = agents;
    deployment.entries = entries;
    Cluster cluster({.deployment = deployment,
                     .proxied = true,
                     .agentsPerStandIn = std::min(agents, MaxAgentsPerStandIn),
                     .daemon = options.daemon,
                     .seed = options.seed});
    cluster.start(baseSheet(deployment));
    std::this_thread::sleep_for(SettleTime);
    const std::uint32_t leader = cluster.leaderIndex();
    const auto epochBefore = epochOf(cluster);
    const auto bytesBefore = cluster.routeBytes();
    const auto writesBefore = storeCount(cluster, "writes");
    const auto readsBefore = storeCount(cluster, "reads");
    const auto startedAt = Clock::now();
    auto usage = measureUsage(cluster, SampleInterval);
    const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    const auto bytesAfter = cluster.routeBytes();
    const auto perSecond = [&](const std::string &route) {
        return static_cast<double>(bytesAfter.at(route) - bytesBefore.at(route)) / seconds;
    };
    const auto leaderAt = static_cast<std::ptrdiff_t>(deployment.entries) + static_cast<std::ptrdiff_t>(leader);
    const IntervalUsage leading = usage[static_cast<std::size_t>(leaderAt)];
    usage.erase(usage.begin() + leaderAt);
    const auto firstAgent = usage.begin() + deployment.entries;
    const IntervalUsage entry = meanOf({usage.begin(), firstAgent});
    const IntervalUsage agent = meanOf({firstAgent, usage.end()});
    const auto leaderChanges = epochOf(cluster) - epochBefore;
    double entryBytes = 0;
    for (std::uint32_t index = 0; index < deployment.entries; ++index) {
        entryBytes += perSecond("entry-" + std::to_string(index)) / deployment.entries;
    }
    const double syncBytes = perSecond("agent-" + std::to_string(leader));
    const std::vector<double> inForce = timesUntilInForce(cluster, 100, 3);
    report.add("agentsProcessor",
               {{"agents", agents},
                {"entries", entries},
                {"entryCorePercent", rounded(entry.corePercent)},
                {"agentCorePercent", rounded(agent.corePercent)},
                {"leaderCorePercent", rounded(leading.corePercent)},
                {"entryMiB", rounded(entry.residentMiB)},
                {"agentMiB", rounded(agent.residentMiB)},
                {"leaderMiB", rounded(leading.residentMiB)},
                {"leaderChanges", leaderChanges},
                {"load", loadAverage()}});
    report.add(
        "agentsBytes",
        {{"agents", agents},
         {"entries", entries},
         {"entryBytesPerSecond", rounded(entryBytes)},
         {"announceBytesPerAgentAndEntry", rounded(entryBytes / agents)},
         {"leaderBytesPerSecond", rounded(syncBytes)},
         {"syncBytesPerAgent", rounded(syncBytes / agents)},
         {"workerBytesPerAgent", rounded(perSecond("worker-" + std::to_string((leader + 1) % agents)))},
         {"tableBytesPerSecond", rounded(perSecond("table"))},
         {"storeWritesPerSecond", rounded(static_cast<double>(storeCount(cluster, "writes") - writesBefore) / seconds)},
         {"storeReadsPerSecond", rounded(static_cast<double>(storeCount(cluster, "reads") - readsBefore) / seconds)},
         {"sheetMsMedian", rounded(medianOf(inForce))},
         {"sheetMsMax", rounded(*std::max_element(inForce.begin(), inForce.end()))}});
    cluster.stop();
}

void measureWaitingJobs(Report &report, const MeasurementOptions &options)
{
    const Deployment deployment = coopDeployment();
    Cluster cluster({.deployment = deployment, .daemon = options.daemon, .seed = options.seed});
    cluster.start(baseSheet(deployment));
    std::uint32_t waiting = 0;
    for (const std::uint32_t level : {100U, 1000U, 10000U}) {
        const std::string name = "held-" + std::to_string(level);
        const std::uint32_t fill = level > waiting + ProbeCount ? level - waiting - ProbeCount : 0;
        const auto filled = submitJobs(cluster, name, fill, 400);
        const auto probes = submitJobs(cluster, name + "-probe", ProbeCount, 0);
        waiting += static_cast<std::uint32_t>(filled.accepted + probes.accepted);
        std::this_thread::sleep_for(SettleTime);
        const std::uint32_t leader = cluster.leaderIndex();
        const auto usage = measureUsage(cluster, SampleInterval).at(deployment.entries + leader);
        const std::string snapshot = lastSnapshot(cluster);
        const auto jobs = snapshot.empty() ? 0 : json::parse(snapshot).at("jobs").as_object().size();
        report.add("jobsHeld",
                   {{"jobs", waiting},
                    {"refused", filled.refused + probes.refused},
                    {"snapshotJobs", jobs},
                    {"snapshotBytes", snapshot.size()},
                    {"submitP50Ms", rounded(probes.quantile(0.5))},
                    {"submitP99Ms", rounded(probes.quantile(0.99))},
                    {"leaderCorePercent", rounded(usage.corePercent)},
                    {"leaderMiB", rounded(usage.residentMiB)},
                    {"load", loadAverage()}});
    }
    cluster.stop();
}

void measureSheetSizes(Report &report, const MeasurementOptions &options)
{
    const Deployment deployment = coopDeployment();
    Cluster cluster({.deployment = deployment, .daemon = options.daemon, .seed = options.seed});
    cluster.start(baseSheet(deployment));
    for (const std::size_t lines : {10U, 100U, 1000U}) {
        const std::vector<double> inForce = timesUntilInForce(cluster, lines, 5);
        report.add("sheetSizes",
                   {{"lines", lines},
                    {"bytes", sheetOfLines(deployment, lines, 0).size()},
                    {"medianMs", rounded(medianOf(inForce))},
                    {"maxMs", rounded(*std::max_element(inForce.begin(), inForce.end()))},
                    {"load", loadAverage()}});
    }
    cluster.stop();
}

void measureGroupCommits(Report &report, const MeasurementOptions &options)
{
    const Deployment deployment = coopDeployment();
    Cluster cluster({.deployment = deployment, .daemon = options.daemon, .seed = options.seed});
    cluster.start(baseSheet(deployment));
    for (const std::uint32_t rate : {1U, 10U, 50U, 100U, 240U, 500U}) {
        const std::uint32_t leader = cluster.leaderIndex();
        const auto cpuBefore = ProcessUsage::of(cluster.agentProcess(leader).pid()).cpuSeconds;
        const auto commitsBefore = commitsOf(cluster);
        const auto writesBefore = storeCount(cluster, "writes");
        const auto startedAt = Clock::now();
        const auto summary = submitJobs(cluster, "rate-" + std::to_string(rate), rate * 5, rate);
        const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
        const auto cpu = ProcessUsage::of(cluster.agentProcess(leader).pid()).cpuSeconds - cpuBefore;
        report.add("groupCommits",
                   {{"submissionsPerSecond", rate},
                    {"accepted", summary.accepted},
                    {"refused", summary.refused},
                    {"commitsPerSecond", rounded(static_cast<double>(commitsOf(cluster) - commitsBefore) / seconds)},
                    {"storeWritesPerSecond",
                     rounded(static_cast<double>(storeCount(cluster, "writes") - writesBefore) / seconds)},
                    {"p50Ms", rounded(summary.quantile(0.5))},
                    {"p99Ms", rounded(summary.quantile(0.99))},
                    {"leaderCorePercent", rounded(100 * cpu / seconds)},
                    {"load", loadAverage()}});
    }
    cluster.stop();
}

} // namespace Carobflow::Bench
