#include "jobcluster.h"

#include "carobflow/bench/load.h"

using namespace Carobflow;
using namespace Carobflow::Testing;
using namespace std::chrono_literals;

// Guards against hosts that are filled by declared sizes although the tasks there use more. The worker takes whatever
// it is given, so only the counts of the leader and the agent prevent it. The leader's count alone suffices here; the
// agent's own is guarded by the randomised test of the task supervisor.
TEST_CASE("No host is overcommitted when tasks use twice what they declare", "[jobs]")
{
    JobCluster jobs({.hostArguments = {"--accept-all", "--usage-factor", "2"}});
    for (int index = 0; index < 36; ++index) {
        REQUIRE(jobs.submit("job-" + std::to_string(index), 1 + index % 4));
    }
    jobs.finish();
    // Usage is measured 500 ms after a start and is known from the next list of tasks on.
    constexpr std::int64_t knownAfter = 1500;
    const Runs runs = jobs.runs();
    for (const auto &[job, list] : runs) {
        std::int64_t used = 1000;
        for (const auto &[other, otherList] : runs) {
            const Run &run = otherList.front();
            const bool beside = run.host == list.front().host && run.start < list.front().start
                && run.end > list.front().start;
            used += !beside ? 0 : list.front().start - run.start > knownAfter ? 2000 : 1000;
        }
        INFO(job << " on host " << list.front().host << " at " << list.front().start);
        CHECK(used <= 8000);
    }
}

// Guards against an agent that relies on the leader's count: the leader counts its own assignments only, but a task
// whose start call took effect late holds its resources until the worker has stopped it.
TEST_CASE("An agent alone refuses tasks beside one that the leader does not count", "[jobs]")
{
    JobCluster jobs({.hostArguments = {"--accept-all", "--stop-ms", "4000"}});
    const std::uint32_t hosts = jobs.cluster.deployment().hosts;
    for (std::uint32_t host = 0; host < hosts; ++host) {
        const json::object task{{"job", "uncounted-" + std::to_string(host)},
                                {"fence", 1},
                                {"leaseMs", 60000},
                                {"cpuMillis", 7000},
                                {"memoryMiB", 100},
                                {"accelerators", 0},
                                {"jobClass", "reseam"},
                                {"checkpoint", ""},
                                {"runSeconds", 600}};
        jobs.cluster.caller().postJson(jobs.cluster.worker(host), "/tasks", task);
    }
    waitUntil("every agent stops its uncounted task", [&] {
        return std::ranges::all_of(jobs.cluster.hostLogs(), [](const json::object &log) {
            return std::ranges::any_of(log.at("tasks").as_array(),
                                       [](const json::value &event) { return event.at("event") == "stop"; });
        });
    });
    jobs.submitMany("job-", 4, 1);
    jobs.finish();
}

// Guards against a faulty host that uses up the jobs' attempts, and against a faulty job that takes hosts with it.
TEST_CASE("A host that fails all tasks and a job class that fails on all hosts are told apart", "[jobs]")
{
    JobCluster jobs({.hostArguments = {"--fail-class", "broken"}, .singleHostArguments = {{0, {"--fail-all"}}}});
    REQUIRE(jobs.submit("bad", 1, 1000, "broken"));
    jobs.accepted.clear();
    jobs.submitMany("job-", 24, 1);
    jobs.finish();
    waitUntil(
        "the bad job is given up", [&] { return jobs.states()["bad"] == "failed"; }, Limit);
    std::vector<Run> onFaultyHost;
    std::multiset<std::uint32_t> badJobHosts;
    for (const auto &[job, list] : jobs.runs()) {
        std::ranges::copy_if(list, std::back_inserter(onFaultyHost), [](const Run &run) { return run.host == 0; });
        if (job == "bad") {
            std::ranges::transform(list, std::inserter(badJobHosts, badJobHosts.end()), &Run::host);
        }
    }
    // Failures on the faulty host count until it is recognised; each other host is tried once.
    CHECK(badJobHosts.size() >= 3);
    badJobHosts.erase(0);
    CHECK(std::set(badJobHosts.begin(), badJobHosts.end()).size() == badJobHosts.size());
    CHECK(badJobHosts.size() >= 2);
    CHECK(jobs.cluster.job("bad").at("reason").as_string().size() > 0);
    // After failures of three different jobs the host gets one trial at a time; the commit takes a moment.
    std::ranges::sort(onFaultyHost, {}, &Run::start);
    REQUIRE(onFaultyHost.size() >= 3);
    const std::int64_t recognisedAt = onFaultyHost[2].end + 1000;
    for (std::size_t index = 1; index < onFaultyHost.size(); ++index) {
        CHECK((onFaultyHost[index].start < recognisedAt || onFaultyHost[index].start >= onFaultyHost[index - 1].end));
    }
}

// Guards against cancelled jobs that run on, and against slots of the hosts that they keep.
TEST_CASE("Many cancellations at once stop their jobs and let the others finish", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("long-", 40, 600, 1000);
    jobs.submitMany("short-", 8, 1);
    jobs.waitForStarts(32);
    for (int index = 0; index < 40; ++index) {
        const std::string id = "long-" + std::to_string(index);
        jobs.accepted.erase(id);
        const HttpAnswer answer = jobs.cluster.caller().mustCall(
            jobs.cluster.entry(1), {.method = "DELETE", .target = "/v1/jobs/" + id, .timeout = 10s});
        CHECK(answer.status / 100 == 2);
    }
    const std::int64_t cancelledAt = clockNow();
    jobs.finish();
    waitUntil("the others are cancelled", [&] {
        const auto states = jobs.states();
        return std::ranges::count(states, "cancelled", &std::pair<const std::string, std::string>::second) == 40;
    });
    for (const auto &[job, list] : jobs.runs()) {
        INFO(job);
        CHECK(list.back().state != "running");
        CHECK((list.back().start <= cancelledAt || job.starts_with("short-")));
    }
}

// Guards against agents that let several entries together exceed an upstream's slots or connections.
TEST_CASE("An upstream never has more requests than slots under three entries", "[jobs][requests]")
{
    Cluster::Options options;
    options.deployment.hosts = 2;
    options.deployment.slots = 4;
    options.deployment.connections = 5;
    Cluster cluster(options);
    cluster.start(baseSheet(cluster.deployment()));
    const LoadSummary summary = Load::run(
        cluster.caller(),
        {cluster.entry(0), cluster.entry(1), cluster.entry(2)},
        {.requestsPerSecond = 500, .duration = 3s, .timeout = 1s, .service = cluster.deployment().service});
    CHECK(summary.answered > 0);
    CHECK(summary.wrong == 0);
    for (const json::object &log : cluster.hostLogs()) {
        CHECK(log.at("maxConcurrent").to_number<int>() == 4);
        CHECK(log.at("maxConnections").to_number<int>() <= 5);
    }
}
