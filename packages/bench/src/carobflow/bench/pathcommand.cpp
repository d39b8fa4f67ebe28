#include "carobflow/bench/pathcommand.h"

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/load.h"
#include "carobflow/bench/processusage.h"
#include "carobflow/bench/report.h"

#include <atomic>
#include <future>
#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

/// Each pair consists of one direct call and one through the system.
constexpr int LatencyPairs = 1500;
constexpr int Slices = 4;
constexpr Milliseconds SliceDuration{1500};
constexpr int ConcurrentCallers = 64;

struct CallPath {
    std::string name;
    std::vector<HttpEndpoint> targets;
    std::string path;
    LoadSummary latency;
    LoadSummary throughput;
};

HttpRequest requestOf(const CallPath &callPath)
{
    return {.method = "POST",
            .target = callPath.path,
            .headers = {{"Carobflow-Timeout-Ms", "2000"}},
            .body = "measurement",
            .timeout = Milliseconds(4000)};
}

bool isExpectedAnswer(const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr && answer->status == 200 && answer->body.ends_with("measurement");
}

void callOnce(HttpCaller &caller, CallPath &callPath, int number)
{
    const auto startedAt = Clock::now();
    const bool succeeded = isExpectedAnswer(
        caller.call(callPath.targets[static_cast<std::size_t>(number) % callPath.targets.size()], requestOf(callPath)));
    const std::chrono::duration<double, std::milli> elapsed = Clock::now() - startedAt;
    if (succeeded) {
        ++callPath.latency.answered;
        callPath.latency.answeredMilliseconds.push_back(elapsed.count());
    } else {
        ++callPath.latency.cut;
    }
}

/// A closed-loop caller: sends the next request once the previous one has been answered.
asio::awaitable<std::uint64_t>
callUntil(HttpCaller &caller, const CallPath &callPath, std::size_t target, TimePoint end)
{
    std::uint64_t answered = 0;
    while (Clock::now() < end) {
        HttpEndpoint endpoint = callPath.targets[target % callPath.targets.size()];
        HttpRequest request = requestOf(callPath);
        const HttpOutcome outcome = co_await caller.client().call(std::move(endpoint), std::move(request));
        answered += isExpectedAnswer(outcome) ? 1 : 0;
    }
    co_return answered;
}

void runSlice(HttpCaller &caller, CallPath &callPath)
{
    const auto startedAt = Clock::now();
    std::vector<std::future<std::uint64_t>> running;
    for (std::size_t index = 0; index < ConcurrentCallers; ++index) {
        running.push_back(asio::co_spawn(
            caller.executor(), callUntil(caller, callPath, index, startedAt + SliceDuration), asio::use_future));
    }
    for (auto &result : running) {
        callPath.throughput.answered += result.get();
    }
    callPath.throughput.seconds += std::chrono::duration<double>(Clock::now() - startedAt).count();
}

double daemonCpuSeconds(Cluster &cluster)
{
    double seconds = 0;
    for (std::uint32_t index = 0; index < cluster.deployment().hosts; ++index) {
        seconds += ProcessUsage::of(cluster.agentProcess(index).pid()).cpuSeconds;
    }
    for (std::uint32_t index = 0; index < cluster.deployment().entries; ++index) {
        seconds += ProcessUsage::of(cluster.entryProcess(index).pid()).cpuSeconds;
    }
    return seconds;
}

} // namespace

int runPath(const MeasurementOptions &options)
{
    Report report("path: a call through entry and agent against a direct call of the same upstreams");
    Deployment deployment = coopDeployment();
    deployment.serviceMilliseconds = 1;
    Cluster cluster({.deployment = deployment,
                     .hostArguments = {"--sigma", "0.01"},
                     .daemon = options.daemon,
                     .seed = options.seed});
    cluster.start(baseSheet(deployment));
    CallPath direct{.name = "direct", .path = "/quote"};
    for (std::uint32_t index = 0; index < deployment.hosts; ++index) {
        direct.targets.push_back(cluster.upstream(index));
    }
    CallPath throughSystem{
        .name = "through", .targets = cluster.entries(), .path = "/v1/services/" + deployment.service + "/quote"};
    HttpCaller caller(2);
    for (int number = 0; number < LatencyPairs; ++number) {
        callOnce(caller, direct, number);
        callOnce(caller, throughSystem, number);
    }
    double daemonSeconds = 0;
    for (int slice = 0; slice < Slices; ++slice) {
        runSlice(caller, direct);
        const double before = daemonCpuSeconds(cluster);
        runSlice(caller, throughSystem);
        daemonSeconds += daemonCpuSeconds(cluster) - before;
    }
    for (const CallPath *callPath : {&direct, &throughSystem}) {
        report.add("way",
                   {{"way", callPath->name},
                    {"p50Ms", rounded(callPath->latency.quantile(0.5))},
                    {"p99Ms", rounded(callPath->latency.quantile(0.99))},
                    {"requestsPerSecond", rounded(callPath->throughput.answeredPerSecond())},
                    {"unanswered", callPath->latency.cut}});
    }
    report.add("added",
               {{"p50Ms", rounded(throughSystem.latency.quantile(0.5) - direct.latency.quantile(0.5))},
                {"p99Ms", rounded(throughSystem.latency.quantile(0.99) - direct.latency.quantile(0.99))},
                {"throughputRatio",
                 rounded(throughSystem.throughput.answeredPerSecond() / direct.throughput.answeredPerSecond())},
                {"daemonCpuMsPerRequest",
                 rounded(daemonSeconds * 1000 / static_cast<double>(throughSystem.throughput.answered))}});
    const auto failed = cluster.stop();
    report.print(options.json);
    return direct.latency.cut + throughSystem.latency.cut == 0 && failed.empty() ? 0 : 1;
}

} // namespace Carobflow::Bench
