#include "jobcluster.h"

#include <csignal>

using namespace Carobflow;
using namespace Carobflow::Testing;
using namespace std::chrono_literals;

// Guards against accepted jobs that the next leader does not know, and against a wait for the dead host's tasks that
// is too short.
TEST_CASE("Jobs go on when the leader is killed while jobs come in", "[jobs]")
{
    // Three hosts hold twelve tasks, so that the leader's has one. Its lease goes on after the take-over.
    JobCluster jobs({}, {{"timing.worker_lease_ms", "7000"}});
    jobs.submitMany("before-", 13, 9);
    jobs.waitForStarts(13);
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    jobs.cluster.agentProcess(leader).signal(SIGKILL);
    jobs.killed.insert(leader);
    jobs.allowsLostResults = true;
    jobs.submitMany("during-", 8, 1);
    jobs.finish();
}

// Guards against a leader that goes on assigning tasks after another took over.
TEST_CASE("A leader that was frozen past its lease steps down", "[jobs]")
{
    // With the longer grace only its failed commit can tell the old leader that another took over.
    const std::string grace = GENERATE(as<std::string>(), "2000", "60000");
    JobCluster jobs({}, {{"timing.outage_grace_ms", grace}});
    jobs.submitMany("before-", 8, 4);
    jobs.waitForStarts(8);
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    jobs.cluster.agentProcess(leader).signal(SIGSTOP);
    jobs.allowsLostResults = true;
    jobs.waitForOtherLeader(leader);
    jobs.submitMany("during-", 4, 1);
    const Epoch epoch = jobs.epoch();
    jobs.cluster.agentProcess(leader).signal(SIGCONT);
    waitUntil("the frozen leader steps down", [&] {
        CHECK(jobs.epoch() >= epoch);
        return jobs.reportsLeading(leader, false);
    });
    jobs.submitMany("after-", 4, 1);
    jobs.finish();
}

// Guards against an agent that goes on with tasks whose leases have lapsed, and against a reassignment before that.
TEST_CASE("Tasks of an agent that was frozen past its worker lease run again", "[jobs]")
{
    JobCluster jobs({}, {{"timing.worker_lease_ms", "6000"}});
    jobs.submitMany("job-", 8, 8);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.followerWithTask();
    jobs.cluster.agentProcess(host).signal(SIGSTOP);
    SECTION("it resumes when its tasks have stopped")
    {
        jobs.waitForLapse(host);
    }
    SECTION("it resumes when one of its tasks runs elsewhere")
    {
        jobs.waitForRuns("a task runs again", 9, [](const Run & /*run*/) { return true; });
    }
    jobs.cluster.agentProcess(host).signal(SIGCONT);
    jobs.finish();
}

// Guards against tasks that a restarted agent overlooks, stops or starts again.
TEST_CASE("A restarted agent goes on with the tasks that it finds", "[jobs]")
{
    JobCluster jobs({}, {{"timing.worker_lease_ms", "6000"}});
    jobs.submitMany("job-", 8, 6);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.followerWithTask();
    jobs.cluster.agentProcess(host).signal(SIGKILL);
    REQUIRE(jobs.cluster.agentProcess(host).waitForEnd(Limit));
    jobs.cluster.restartAgent(host);
    jobs.finish();
    jobs.checkNoneRanTwice();
}

// Guards against a start that the network delivers when its job runs elsewhere: the worker has not seen the newer
// fence, and the lease counts from the arrival of the call.
TEST_CASE("A start call that is held back past the reassignment starts nothing", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("first-", 1, 1);
    jobs.finish();
    const std::uint32_t hosts = jobs.cluster.deployment().hosts;
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    const std::uint32_t victim = (leader + 1) % hosts;
    const auto setWorkers = [&](const char *mode, bool victimToo) {
        for (std::uint32_t host = 0; host < hosts; ++host) {
            if (host != leader && (victimToo || host != victim)) {
                jobs.cluster.setRoute("worker-" + std::to_string(host), mode);
            }
        }
    };
    setWorkers("freeze", true);
    jobs.submitMany("job-", 12, 20);
    waitUntil("jobs are assigned to the host", [&] {
        const json::value list = jobs.cluster.caller().getJson(jobs.cluster.entry(0), "/v1/jobs");
        return std::ranges::any_of(list.at("jobs").as_array(), [&](const json::value &job) {
            return json::value_to<std::string>(job.at("host")) == jobs.cluster.hostName(victim);
        });
    });
    // The agent sends its start calls at once; no log or metric shows them.
    waitDuringFault(400ms);
    jobs.cluster.agentProcess(victim).signal(SIGKILL);
    jobs.killed.insert(victim);
    setWorkers("pass", false);
    jobs.waitForStarts(12);
    jobs.cluster.setRoute("worker-" + std::to_string(victim), "pass");
    waitUntil("the calls that were held back arrive", [&] {
        const json::object log = jobs.cluster.hostLogs().at(victim);
        const Runs runs = jobs.runs();
        return log.at("refusedLate").to_number<std::uint64_t>() > 0 || std::ranges::any_of(runs, [&](const auto &job) {
                   return std::ranges::count(job.second, victim, &Run::host) > 0 && job.first.starts_with("job-");
               });
    });
    jobs.finish();
}

// Guards against results and ends of tasks that are missed while the worker cannot be reached, and against tasks that
// are given up although they still run there.
TEST_CASE("Tasks run again after the connection to their worker was cut past the lease", "[jobs]")
{
    JobCluster jobs({}, {{"timing.worker_lease_ms", "4000"}});
    jobs.submitMany("job-", 8, 8);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.followerWithTask();
    jobs.cluster.setRoute("worker-" + std::to_string(host), "cut");
    jobs.waitForLapse(host);
    jobs.cluster.setRoute("worker-" + std::to_string(host), "pass");
    jobs.finish();
}

// Guards against tasks that are stopped by an outage of the table, and results that are lost in it.
TEST_CASE("Tasks run through an outage of the table and their results are written afterwards", "[jobs]")
{
    JobCluster jobs({}, {{"timing.outage_grace_ms", "40000"}});
    jobs.submitMany("job-", 12, 8);
    jobs.waitForStarts(12);
    jobs.cluster.setPlatform("down");
    jobs.waitForRuns("tasks finish", 12, [](const Run &run) { return run.state == "finished"; });
    // No commit is possible during the outage.
    for (const auto &[job, state] : jobs.states()) {
        CHECK(state != "finished");
    }
    CHECK_FALSE(jobs.submit("refused", 1));
    jobs.cluster.setPlatform("up");
    jobs.finish();
    jobs.checkNoneRanTwice();
}

// Guards against decisions that are repeated because their commit was slow or its reply came too late.
TEST_CASE("Jobs go on while the table is slow", "[jobs]")
{
    JobCluster jobs({}, {{"timing.outage_grace_ms", "20000"}});
    jobs.cluster.setPlatform("slow", 300);
    jobs.submitMany("slow-", 6, 8);
    jobs.waitForStarts(6);
    const Epoch epoch = jobs.epoch();
    // Half of the delay comes before the effect: the calls time out after their effect, then before it.
    for (const std::uint32_t delay : {1000U, 1400U}) {
        jobs.cluster.setPlatform("slow", delay);
        const std::string id = "delay-" + std::to_string(delay);
        jobs.submit(id, 1);
        waitDuringFault(2s);
        jobs.cluster.setPlatform("slow", 300);
        waitUntil("the submission is accepted", [&] { return jobs.submit(id, 1); });
    }
    jobs.finish();
    jobs.checkNoneRanTwice();
    // A leader that takes a lost reply for a failure commits again, conflicts with itself and loses the shard.
    CHECK(jobs.epoch() == epoch);
}

// Guards against commits that are made twice or forgotten when their reply is lost, and evicted tasks that do not
// resume from the checkpoint of their eviction.
TEST_CASE("Jobs move and resume while replies of the table are lost after the effect", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 12, 5);
    jobs.waitForStarts(12);
    jobs.cluster.setPlatform("up", 0, 15);
    const std::uint32_t host = jobs.followerWithTask();
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
TEST_CASE("Leases lapse and tasks run again when an agent does not hear from the leader", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 30);
    jobs.waitForStarts(8);
    const std::string route = "agent-" + std::to_string(jobs.cluster.leaderIndex());
    jobs.cluster.setRoute(route, "freeze");
    const std::int64_t latest = clockNow() + (HostGrant + WorkerLease).count();
    jobs.allowsLostResults = true;
    jobs.waitForRuns("all leases lapse", 8, [](const Run &run) { return run.reason == "the lease lapsed"; });
    for (const auto &[job, list] : jobs.runs()) {
        CHECK(list.back().end <= latest + 500);
    }
    jobs.cluster.setRoute(route, "pass");
    jobs.waitForStarts(8);
    jobs.check();
}

// Guards against a reassignment before the grants and leases of a silent host are over.
TEST_CASE("Tasks go on through a silence that is shorter than the grants", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 7);
    jobs.waitForStarts(8);
    const std::string route = "agent-" + std::to_string(jobs.cluster.leaderIndex());
    jobs.cluster.setRoute(route, "freeze");
    waitDuringFault(2s);
    jobs.cluster.setRoute(route, "pass");
    jobs.finish();
    jobs.checkNoneRanTwice();
}

// Guards against a connection that both ends keep although nothing passes it any more.
TEST_CASE("Silent connections between agents and leader are replaced", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 8, 5);
    jobs.waitForStarts(8);
    jobs.cluster.setRoute("agent-" + std::to_string(jobs.cluster.leaderIndex()), "silent");
    jobs.allowsLostResults = true;
    jobs.submitMany("during-", 4, 1);
    jobs.finish();
}

TEST_CASE("Jobs go on when the leader is killed and a data centre is taken out while replies are lost", "[jobs]")
{
    JobCluster jobs;
    jobs.submitMany("job-", 12, 4);
    jobs.waitForStarts(12);
    const std::uint32_t leader = jobs.cluster.leaderIndex();
    const std::uint32_t host = jobs.followerWithTask();
    jobs.cluster.setDataCentre(jobs.cluster.dataCentreOf(host), false);
    jobs.cluster.setPlatform("up", 0, 10);
    jobs.cluster.agentProcess(leader).signal(SIGKILL);
    jobs.killed.insert(leader);
    jobs.allowsLostResults = true;
    jobs.finish();
}

TEST_CASE("Jobs go on when an agent freezes during an outage of the table", "[jobs]")
{
    JobCluster jobs({}, {{"timing.outage_grace_ms", "20000"}});
    jobs.submitMany("job-", 8, 5);
    jobs.waitForStarts(8);
    const std::uint32_t host = jobs.followerWithTask();
    jobs.cluster.setPlatform("down");
    jobs.cluster.agentProcess(host).signal(SIGSTOP);
    jobs.allowsLostResults = true;
    jobs.waitForLapse(host);
    jobs.cluster.setPlatform("up");
    jobs.submitMany("after-", 2, 1);
    jobs.cluster.agentProcess(host).signal(SIGCONT);
    jobs.finish();
}
