#pragma once

#include "carobflow/bench/cluster.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <thread>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <catch2/catch.hpp>

namespace Carobflow::Testing
{

using namespace Carobflow::Bench;
using namespace std::chrono_literals;

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

inline std::int64_t clockNow()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// The runs of each job in order of their starts.
inline Runs runsOf(const std::vector<json::object> &logs)
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

/// A cluster with short leases in which jobs are submitted, and the invariants that must hold under every fault.
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
        options.deployment.hosts = options.deployment.shards == 1 ? 4 : 9;
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
    std::uint32_t followerWithTask()
    {
        const std::uint32_t leader = cluster.leaderIndex();
        for (const auto &[job, list] : runs()) {
            if (list.back().state == "running" && list.back().host != leader) {
                return list.back().host;
            }
        }
        throw std::runtime_error("no task runs on a host beside the leader's");
    }

    /// True when an agent answers and reports that it leads the shard, or that it does not.
    bool reportsLeading(std::uint32_t host, bool leading, ShardId shard = 0)
    {
        const auto outcome = cluster.caller().call(cluster.agentHttp(host), {.target = "/metrics", .timeout = 200ms});
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        const std::string line = "carobflow_shard_leading{shard=\"" + std::to_string(shard) + "\"} "
            + std::to_string(leading ? 1 : 0);
        return answer != nullptr && answer->body.find(line) != std::string::npos;
    }

    void waitForOtherLeader(std::uint32_t previous, ShardId shard = 0)
    {
        waitUntil(
            "another agent leads",
            [&] {
                for (std::uint32_t host = 0; host < cluster.deployment().hosts; ++host) {
                    if (host != previous && reportsLeading(host, true, shard)) {
                        return true;
                    }
                }
                return false;
            },
            Limit);
    }

    /// The epoch in the row of the shard.
    Epoch epoch()
    {
        const json::value answer = cluster.caller().postJson(
            cluster.platform(), "/table/read", json::object{{"keys", json::array{"shard/0"}}});
        const json::value row = json::parse(answer.at("rows").at(0).at("value").as_string());
        return row.at("epoch").to_number<Epoch>();
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
                CHECK((before.state != "finished" || allowsLostResults));
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
    bool allowsLostResults = false;
};

/// The length of a fault; nothing that follows relies on it for its success.
inline void waitDuringFault(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace Carobflow::Testing
