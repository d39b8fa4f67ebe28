#include "jobcluster.h"
#include "systemhelpers.h"

#include <csignal>

#include <boost/json/serialize.hpp>

using namespace Carobflow;
using namespace Carobflow::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Shards = 3;
/// As in the tests of a single shard: 2 s of sheet age, 2 s of order age and 1 s for the call to the worker.
constexpr std::int64_t OutBoundMs = 5000;

/// Nine hosts, three in each shard. The third data centre has one host of each shard.
Cluster::Options shardedSystem()
{
    Cluster::Options options;
    options.deployment.shards = Shards;
    return options;
}

ShardId shardOfJob(const std::string &id)
{
    return shardOf(id, Shards);
}

/// The answer of an entry to the submission of a job.
HttpAnswer submitThrough(Cluster &cluster, std::uint32_t entry, const std::string &id, const json::object &changed = {})
{
    json::object job{{"id", id},
                     {"team", "workshop"},
                     {"jobClass", "reseam"},
                     {"cpuMillis", 1000},
                     {"memoryMiB", 1000},
                     {"runSeconds", 1}};
    for (const auto &member : changed) {
        job[member.key()] = member.value();
    }
    return cluster.caller().mustCall(
        cluster.entry(entry), {.method = "POST", .target = "/v1/jobs", .body = json::serialize(job), .timeout = 10s});
}

/// Ids that begin with the prefix, a number for each shard.
std::vector<std::string> idsForEachShard(const std::string &prefix, std::size_t perShard)
{
    std::map<ShardId, std::size_t> count;
    std::vector<std::string> ids;
    for (int index = 0; ids.size() < perShard * Shards; ++index) {
        std::string id = prefix + std::to_string(index);
        if (count[shardOfJob(id)]++ < perShard) {
            ids.push_back(std::move(id));
        }
    }
    return ids;
}

std::string stateOf(Cluster &cluster, const std::string &id)
{
    const auto outcome = cluster.caller().call(cluster.entry(0), {.target = "/v1/jobs/" + id, .timeout = 10s});
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr && answer->status == 200
        ? json::value_to<std::string>(json::parse(answer->body).at("state"))
        : std::string();
}

/// The shards whose ledgers name a job.
std::set<ShardId> recordedIn(Cluster &cluster, const std::string &id)
{
    std::set<ShardId> shards;
    const json::value rows = cluster.caller().getJson(cluster.platformControl(), "/control/rows");
    for (const auto &row : rows.as_object()) {
        const std::string key(row.key());
        const std::string value(row.value().as_string());
        if (key.starts_with("ledger/") && value.find("\"" + id + "\"") != std::string::npos) {
            shards.insert(static_cast<ShardId>(std::stoul(key.substr(std::string("ledger/").size()))));
        }
    }
    return shards;
}

std::string outputOf(Cluster &cluster, std::uint32_t entry, std::vector<std::string> arguments)
{
    const auto client = startClient(cluster, entry, std::move(arguments));
    CHECK(client->waitForEnd(20s) == 0);
    return client->output();
}

/// The gRPC address in the row of an entry.
std::string addressOfEntry(Cluster &cluster, std::uint32_t entry)
{
    const json::object read{{"keys", {"entry/entry-" + std::to_string(entry)}}};
    const json::value answer = cluster.caller().postJson(cluster.platform(), "/table/read", read);
    const json::value row = json::parse(answer.at("rows").at(0).at("value").as_string());
    return json::value_to<std::string>(row.at("address"));
}

bool isReady(Cluster &cluster, const HttpEndpoint &process)
{
    const auto outcome = cluster.caller().call(process, {.target = "/readyz", .timeout = 1s});
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr && answer->status == 200;
}

std::uint64_t executedBy(Cluster &cluster, std::uint32_t host)
{
    return cluster.hostLogs().at(host).at("executed").to_number<std::uint64_t>();
}

/// Sets the mode of the upstreams of all hosts but one.
void setOtherUpstreams(Cluster &cluster, std::uint32_t host, const char *mode, Milliseconds lateBy = Milliseconds(0))
{
    for (std::uint32_t other = 0; other < cluster.deployment().hosts; ++other) {
        if (other != host) {
            cluster.caller().postJson(
                cluster.hostControl(other), "/control", {{"upstream", mode}, {"lateMs", lateBy.count()}});
        }
    }
}

/// Sends requests for the counter service through an entry until the upstream of a host has executed some more. The
/// other upstreams answer late meanwhile, because an entry leaves its data centre only for a clearly faster upstream.
void waitUntilServes(Cluster &cluster, std::uint32_t entry, std::uint32_t host)
{
    constexpr Milliseconds late{200};
    const std::uint64_t before = executedBy(cluster, host);
    setOtherUpstreams(cluster, host, "late", late);
    waitUntil("the upstream of host " + std::to_string(host) + " serves", [&] {
        Load::run(cluster.caller(),
                  {cluster.entry(entry)},
                  {.requestsPerSecond = 50, .duration = 200ms, .service = cluster.deployment().service});
        return executedBy(cluster, host) > before + 3;
    });
    setOtherUpstreams(cluster, host, "normal");
}

} // namespace

// Guards against jobs that an entry sends to the leader of another shard, and against lists that lack a shard.
TEST_CASE("Jobs that come through any entry are recorded in their shard and run once there", "[shards]")
{
    JobCluster jobs(shardedSystem());
    std::set<std::uint32_t> leaders;
    for (ShardId shard = 0; shard < Shards; ++shard) {
        const std::uint32_t leader = jobs.cluster.leaderIndex(shard);
        CHECK(shardOf(jobs.cluster.hostName(leader), Shards) == shard);
        leaders.insert(leader);
    }
    CHECK(leaders.size() == Shards);

    const std::vector<std::string> ids = idsForEachShard("job-", 8);
    std::uint32_t turn = 0;
    for (const std::string &id : ids) {
        const HttpAnswer answer = submitThrough(jobs.cluster, turn++ % 2, id);
        INFO(id << " " << answer.body);
        REQUIRE(answer.status == 202);
        jobs.accepted.insert(id);
    }
    // A repeat through the other entry finds the job.
    CHECK(submitThrough(jobs.cluster, 1, ids.front()).status == 200);
    CHECK(submitThrough(jobs.cluster, 0, ids.front()).status == 200);
    jobs.finish();
    jobs.checkNoneRanTwice();
    const Runs runs = jobs.runs();
    CHECK(runs.size() == ids.size());
    for (const std::string &id : ids) {
        INFO(id);
        CHECK(recordedIn(jobs.cluster, id) == std::set{shardOfJob(id)});
        CHECK(shardOf(jobs.cluster.hostName(runs.at(id).front().host), Shards) == shardOfJob(id));
    }

    SECTION("the operators' client shows the jobs of all shards through any entry")
    {
        const std::vector<std::string> large = idsForEachShard("large-", 1);
        for (const std::string &id : large) {
            CHECK(submitThrough(jobs.cluster, 0, id, {{"cpuMillis", 9000}}).status == 202);
        }
        waitUntil("jobs that fit no host are unrunnable", [&] {
            return std::ranges::all_of(large,
                                       [&](const auto &id) { return stateOf(jobs.cluster, id) == "unrunnable"; });
        });
        for (const std::uint32_t entry : {0U, 1U}) {
            const std::string list = outputOf(jobs.cluster, entry, {"job", "status"});
            const std::string report = outputOf(jobs.cluster, entry, {"report", "jobs"});
            for (const std::string &id : ids) {
                INFO(id);
                CHECK(list.find(id + " ") != std::string::npos);
            }
            for (const std::string &id : large) {
                INFO(id);
                CHECK(report.find(id + " ") != std::string::npos);
                CHECK(outputOf(jobs.cluster, entry, {"job", "status", id}).find("unrunnable") != std::string::npos);
            }
        }
    }
}

// Guards against shards that wait for each other.
TEST_CASE("The other shards go on when the leader of one is killed, and its jobs go on afterwards", "[shards]")
{
    JobCluster jobs(shardedSystem());
    for (const std::string &id : idsForEachShard("before-", 6)) {
        REQUIRE(jobs.submit(id, 4));
    }
    jobs.waitForStarts(std::size_t{6} * Shards);
    constexpr ShardId failedShard = 1;
    const std::uint32_t leader = jobs.cluster.leaderIndex(failedShard);
    jobs.cluster.agentProcess(leader).signal(SIGKILL);
    jobs.killed.insert(leader);
    jobs.allowsLostResults = true;

    std::vector<std::string> others;
    std::vector<std::string> own;
    for (const std::string &id : idsForEachShard("during-", 4)) {
        (shardOfJob(id) == failedShard ? own : others).push_back(id);
    }
    for (const std::string &id : others) {
        INFO(id);
        CHECK(jobs.submit(id, 1));
    }
    waitUntil("new jobs of the other shards finish", [&] {
        return std::ranges::all_of(others, [&](const auto &id) { return stateOf(jobs.cluster, id) == "finished"; });
    });
    jobs.waitForOtherLeader(leader, failedShard);
    for (const std::string &id : own) {
        waitUntil(
            "job " + id + " is accepted", [&] { return jobs.submit(id, 1); }, Limit);
    }
    jobs.finish();
    for (const auto &[id, list] : jobs.runs()) {
        INFO(id);
        CHECK((shardOfJob(id) == failedShard || list.size() == 1));
    }
}

// Guards against a leader that does not apply the sheet: each shard assigns by its own copy.
TEST_CASE("No task of any shard starts in a data centre from a few seconds after it was taken out", "[shards]")
{
    JobCluster jobs(shardedSystem());
    Cluster &cluster = jobs.cluster;
    const std::string out = cluster.deployment().dataCentres.at(2);
    /// The times of task starts in the data centre, or outside of it, by shard.
    const auto starts = [&](bool inside) {
        std::map<ShardId, std::vector<std::int64_t>> times;
        for (const auto &[id, list] : jobs.runs()) {
            for (const Run &run : list) {
                if ((cluster.dataCentreOf(run.host) == out) == inside) {
                    times[shardOf(cluster.hostName(run.host), Shards)].push_back(run.start);
                }
            }
        }
        return times;
    };
    JobStream stream(cluster, "stream", 30ms);
    waitUntil("tasks of all shards start in the data centre", [&] { return starts(true).size() == Shards; });
    cluster.setDataCentre(out, false);
    const std::int64_t boundAt = monotonicMilliseconds() + OutBoundMs;
    const auto startsAfter = [&](const std::vector<std::int64_t> &times) {
        return std::ranges::count_if(times, [&](std::int64_t at) { return at > boundAt; });
    };
    waitUntil("all shards start tasks elsewhere after the bound", [&] {
        const auto elsewhere = starts(false);
        return std::ranges::count_if(elsewhere, [&](const auto &shard) { return startsAfter(shard.second) >= 10; })
            == Shards;
    });
    for (const auto &[shard, times] : starts(true)) {
        INFO("shard " << shard);
        CHECK(startsAfter(times) == 0);
    }
    cluster.setDataCentre(out, true);
    waitUntil("all shards start tasks in the data centre again", [&] {
        const auto again = starts(true);
        return std::ranges::all_of(again, [&](const auto &shard) { return startsAfter(shard.second) > 0; });
    });
    stream.stop();
    waitUntilFinished({&stream}, 40s);
    jobs.check();
}

// Guards against a job that is unknown to its leader, or recorded twice, because processes hash it differently.
TEST_CASE("A process with another number of shards takes no part until it is corrected", "[shards]")
{
    JobCluster jobs;
    Cluster &cluster = jobs.cluster;
    const std::uint32_t host = 3;
    // With two shards this host is in shard 1, which it would lead.
    REQUIRE(shardOf(cluster.hostName(host), 2) == 1);
    const auto restart = [&](const Settings &changed) {
        for (ChildProcess *process : {&cluster.agentProcess(host), &cluster.entryProcess(1)}) {
            process->signal(SIGTERM);
            CHECK(process->waitForEnd(Limit) == 0);
        }
        cluster.restartAgent(host, changed);
        cluster.restartEntry(1, changed);
    };
    restart({{"process.shards", "2"}});
    for (ChildProcess *process : {&cluster.agentProcess(host), &cluster.entryProcess(1)}) {
        const std::string line = process->waitForLine("event=shards-refused");
        INFO(line);
        CHECK(line.find("kind=invalid-argument") != std::string::npos);
        CHECK(line.find(process->name() + ".ini: [process] shards: '2'") != std::string::npos);
        CHECK(line.find("expected 1") != std::string::npos);
        CHECK(line.find("write 'shards = 1'") != std::string::npos);
    }
    jobs.submitMany("job-", 6, 1);
    jobs.finish();
    // Requests for counter services do not depend on shards.
    waitUntilServes(cluster, 0, host);
    waitUntilServes(cluster, 1, host);
    const HttpAnswer refused = submitThrough(cluster, 1, "refused");
    INFO(refused.body);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("[process] shards: '2'") != std::string::npos);
    CHECK_FALSE(isReady(cluster, cluster.agentHttp(host)));
    CHECK_FALSE(isReady(cluster, cluster.entry(1)));
    for (const auto &[id, list] : jobs.runs()) {
        CHECK(list.front().host != host);
    }
    CHECK_FALSE(cluster.caller().getJson(cluster.platformControl(), "/control/rows").as_object().contains("shard/1"));

    restart({});
    waitUntil("both are ready",
              [&] { return isReady(cluster, cluster.agentHttp(host)) && isReady(cluster, cluster.entry(1)); });
    CHECK(submitThrough(cluster, 1, "accepted").status == 202);
    jobs.accepted.insert("accepted");
    jobs.finish();
}

// Guards against a process that ends, or takes part with an unconfirmed number, when the table is down, and
// against counter services that lose each host that restarts during an outage.
TEST_CASE("Processes that start while the table is down wait for it", "[shards]")
{
    JobCluster jobs;
    Cluster &cluster = jobs.cluster;
    const std::uint32_t host = cluster.leaderIndex();
    cluster.agentProcess(host).signal(SIGKILL);
    cluster.entryProcess(1).signal(SIGKILL);
    REQUIRE(cluster.agentProcess(host).waitForEnd(Limit));
    REQUIRE(cluster.entryProcess(1).waitForEnd(Limit));
    jobs.allowsLostResults = true;
    const std::string entryAddress = addressOfEntry(cluster, 0);
    cluster.setPlatform("down");
    cluster.restartAgent(host, {{"agent.entries", entryAddress}});
    cluster.restartEntry(1);
    for (ChildProcess *process : {&cluster.agentProcess(host), &cluster.entryProcess(1)}) {
        const std::string line = process->waitForLine("event=shards-unverified");
        CHECK(line.find("kind=unavailable") != std::string::npos);
        CHECK(process->isRunning());
    }
    CHECK_FALSE(isReady(cluster, cluster.agentHttp(host)));
    CHECK_FALSE(isReady(cluster, cluster.entry(1)));
    CHECK(submitThrough(cluster, 1, "refused").status == 503);
    // Without the table the agent finds entries by its settings only.
    waitUntilServes(cluster, 0, host);
    cluster.setPlatform("up");
    waitUntil("both are ready",
              [&] { return isReady(cluster, cluster.agentHttp(host)) && isReady(cluster, cluster.entry(1)); });
    jobs.submitMany("job-", 8, 1);
    jobs.finish();
    waitUntilServes(cluster, 1, host);
}

// Guards against a procedure in docs/OPERATIONS.md that leaves ledgers or epochs inconsistent with the new number.
TEST_CASE("The number of shards changes while all processes are stopped and no job is recorded", "[shards]")
{
    JobCluster jobs;
    Cluster &cluster = jobs.cluster;
    jobs.submitMany("before-", 4, 1);
    jobs.finish();
    CHECK(cluster.stop().empty());

    json::array deletions;
    const json::value rows = cluster.caller().getJson(cluster.platformControl(), "/control/rows");
    for (const auto &row : rows.as_object()) {
        const std::string key(row.key());
        if (key.starts_with("shard/") || key.starts_with("ledger/") || key == "cluster/shards") {
            deletions.push_back({{"key", key}, {"value", nullptr}});
        }
    }
    cluster.caller().postJson(
        cluster.platform(), "/table/transact", {{"conditions", json::array()}, {"mutations", std::move(deletions)}});

    const Settings changed{{"process.shards", "2"}};
    for (std::uint32_t host = 0; host < cluster.deployment().hosts; ++host) {
        cluster.restartAgent(host, changed);
        cluster.agentProcess(host).waitForLine("event=shards-verified shards=2");
    }
    for (const std::uint32_t entry : {0U, 1U}) {
        cluster.restartEntry(entry, changed);
        waitUntil("the entry is ready", [&] { return isReady(cluster, cluster.entry(entry)); });
    }
    jobs.accepted.clear();
    jobs.submitMany("after-", 8, 1);
    jobs.finish();
    jobs.checkNoneRanTwice();
    for (const std::string &id : jobs.accepted) {
        INFO(id);
        CHECK(recordedIn(cluster, id) == std::set{shardOf(id, 2)});
    }
}
