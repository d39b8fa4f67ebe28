#include "carobflow/bench/internal/probes.h"

#include "carobflow/bench/load.h"

#include <atomic>
#include <future>
#include <iomanip>
#include <mutex>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr Seconds InForceLimit{30};
/// Digits of a sequence number in the keys of the store.
constexpr int SequenceDigits = 20;

std::vector<int> daemonPids(Cluster &cluster)
{
    std::vector<int> pids;
    for (std::uint32_t index = 0; index < cluster.deployment().entries; ++index) {
        pids.push_back(cluster.entryProcess(index).pid());
    }
    for (std::uint32_t index = 0; index < cluster.deployment().hosts; ++index) {
        pids.push_back(cluster.agentProcess(index).pid());
    }
    return pids;
}

asio::awaitable<double> waitForVersion(HttpCaller &caller, HttpEndpoint endpoint, std::string line, Milliseconds poll)
{
    const auto startedAt = Clock::now();
    while (Clock::now() - startedAt < InForceLimit) {
        HttpRequest request{.target = "/metrics"};
        HttpEndpoint target = endpoint;
        const HttpOutcome outcome = co_await caller.client().call(std::move(target), std::move(request));
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer != nullptr && answer->body.find(line) != std::string::npos) {
            co_return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
        }
        asio::steady_timer timer(caller.executor(), poll);
        co_await timer.async_wait(asio::use_awaitable);
    }
    throw std::runtime_error("a sheet was not in force everywhere within 30 s");
}

json::object shardRow(Cluster &cluster)
{
    const auto reply = cluster.caller().postJson(cluster.platform(), "/table/read", {{"keys", json::array{"shard/0"}}});
    return json::parse(json::value_to<std::string>(reply.at("rows").at(0).at("value"))).as_object();
}

asio::awaitable<bool> submitOne(HttpCaller &caller, HttpEndpoint entry, std::string id, std::int64_t cpuMillis)
{
    const json::object body{{"id", id},
                            {"team", "workshop"},
                            {"jobClass", "held"},
                            {"urgency", "normal"},
                            {"cpuMillis", cpuMillis},
                            {"memoryMiB", 1000},
                            {"accelerators", 0},
                            {"runSeconds", 3600},
                            {"deadlineUnixSeconds", 0}};
    HttpRequest request{.method = "POST",
                        .target = "/v1/jobs",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = json::serialize(body),
                        .timeout = Milliseconds(20000)};
    const HttpOutcome outcome = co_await caller.client().call(std::move(entry), std::move(request));
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    co_return answer != nullptr && answer->status < 300;
}

} // namespace

std::vector<IntervalUsage> measureUsage(Cluster &cluster, Milliseconds interval)
{
    const auto pids = daemonPids(cluster);
    std::vector<double> before;
    before.reserve(pids.size());
    for (const int pid : pids) {
        before.push_back(ProcessUsage::of(pid).cpuSeconds);
    }
    const auto startedAt = Clock::now();
    std::this_thread::sleep_for(interval);
    std::vector<IntervalUsage> usage;
    for (std::size_t index = 0; index < pids.size(); ++index) {
        const ProcessUsage after = ProcessUsage::of(pids[index]);
        const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
        usage.push_back(
            {.corePercent = 100 * (after.cpuSeconds - before[index]) / seconds, .residentMiB = after.residentMiB});
    }
    return usage;
}

double millisecondsUntilInForce(Cluster &cluster, const std::string &sheet)
{
    const Deployment &deployment = cluster.deployment();
    const auto startedAt = std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
    const std::uint64_t version = cluster.applySheet(sheet);
    const std::string line = "carobflow_sheet_version " + std::to_string(version);
    std::vector<HttpEndpoint> endpoints = cluster.entries();
    for (std::uint32_t index = 0; index < deployment.hosts; ++index) {
        endpoints.push_back(cluster.agentHttp(index));
    }
    const Milliseconds poll(deployment.hosts <= 50 ? 20 : 100);
    std::vector<std::future<double>> waits;
    waits.reserve(endpoints.size());
    for (const HttpEndpoint &endpoint : endpoints) {
        waits.push_back(asio::co_spawn(
            cluster.caller().executor(), waitForVersion(cluster.caller(), endpoint, line, poll), asio::use_future));
    }
    double last = startedAt;
    for (auto &wait : waits) {
        last = std::max(last, wait.get());
    }
    return last - startedAt;
}

std::uint64_t epochOf(Cluster &cluster)
{
    return shardRow(cluster).at("epoch").to_number<std::uint64_t>();
}

std::uint64_t commitsOf(Cluster &cluster)
{
    return shardRow(cluster).at("beat").to_number<std::uint64_t>();
}

std::string lastSnapshot(Cluster &cluster)
{
    const auto sequence = shardRow(cluster).at("snapshotSequence").to_number<std::uint64_t>();
    std::ostringstream target;
    target << "/objects/snapshot/0/" << std::setw(SequenceDigits) << std::setfill('0') << sequence;
    const auto outcome = cluster.caller().call(cluster.platform(),
                                               {.target = target.str(), .timeout = Milliseconds(8000)});
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr && answer->status == 200 ? answer->body : std::string();
}

double SubmissionSummary::quantile(double share) const
{
    return LoadSummary{.answeredMilliseconds = milliseconds}.quantile(share);
}

SubmissionSummary submitJobs(Cluster &cluster, const std::string &prefix, std::uint32_t count, double perSecond)
{
    struct Shared {
        std::mutex mutex;
        SubmissionSummary summary;
        std::atomic<std::uint32_t> pending{0};
    };
    auto shared = std::make_shared<Shared>();
    const auto entries = cluster.entries();
    const auto startedAt = Clock::now();
    for (std::uint32_t number = 0; number < count; ++number) {
        if (perSecond > 0) {
            std::this_thread::sleep_until(
                startedAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(number / perSecond)));
        }
        while (perSecond <= 0 && shared->pending > 0) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
        ++shared->pending;
        const auto sentAt = Clock::now();
        asio::co_spawn(cluster.caller().executor(),
                       submitOne(cluster.caller(),
                                 entries[number % entries.size()],
                                 prefix + "-" + std::to_string(number),
                                 cluster.deployment().cpuMillis),
                       [shared, sentAt](const std::exception_ptr &exception, bool accepted) {
                           const std::chrono::duration<double, std::milli> elapsed = Clock::now() - sentAt;
                           const std::lock_guard lock(shared->mutex);
                           if (exception == nullptr && accepted) {
                               ++shared->summary.accepted;
                               shared->summary.milliseconds.push_back(elapsed.count());
                           } else {
                               ++shared->summary.refused;
                           }
                           --shared->pending;
                       });
    }
    while (shared->pending > 0) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
    const std::lock_guard lock(shared->mutex);
    return shared->summary;
}

} // namespace Carobflow::Bench
