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

/// Each pair of calls is one direct and one through the system.
constexpr int LatencyPairs = 1500;
constexpr int Slices = 4;
constexpr Milliseconds SliceDuration{1500};
constexpr int Callers = 64;

struct Way {
    std::string name;
    std::vector<HttpEndpoint> targets;
    std::string path;
    LoadSummary latency;
    LoadSummary throughput;
};

HttpRequest requestOf(const Way &way)
{
    return {.method = "POST",
            .target = way.path,
            .headers = {{"Carobflow-Timeout-Ms", "2000"}},
            .body = "measurement",
            .timeout = Milliseconds(4000)};
}

bool isAnswer(const HttpOutcome &outcome)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr && answer->status == 200 && answer->body.ends_with("measurement");
}

void callOnce(HttpCaller &caller, Way &way, int number)
{
    const auto startedAt = Clock::now();
    const bool good = isAnswer(
        caller.call(way.targets[static_cast<std::size_t>(number) % way.targets.size()], requestOf(way)));
    const std::chrono::duration<double, std::milli> elapsed = Clock::now() - startedAt;
    if (good) {
        ++way.latency.answered;
        way.latency.answeredMilliseconds.push_back(elapsed.count());
    } else {
        ++way.latency.cut;
    }
}

/// One caller that sends the next request when the last is answered.
asio::awaitable<std::uint64_t> callUntil(HttpCaller &caller, const Way &way, std::size_t target, TimePoint end)
{
    std::uint64_t answered = 0;
    while (Clock::now() < end) {
        HttpEndpoint endpoint = way.targets[target % way.targets.size()];
        HttpRequest request = requestOf(way);
        const HttpOutcome outcome = co_await caller.client().call(std::move(endpoint), std::move(request));
        answered += isAnswer(outcome) ? 1 : 0;
    }
    co_return answered;
}

void runSlice(HttpCaller &caller, Way &way)
{
    const auto startedAt = Clock::now();
    std::vector<std::future<std::uint64_t>> running;
    for (std::size_t index = 0; index < Callers; ++index) {
        running.push_back(asio::co_spawn(
            caller.executor(), callUntil(caller, way, index, startedAt + SliceDuration), asio::use_future));
    }
    for (auto &result : running) {
        way.throughput.answered += result.get();
    }
    way.throughput.seconds += std::chrono::duration<double>(Clock::now() - startedAt).count();
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
    Way direct{.name = "direct", .path = "/quote"};
    for (std::uint32_t index = 0; index < deployment.hosts; ++index) {
        direct.targets.push_back(cluster.upstream(index));
    }
    Way through{
        .name = "through", .targets = cluster.entries(), .path = "/v1/services/" + deployment.service + "/quote"};
    HttpCaller caller(2);
    for (int number = 0; number < LatencyPairs; ++number) {
        callOnce(caller, direct, number);
        callOnce(caller, through, number);
    }
    double daemonSeconds = 0;
    for (int slice = 0; slice < Slices; ++slice) {
        runSlice(caller, direct);
        const double before = daemonCpuSeconds(cluster);
        runSlice(caller, through);
        daemonSeconds += daemonCpuSeconds(cluster) - before;
    }
    for (const Way *way : {&direct, &through}) {
        report.add("way",
                   {{"way", way->name},
                    {"p50Ms", rounded(way->latency.quantile(0.5))},
                    {"p99Ms", rounded(way->latency.quantile(0.99))},
                    {"requestsPerSecond", rounded(way->throughput.answeredPerSecond())},
                    {"unanswered", way->latency.cut}});
    }
    report.add(
        "added",
        {{"p50Ms", rounded(through.latency.quantile(0.5) - direct.latency.quantile(0.5))},
         {"p99Ms", rounded(through.latency.quantile(0.99) - direct.latency.quantile(0.99))},
         {"throughputRatio", rounded(through.throughput.answeredPerSecond() / direct.throughput.answeredPerSecond())},
         {"daemonCpuMsPerRequest", rounded(daemonSeconds * 1000 / static_cast<double>(through.throughput.answered))}});
    const auto failed = cluster.stop();
    report.print(options.json);
    return direct.latency.cut + through.latency.cut == 0 && failed.empty() ? 0 : 1;
}

} // namespace Carobflow::Bench
