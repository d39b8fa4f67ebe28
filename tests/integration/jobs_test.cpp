#include "carobflow/bench/cluster.h"
#include "carobflow/bench/load.h"

#include <algorithm>
#include <csignal>
#include <limits>
#include <map>
#include <set>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace Carobflow::Bench;
using namespace std::chrono_literals;

namespace
{

namespace json = boost::json;

using Settings = std::map<std::string, std::string>;

constexpr Milliseconds WorkerLease{1500};
constexpr Milliseconds HostGrant{3000};
constexpr Milliseconds Limit{60000};

/// One run of a task by the log of its host. All logs are on one monotonic clock, in milliseconds.
struct Run {
    std::uint32_t host = 0;
    Fence fence = 0;
    std::int64_t start = 0;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
    std::string state = "running";
    std::string reason;
    /// The checkpoint that it resumed from, followed by those that it wrote.
    std::vector<std::string> checkpoints;
};

using Runs = std::map<std::string, std::vector<Run>>;

std::int64_t clockNow()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// The runs of each job in order of their starts.
Runs runsOf(const std::vector<json::object> &logs)
{
    Runs runs;
    for (std::uint32_t host = 0; host < logs.size(); ++host) {
        std::map<std::pair<std::string, Fence>, Run> open;
        for (const json::value &event : logs[host].at("tasks").as_array()) {
            const auto text = [&event](const char *key) { return json::value_to<std::string>(event.at(key)); };
            const auto at = event.at("atMs").to_number<std::int64_t>();
            const std::pair key(text("job"), event.at("fence").to_number<Fence>());
            Run &run = open[key];
            if (text("event") == "start") {
                run = {.host = host, .fence = key.second, .start = at, .checkpoints = {text("checkpoint")}};
            } else if (text("event") == "checkpoint") {
                run.checkpoints.push_back(text("checkpoint"));
            } else if (text("event") == "end") {
                run.end = at;
                run.state = text("state");
                run.reason = text("reason");
            }
        }
        for (const auto &[key, run] : open) {
            runs[key.first].push_back(run);
        }
    }
    for (auto &[job, list] : runs) {
        std::ranges::sort(list, {}, &Run::start);
    }
    return runs;
}

/// A cluster with short leases in which jobs are submitted, and what it must keep whatever happens.
class JobCluster
{
public:
    explicit JobCluster(Cluster::Options options = {}, const Settings &settings = {})
        : cluster(prepared(std::move(options), settings))
    {
        cluster.start(baseSheet(cluster.deployment()));
    }

    static Cluster::Options prepared(Cluster::Options options, const Settings &settings)
    {
        options.deployment.hosts = 4;
        options.deployment.hostsPerRack = 1;
        options.deployment.cpuMillis = 8000;
        options.deployment.entries = std::min(options.deployment.entries, 2U);
        options.proxied = true;
        options.settings = settings;
        options.settings.insert({{"platform.timeout_ms", "600"},
                                 {"timing.leader_lease_ms", "1500"},
                                 {"timing.host_grant_ms", std::to_string(HostGrant.count())},
                                 {"timing.worker_lease_ms", std::to_string(WorkerLease.count())},
                                 {"timing.reassign_margin_ms", "1000"},
                                 {"timing.outage_grace_ms", "2000"}});
        return options;
    }

    bool submit(const std::string &id, std::int64_t seconds, std::int64_t cpu = 1000, const char *jobClass = "reseam")
    {
        try {
            cluster.submitJob(id, jobClass, seconds, cpu);
        } catch (const std::runtime_error &) {
            return false;
        }
        accepted.insert(id);
        return true;
    }

    /// Submits jobs until that many more were accepted. By default a host holds four of them, so that eight need more
    /// than one host.
    void submitMany(const std::string &prefix, int count, std::int64_t seconds, std::int64_t cpu = 2000)
    {
        for (int index = 0; index < count; ++index) {
            const std::string id = prefix + std::to_string(index);
            waitUntil(
                "job " + id + " is accepted", [&] { return submit(id, seconds, cpu); }, Limit);
        }
    }

    /// The state of each job; empty while no leader answers.
    std::map<std::string, std::string> states()
    {
        std::map<std::string, std::string> states;
        const auto outcome = cluster.caller().call(cluster.entry(0), {.target = "/v1/jobs", .timeout = 10s});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer != nullptr && answer->status == 200) {
            const json::value body = json::parse(answer->body);
            for (const json::value &job : body.at("jobs").as_array()) {
                states[json::value_to<std::string>(job.at("id"))] = json::value_to<std::string>(job.at("state"));
            }
        }
        return states;
    }

    Runs runs()
    {
        return runsOf(cluster.hostLogs());
    }

    /// Waits until that many runs fulfil a condition.
    template<typename Condition>
    void waitForRuns(const std::string &description, std::size_t count, Condition condition)
    {
        waitUntil(
            description,
            [&] {
                std::size_t found = 0;
                for (const auto &[job, list] : runs()) {
                    found += static_cast<std::size_t>(std::ranges::count_if(list, condition));
                }
                return found >= count;
            },
            Limit);
    }

    void waitForStarts(std::size_t count)
    {
        waitForRuns("tasks run", count, [](const Run &run) { return run.state == "running"; });
    }

    void waitForLapse(std::uint32_t host)
    {
        waitForRuns("a lease lapses", 1, [host](const Run &run) {
            return run.host == host && run.reason == "the lease lapsed";
        });
    }

    /// A host that runs a task, other than the leader's.
    std::uint32_t busyFollower()
    {
        const std::uint32_t leader = cluster.leaderIndex();
        for (const auto &[job, list] : runs()) {
            if (list.back().state == "running" && list.back().host != leader) {
                return list.back().host;
            }
        }
        throw std::runtime_error("no task runs on a host beside the leader's");
    }

    void waitForOtherLeader(std::uint32_t previous)
    {
        waitUntil(
            "another agent leads",
            [&] {
                for (std::uint32_t host = 0; host < cluster.deployment().hosts; ++host) {
                    const auto outcome = cluster.caller().call(cluster.agentHttp(host),
                                                               {.target = "/metrics", .timeout = 200ms});
                    const auto *answer = std::get_if<HttpAnswer>(&outcome);
                    if (host != previous && answer != nullptr
                        && answer->body.find("carobflow_shard_leading{shard=\"0\"} 1") != std::string::npos) {
                        return true;
                    }
                }
                return false;
            },
            Limit);
    }

    /// Waits until all accepted jobs are finished, then checks what happened on the hosts.
    void finish()
    {
        std::map<std::string, std::string> last;
        const auto isFinished = [&](const std::string &id) { return last[id] == "finished"; };
        try {
            waitUntil(
                "all accepted jobs are finished",
                [&] {
                    last = states();
                    return std::ranges::all_of(accepted, isFinished);
                },
                Limit);
        } catch (const std::runtime_error &error) {
            for (const auto &id : accepted) {
                UNSCOPED_INFO(id << " is " << last[id]);
            }
            FAIL_CHECK(error.what());
        }
        check();
    }

    void check()
    {
        const auto logs = cluster.hostLogs();
        for (std::uint32_t host = 0; host < logs.size(); ++host) {
            INFO("host " << host << ", logs in " << cluster.directory());
            CHECK_FALSE(logs[host].at("overcommitted").as_bool());
            CHECK(cluster.agentProcess(host).isRunning() == !killed.contains(host));
        }
        for (const auto &[job, list] : runsOf(logs)) {
            CHECK(list.front().checkpoints.front().empty());
            for (std::size_t index = 1; index < list.size(); ++index) {
                const Run &before = list[index - 1];
                const Run &run = list[index];
                INFO(job << " fence " << before.fence << " on host " << before.host << " from " << before.start
                         << " to " << before.end << " " << before.state << " " << before.reason << ", then fence "
                         << run.fence << " on host " << run.host << " from " << run.start);
                CHECK(run.fence > before.fence);
                CHECK(run.start >= before.end);
                CHECK((before.state != "finished" || unheard));
                const std::string &resumed = run.checkpoints.front();
                if (before.reason == "stopped by order") {
                    CHECK(resumed == before.checkpoints.back());
                } else {
                    CHECK(std::ranges::count(before.checkpoints, resumed) > 0);
                }
            }
        }
    }

    void checkNoneRanTwice()
    {
        for (const auto &[job, list] : runs()) {
            INFO(job);
            CHECK(list.size() == 1);
        }
    }

    Cluster cluster;
    std::set<std::string> accepted;
    std::set<std::uint32_t> killed;
    /// True when a host is out of contact for so long that a result that it holds may be given up.
    bool unheard = false;
};

/// The length of a fault; nothing that follows relies on it for its success.
void letFaultLast(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace

// Guards against accepted jobs that the next leader does not know, and against a wait for the dead host's tasks that
// is too short.
TEST_CASE("jobs go on when the leader is killed while jobs come in", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("before-", 8, 3);
    jobs.waitForStarts(8);
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    jobs.cluster.agentProcess(leader).signal(SIGKILL);
    jobs.killed.insert(leader);
    jobs.unheard = true;
    jobs.submitMany("during-", 8, 1);
    jobs.finish();
}

// Guards against a leader that goes on deciding after others took over.
TEST_CASE("a leader that was frozen past its lease steps down", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("before-", 8, 4);
    jobs.waitForStarts(8);
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    jobs.cluster.agentProcess(leader).signal(SIGSTOP);
    jobs.unheard = true;
    jobs.waitForOtherLeader(leader);
    jobs.submitMany("during-", 4, 1);
    jobs.cluster.agentProcess(leader).signal(SIGCONT);
    jobs.submitMany("after-", 4, 1);
    jobs.finish();
}

// Guards against an agent that goes on with tasks whose leases have lapsed.
TEST_CASE("tasks of an agent that was frozen past its worker lease run again", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 5);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.busyFollower();
    jobs.cluster.agentProcess(host).signal(SIGSTOP);
    jobs.waitForLapse(host);
    jobs.cluster.agentProcess(host).signal(SIGCONT);
    jobs.finish();
}

// Guards against tasks that a restarted agent overlooks, stops or starts again.
TEST_CASE("a restarted agent goes on with the tasks that it finds", "[jobs]")
{
    JobCluster jobs({}, {{"timing.worker_lease_ms", "6000"}});
    jobs.submitMany("job-", 8, 6);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.busyFollower();
    jobs.cluster.agentProcess(host).signal(SIGKILL);
    REQUIRE(jobs.cluster.agentProcess(host).waitForEnd(Limit));
    jobs.cluster.restartAgent(host);
    jobs.finish();
    jobs.checkNoneRanTwice();
}

// Guards against results and ends of tasks that are missed while the worker cannot be reached.
TEST_CASE("tasks run again after the connection to their worker was cut past the lease", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 4);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.busyFollower();
    jobs.cluster.setRoute("worker-" + std::to_string(host), "cut");
    jobs.waitForLapse(host);
    jobs.cluster.setRoute("worker-" + std::to_string(host), "pass");
    jobs.finish();
}

// Guards against tasks that are stopped by an outage of the table, and results that are lost in it.
TEST_CASE("tasks run through an outage of the table and their results are written afterwards", "[jobs]")
{
    JobCluster jobs({}, {{"timing.outage_grace_ms", "40000"}});
    jobs.submitMany("job-", 12, 8);
    jobs.waitForStarts(12);
    jobs.cluster.setPlatform("down");
    jobs.waitForRuns("tasks finish", 12, [](const Run &run) { return run.state == "finished"; });
    // No commit can have been made.
    for (const auto &[job, state] : jobs.states()) {
        CHECK(state != "finished");
    }
    CHECK_FALSE(jobs.submit("refused", 1));
    jobs.cluster.setPlatform("up");
    jobs.finish();
    jobs.checkNoneRanTwice();
}

// Guards against decisions that are repeated because their commit was slow or its reply came too late.
TEST_CASE("jobs go on while the table is slow", "[jobs]")
{
    JobCluster jobs;
    jobs.cluster.setPlatform("slow", 300);
    jobs.submitMany("slow-", 6, 2);
    jobs.waitForStarts(1);
    // Half of the delay comes after the effect, beyond the time-out of the call.
    jobs.cluster.setPlatform("slow", 1000);
    letFaultLast(3s);
    jobs.cluster.setPlatform("slow", 300);
    jobs.finish();
}

// Guards against commits that are made twice or forgotten when their reply is lost, and evicted tasks that do not
// resume from the checkpoint of their eviction.
TEST_CASE("jobs move and resume while replies of the table are lost after the effect", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 12, 5);
    jobs.waitForStarts(12);
    jobs.cluster.setPlatform("up", 0, 15);
    const std::uint32_t host = jobs.busyFollower();
    waitUntil("the data centre is out", [&] {
        try {
            jobs.cluster.setDataCentre(jobs.cluster.dataCentreOf(host), false);
            return true;
        } catch (const std::runtime_error &) {
            return false;
        }
    });
    jobs.waitForRuns("tasks resume", 1, [](const Run &run) { return !run.checkpoints.front().empty(); });
    jobs.cluster.setPlatform("up", 0, 15);
    jobs.submitMany("late-", 4, 1);
    jobs.finish();
}

// Guards against tasks that are renewed without a grant. All agents reach the leader through one route.
TEST_CASE("an agent that does not hear from the leader lets leases lapse, then tasks run again", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 30);
    jobs.waitForStarts(8);
    const std::string route = "agent-" + std::to_string(jobs.cluster.leaderIndex());
    jobs.cluster.setRoute(route, "freeze");
    const std::int64_t latest = clockNow() + (HostGrant + WorkerLease).count();
    jobs.unheard = true;
    jobs.waitForRuns("all leases lapse", 8, [](const Run &run) { return run.reason == "the lease lapsed"; });
    for (const auto &[job, list] : jobs.runs()) {
        CHECK(list.back().end <= latest + 500);
    }
    jobs.cluster.setRoute(route, "pass");
    jobs.waitForStarts(8);
    jobs.check();
}

// Guards against a reassignment before the grants and leases of a silent host are over.
TEST_CASE("tasks go on through a silence that is shorter than the grants", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 7);
    jobs.waitForStarts(8);
    const std::string route = "agent-" + std::to_string(jobs.cluster.leaderIndex());
    jobs.cluster.setRoute(route, "freeze");
    letFaultLast(2s);
    jobs.cluster.setRoute(route, "pass");
    jobs.finish();
    jobs.checkNoneRanTwice();
}

// Guards against a connection that both ends keep although nothing passes it any more.
TEST_CASE("silent connections between agents and leader are replaced", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 5);
    jobs.waitForStarts(8);
    jobs.cluster.setRoute("agent-" + std::to_string(jobs.cluster.leaderIndex()), "silent");
    jobs.unheard = true;
    jobs.submitMany("during-", 4, 1);
    jobs.finish();
}

TEST_CASE("jobs go on when the leader is killed and a data centre goes out while replies are lost", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 12, 4);
    jobs.waitForStarts(12);
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    const std::uint32_t host = jobs.busyFollower();
    jobs.cluster.setDataCentre(jobs.cluster.dataCentreOf(host), false);
    jobs.cluster.setPlatform("up", 0, 10);
    jobs.cluster.agentProcess(leader).signal(SIGKILL);
    jobs.killed.insert(leader);
    jobs.unheard = true;
    jobs.finish();
}

TEST_CASE("jobs go on when an agent freezes during an outage of the table", "[jobs]")
{
    JobCluster jobs({}, {{"timing.outage_grace_ms", "20000"}});
    jobs.submitMany("job-", 8, 5);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.busyFollower();
    jobs.cluster.setPlatform("down");
    jobs.cluster.agentProcess(host).signal(SIGSTOP);
    jobs.unheard = true;
    jobs.waitForLapse(host);
    jobs.cluster.setPlatform("up");
    jobs.submitMany("after-", 2, 1);
    jobs.cluster.agentProcess(host).signal(SIGCONT);
    jobs.finish();
}

// Guards against hosts that are filled by declared sizes although the tasks there use more. The worker takes whatever
// it is given, so only the agent's count prevents it.
TEST_CASE("no host is given more than it can hold when tasks use twice what they declare", "[jobs]")
{
    JobCluster jobs({.hostArguments = {"--accept-all", "--usage-factor", "2"}});
    for (int index = 0; index < 36; ++index) {
        REQUIRE(jobs.submit("job-" + std::to_string(index), 1 + index % 4));
    }
    jobs.finish();
    // Usage is measured 500 ms after a start and then takes a list to be known.
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

// Guards against a faulty host that uses up the jobs' attempts, and against a faulty job that takes hosts with it.
TEST_CASE("a host that fails everything and a class that fails everywhere are told apart", "[jobs]")
{
    JobCluster jobs({.hostArguments = {"--fail-class", "broken"}, .singleHostArguments = {{0, {"--fail-all"}}}});
    REQUIRE(jobs.submit("bad", 1, 1000, "broken"));
    jobs.accepted.clear();
    jobs.submitMany("job-", 24, 1);
    jobs.finish();
    waitUntil(
        "the bad job is given up", [&] { return jobs.states()["bad"] == "failed"; }, Limit);
    std::vector<Run> onBadHost;
    std::multiset<std::uint32_t> badJobHosts;
    for (const auto &[job, list] : jobs.runs()) {
        std::ranges::copy_if(list, std::back_inserter(onBadHost), [](const Run &run) { return run.host == 0; });
        if (job == "bad") {
            std::ranges::transform(list, std::inserter(badJobHosts, badJobHosts.end()), &Run::host);
        }
    }
    // Failures on the bad host count until it is judged; each other host is tried once.
    CHECK(badJobHosts.size() >= 3);
    badJobHosts.erase(0);
    CHECK(std::set(badJobHosts.begin(), badJobHosts.end()).size() == badJobHosts.size());
    CHECK(badJobHosts.size() >= 2);
    CHECK(jobs.cluster.job("bad").at("reason").as_string().size() > 0);
    // After failures of three different jobs the host gets one trial at a time; the commit takes a moment.
    std::ranges::sort(onBadHost, {}, &Run::start);
    REQUIRE(onBadHost.size() >= 3);
    const std::int64_t judgedAt = onBadHost[2].end + 1000;
    for (std::size_t index = 1; index < onBadHost.size(); ++index) {
        CHECK((onBadHost[index].start < judgedAt || onBadHost[index].start >= onBadHost[index - 1].end));
    }
}

// Guards against cancelled jobs that run on, and against slots of the hosts that they keep.
TEST_CASE("a wave of cancellations stops its jobs and lets the others finish", "[jobs]")
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
TEST_CASE("an upstream never has more requests than slots under three entries", "[jobs][requests]")
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
