#include "hostedsystem.h"

#include <atomic>
#include <csignal>
#include <future>
#include <set>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/json/object.hpp>
#include <catch2/catch.hpp>

namespace Carobflow::Bench
{

namespace json = boost::json;

namespace
{

/// A valid job id, unique for each number.
std::string jobId(unsigned number)
{
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), 'a') + digits;
}

} // namespace

TEST_CASE("Jobs complete through entry, leader, agents and workers", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    // Longer than it takes a leader without contact to resign.
    std::this_thread::sleep_for(Milliseconds(3500));
    for (unsigned number = 0; number < 20; ++number) {
        REQUIRE(system.submit(jobId(number), 3, Milliseconds(150)) == 200);
    }
    for (unsigned number = 0; number < 20; ++number) {
        CHECK(system.waitForState(jobId(number), "completed", Milliseconds(10000)));
    }
    // Guards against tasks that are lost or started more than once.
    CHECK(system.runs().size() == 60);
    CHECK(system.violations().empty());
    CHECK(system.state(jobId(999)) == "410");
    std::size_t terms = 0;
    for (std::size_t index = 0; index < 3; ++index) {
        const std::string output = system.agent(index).output();
        for (auto found = output.find("event=state-loaded"); found != std::string::npos;
             found = output.find("event=state-loaded", found + 1)) {
            ++terms;
        }
        CHECK(output.find("event=contact-lost") == std::string::npos);
    }
    // Guards against changes of leader without a fault.
    CHECK(terms == 1);
}

TEST_CASE("A killed leader is replaced and running work goes on", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    for (unsigned number = 0; number < 6; ++number) {
        REQUIRE(system.submit(jobId(number), 2, Milliseconds(4000)) == 200);
    }
    std::this_thread::sleep_for(Milliseconds(500));
    const auto leader = system.leader();
    REQUIRE(leader);
    system.agent(*leader).signal(SIGKILL);
    system.startAgent(*leader);
    // Submissions go on through the change of leader.
    CHECK(system.submit(jobId(100), 2, Milliseconds(100)) == 200);
    for (unsigned number = 0; number < 6; ++number) {
        CHECK(system.waitForState(jobId(number), "completed", Milliseconds(15000)));
    }
    CHECK(system.waitForState(jobId(100), "completed", Milliseconds(10000)));
    // Guards against work that is discarded or repeated at a change of leader.
    CHECK(system.runs().size() == 14);
    CHECK(system.violations().empty());
}

TEST_CASE("Accepted jobs complete after a power loss of all machines", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 4, Milliseconds(4000)) == 200);
    std::this_thread::sleep_for(Milliseconds(500));
    for (std::size_t index = 0; index < 3; ++index) {
        system.agent(index).signal(SIGKILL);
    }
    system.entry(0).signal(SIGKILL);
    std::this_thread::sleep_for(Milliseconds(700));
    for (std::size_t index = 0; index < 3; ++index) {
        system.startAgent(index);
    }
    system.startEntry(0);
    const auto began = std::chrono::steady_clock::now();
    system.waitUntilReady();
    waitUntil("an agent leads", [&] { return system.leader().has_value(); });
    // Guards against waiting for the time-out of a leader that is known to be gone: its row names a process that has
    // restarted since.
    CHECK(std::chrono::steady_clock::now() - began < Milliseconds(1500));
    CHECK(system.submit(jobId(2), 1, Milliseconds(100)) == 200);
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(10000)));
    CHECK(system.waitForState(jobId(2), "completed", Milliseconds(10000)));
    CHECK(system.runs().size() == 5);
    CHECK(system.violations().empty());
}

TEST_CASE("A write that the store performs late does not bring back old rows", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 4, Milliseconds(300)) == 200);
    system.onStandIns([&] { system.store().lateWrites = 2; });
    REQUIRE(system.submit(jobId(2), 2, Milliseconds(300)) == 200);
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(10000)));
    CHECK(system.waitForState(jobId(2), "completed", Milliseconds(10000)));
    std::this_thread::sleep_for(Milliseconds(2000));
    const auto leader = system.leader();
    REQUIRE(leader);
    // A successor reads what the late writes would have left behind.
    system.agent(*leader).signal(SIGTERM);
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(8000)));
    CHECK(system.waitForState(jobId(2), "completed", Milliseconds(8000)));
    CHECK(system.runs().size() == 6);
    CHECK(system.violations().empty());
}

TEST_CASE("A start that the worker carries out late runs once", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    system.onStandIns([&] {
        for (std::size_t index = 0; index < 3; ++index) {
            system.worker(index).lateStarts = 2;
            system.worker(index).lostStarts = 1;
        }
    });
    for (unsigned number = 0; number < 4; ++number) {
        REQUIRE(system.submit(jobId(number), 3, Milliseconds(400)) == 200);
    }
    for (unsigned number = 0; number < 4; ++number) {
        CHECK(system.waitForState(jobId(number), "completed", Milliseconds(15000)));
    }
    CHECK(system.violations().empty());
}

TEST_CASE("A worker that starts again has lost what ran on it", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 6, Milliseconds(1500)) == 200);
    const std::size_t worker = system.waitForRunning(6);
    std::size_t lost = 0;
    system.onStandIns([&] {
        lost = system.worker(worker).runningCount();
        system.worker(worker).restart();
    });
    REQUIRE(lost > 0);
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(15000)));
    CHECK(system.runs().size() == 6 + lost);
    CHECK(system.violations().empty());
}

TEST_CASE("Tasks of a worker that restarts and then stops answering start elsewhere when their lease has ended",
          "[hosted]")
{
    // Guards against TWICE: a call for the process before gives the worker the longest lease, since its clock starts
    // anew.
    HostedSystem system({.maxLease = Milliseconds(10000)});
    system.waitUntilReady();
    // Longer than any lease, so that no run on the silent worker ends done.
    constexpr Milliseconds work{20000};
    REQUIRE(system.submit(jobId(1), 6, work) == 200);
    const std::size_t worker = system.waitForRunning(6);
    system.onStandIns([&] { system.worker(worker).restart(); });
    REQUIRE(system.submit(jobId(2), 6, work) == 200);
    system.waitForRunning(12);
    std::size_t runs = 0;
    std::size_t lost = 0;
    system.onStandIns([&] {
        lost = system.worker(worker).runningCount();
        system.worker(worker).silent = true;
    });
    runs = system.runs().size();
    REQUIRE(lost > 0);
    waitUntil(
        "the tasks run elsewhere", [&] { return system.runs().size() == runs + lost; }, Milliseconds(15000));
    CHECK(system.violations().empty());
}

TEST_CASE("Tasks of an upstream that stops answering start elsewhere when their lease has ended", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 6, Milliseconds(1500)) == 200);
    const std::size_t worker = system.waitForRunning(6);
    std::size_t lost = 0;
    system.onStandIns([&] {
        lost = system.worker(worker).runningCount();
        system.worker(worker).silent = true;
    });
    REQUIRE(lost > 0);
    // Guards against an agent whose unanswered calls renew the lease for ever.
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(14000)));
    CHECK(system.runs().size() == 6 + lost);
}

TEST_CASE("Check-ins of other programs leave workers and their runs alone", "[hosted][foreign]")
{
    // Guards against TWICE: an agent took the sender of a check-in for its worker, and the leader started the tasks of
    // the real one elsewhere.
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 6, Milliseconds(7000)) == 200);
    system.waitForRunning(6);
    constexpr std::int64_t highestNumber = 9'007'199'254'740'991;
    const auto sendForeign = [&](std::size_t index) {
        json::object own;
        system.onStandIns([&] { own = system.worker(index).report(); });
        const std::string id = "i-" + std::to_string(index);
        const std::int64_t born = own.at("born").as_int64();
        const auto with = [&](const json::object &changes) {
            json::object report = own;
            for (const auto &[name, value] : changes) {
                report[name] = value;
            }
            return report;
        };
        const json::object later{{"born", born + 1000}, {"sequence", 1}};
        CHECK(system.checkIn(index, "p-77", with(later)) == 200);
        CHECK(system.checkIn(index, "p-78", with({{"service", "print-server"}, {"born", born + 1000}})) == 200);
        CHECK(system.checkIn(index, "p-79", with({{"born", 4'102'444'800'000}})) == 200);
        CHECK(system.checkIn(index, id, with(later)) == 200);
        CHECK(system.checkIn(index, id, with({{"born", 4'102'444'800'000}, {"state", "draining"}})) == 200);
        const unsigned unnamed = system.checkIn(
            index, id, with({{"service", "print-server"}, {"sequence", highestNumber}}));
        const unsigned unknownState = system.checkIn(
            index, id, with({{"state", "sleeping"}, {"sequence", highestNumber}}));
        json::object incomplete = with({{"state", "draining"}, {"sequence", highestNumber}});
        incomplete.erase("slots");
        const unsigned missing = system.checkIn(index, id, incomplete);
        CHECK(unknownState == 400);
        CHECK(missing == 400);
        return unnamed;
    };
    for (std::size_t index = 0; index < 3; ++index) {
        CHECK(sendForeign(index) == 400);
    }
    // An agent that has just started knows no worker yet.
    system.agent(1).signal(SIGKILL);
    system.startAgent(1);
    const auto until = std::chrono::steady_clock::now() + Milliseconds(1500);
    while (std::chrono::steady_clock::now() < until) {
        json::object report;
        system.onStandIns([&] { report = system.worker(1).report(); });
        report["born"] = report["born"].as_int64() + 1000;
        static_cast<void>(system.checkIn(1, "p-77", report));
    }
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(15000)));
    CHECK(system.runs().size() == 6);
    CHECK(system.violations().empty());
    CHECK(system.agentMetrics(0).find("carobflow_refused_announcements_total{field=\"service\"}") != std::string::npos);

    SECTION("And every worker is still used")
    {
        REQUIRE(system.submit(jobId(2), 24, Milliseconds(2000)) == 200);
        system.waitForRunning(24);
        CHECK(system.waitForState(jobId(2), "completed", Milliseconds(15000)));
        CHECK(system.violations().empty());
    }
}

TEST_CASE("A worker keeps its runs while its service is not configured", "[hosted][foreign]")
{
    // Guards against leases that expire because an agent knows no service of its worker's name.
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 6, Milliseconds(10000)) == 200);
    system.waitForRunning(6);
    system.configure(false);
    std::this_thread::sleep_for(Milliseconds(1500));
    SECTION("Its agent runs on")
    {
    }
    SECTION("Its agent restarts meanwhile")
    {
        for (std::size_t index = 0; index < 3; ++index) {
            system.agent(index).signal(SIGKILL);
            system.startAgent(index);
            std::this_thread::sleep_for(Milliseconds(300));
        }
    }
    std::this_thread::sleep_for(Milliseconds(6500));
    system.configure(true);
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(15000)));
    CHECK(system.runs().size() == 6);
    CHECK(system.violations().empty());
}

TEST_CASE("A cancelled job stops and stays cancelled", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 3, Milliseconds(20000)) == 200);
    std::this_thread::sleep_for(Milliseconds(300));
    CHECK(system.cancel(jobId(1)) == 200);
    CHECK(system.cancel(jobId(2)) == 410);
    CHECK(system.state(jobId(1)) == "cancelled");
    waitUntil("nothing runs", [&] {
        std::size_t running = 0;
        system.onStandIns([&] {
            for (std::size_t index = 0; index < 3; ++index) {
                running += system.worker(index).runningCount();
            }
        });
        return running == 0;
    });
}

TEST_CASE("A job that was cancelled before its submission arrived does not run", "[hosted][tombstones]")
{
    // Guards against UNASKED: a client is told that no such job exists, and an entry or the store passes on its
    // submission later.
    HostedSystem system({.entries = 2});
    system.waitUntilReady();
    const auto arrival = GENERATE(as<std::string_view>(),
                                  "held by an entry that stands still",
                                  "held by an entry that stands still, while the leader is killed",
                                  "held by an entry that stands still, while no agent runs",
                                  "in a write that the store performs late",
                                  "as the second request of the client");
    CAPTURE(arrival);
    const bool isHeld = arrival.starts_with("held");
    const bool isLateWrite = arrival.starts_with("in a write");
    const bool withoutAgents = arrival.ends_with("no agent runs") || isLateWrite;
    const auto killAgents = [&] {
        for (std::size_t index = 0; index < 3; ++index) {
            system.agent(index).signal(SIGKILL);
        }
    };
    const auto startAgents = [&] {
        for (std::size_t index = 0; index < 3; ++index) {
            system.startAgent(index);
        }
    };
    std::future<unsigned> submission;
    if (isHeld) {
        system.entry(0).signal(SIGSTOP);
    }
    if (withoutAgents) {
        killAgents();
    }
    if (isLateWrite) {
        system.onStandIns([&] {
            system.store().lateWrites = 20;
            system.store().lateBy = Milliseconds(6000);
        });
    }
    if (isHeld || isLateWrite) {
        submission = std::async(std::launch::async, [&] { return system.submit(jobId(1), 2, Milliseconds(500), 0); });
        std::this_thread::sleep_for(Milliseconds(1300));
    }
    if (isLateWrite) {
        CHECK(submission.get() == 504);
        system.onStandIns([&] { system.store().lateWrites = 0; });
    }
    CHECK(system.cancel(jobId(1), 1) == 410);
    CHECK(system.state(jobId(1), 1) == "410");
    if (arrival.ends_with("leader is killed")) {
        const auto leader = system.leader();
        REQUIRE(leader);
        system.agent(*leader).signal(SIGKILL);
        system.startAgent(*leader);
    }
    if (withoutAgents) {
        startAgents();
    }
    std::this_thread::sleep_for(Milliseconds(1500));
    if (isHeld) {
        system.entry(0).signal(SIGCONT);
        submission.wait();
    }
    if (isLateWrite) {
        std::this_thread::sleep_for(Milliseconds(5000));
    }
    system.waitUntilReady();
    // The client may also repeat its request, which is the same job.
    CHECK(system.submit(jobId(1), 2, Milliseconds(500), 1) == 200);
    CHECK(system.state(jobId(1), 1) == "cancelled");
    CHECK(system.submit(jobId(2), 1, Milliseconds(100), 1) == 200);
    CHECK(system.waitForState(jobId(2), "completed", Milliseconds(15000)));
    std::this_thread::sleep_for(Milliseconds(1000));
    // Only the task of the other job has run.
    CHECK(system.runs().size() == 1);
    CHECK(system.state(jobId(1), 0) == "cancelled");
    CHECK(system.cancel(jobId(1), 0) == 200);
}

TEST_CASE("A client that cancels unknown jobs without end gets refusals, and others are served", "[hosted][tombstones]")
{
    // Guards against a leader that grows with what a client cancels, and against answers that are not kept.
    HostedSystem system({});
    system.waitUntilReady();
    constexpr unsigned callers = 8;
    constexpr unsigned each = 550;
    std::atomic<unsigned> confirmed{0};
    std::atomic<unsigned> refused{0};
    std::vector<std::future<void>> running;
    for (unsigned caller = 0; caller < callers; ++caller) {
        running.push_back(std::async(std::launch::async, [&, caller] {
            for (unsigned number = 0; number < each; ++number) {
                const unsigned status = system.cancel(jobId(10000 + caller * each + number));
                confirmed += status == 410 ? 1 : 0;
                refused += status == 503 ? 1 : 0;
            }
        }));
    }
    for (const std::future<void> &caller : running) {
        caller.wait();
    }
    // A call without an answer in time may be remembered as well.
    const unsigned uncertain = callers * each - confirmed - refused;
    CHECK(confirmed <= 4000);
    CHECK(confirmed + uncertain >= 4000);
    CHECK(refused > 0);
    REQUIRE(system.submit(jobId(1), 1, Milliseconds(200)) == 200);
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(5000)));
    REQUIRE(system.submit(jobId(2), 1, Milliseconds(60000)) == 200);
    CHECK(system.cancel(jobId(2)) == 200);

    SECTION("Also after a change of leader")
    {
        const auto leader = system.leader();
        REQUIRE(leader);
        system.agent(*leader).signal(SIGKILL);
        system.startAgent(*leader);
        CHECK(system.submit(jobId(3), 1, Milliseconds(200)) == 200);
        CHECK(system.waitForState(jobId(3), "completed", Milliseconds(10000)));
        CHECK(system.submit(jobId(10000), 1, Milliseconds(200)) == 200);
        CHECK(system.state(jobId(10000)) == "cancelled");
        CHECK(system.cancel(jobId(9999)) == 503);
        CHECK(system.runs().size() <= 3);
    }
}

TEST_CASE("A repeated cancellation is confirmed only when the first one is in the store", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 2, Milliseconds(60000)) == 200);
    system.onStandIns([&] { system.store().refusing = true; });
    CHECK(system.cancel(jobId(1)) == 504);
    // Guards against a confirmed cancellation that a power loss undoes, after which the tasks start again.
    CHECK(system.cancel(jobId(1)) == 504);
    system.onStandIns([&] { system.store().refusing = false; });
    CHECK(system.cancel(jobId(1)) == 200);
    CHECK(system.state(jobId(1)) == "cancelled");
}

TEST_CASE("While the store is unavailable accepted jobs go on and new ones are not confirmed", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 4, Milliseconds(3000)) == 200);
    std::this_thread::sleep_for(Milliseconds(300));
    system.onStandIns([&] { system.store().refusing = true; });
    const unsigned status = system.submit(jobId(2), 1, Milliseconds(100));
    CHECK((status == 503 || status == 504));
    // Once the outage is detected, new jobs are rejected at once with the status that says that they never run.
    std::this_thread::sleep_for(Milliseconds(2000));
    const auto began = std::chrono::steady_clock::now();
    CHECK(system.submit(jobId(3), 1, Milliseconds(100)) == 503);
    CHECK(std::chrono::steady_clock::now() - began < Milliseconds(300));
    std::this_thread::sleep_for(Milliseconds(1000));
    system.onStandIns([&] { system.store().refusing = false; });
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(10000)));
    if (status == 504) {
        CHECK(system.waitForState(jobId(2), "completed", Milliseconds(10000)));
    }
    // Guards against leases that end with an outage of the store.
    CHECK(system.runs().size() == (status == 504 ? 5 : 4));
    CHECK(system.violations().empty());
}

TEST_CASE("Task ends that cannot be acknowledged yet cost an agent few calls", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 6, Milliseconds(300)) == 200);
    waitUntil("the tasks run", [&] { return system.runs().size() == 6; });
    system.onStandIns([&] { system.store().refusing = true; });
    std::this_thread::sleep_for(Milliseconds(800));
    const auto calls = [&] {
        std::uint64_t count = 0;
        system.onStandIns([&] {
            for (std::size_t index = 0; index < 3; ++index) {
                count = std::max(count, system.worker(index).listCalls);
            }
        });
        return count;
    };
    const std::uint64_t before = calls();
    std::this_thread::sleep_for(Seconds(2));
    // Guards against an agent that spends its share of a core on asking again for ends that it knows: an upstream
    // answers at once while ends are not acknowledged. 60 calls a second take about 1% of a core.
    const std::uint64_t after = calls();
    CHECK(after - before < 120);
    system.onStandIns([&] { system.store().refusing = false; });
    CHECK(system.waitForState(jobId(1), "completed", Milliseconds(10000)));
    CHECK(system.runs().size() == 6);
}

TEST_CASE("An entry without a leader tries few writes to a store that refuses them", "[hosted]")
{
    HostedSystem system({});
    system.waitUntilReady();
    REQUIRE(system.submit(jobId(1), 1, Milliseconds(100)) == 200);
    for (std::size_t index = 0; index < 3; ++index) {
        system.agent(index).signal(SIGKILL);
    }
    system.onStandIns([&] { system.store().refusing = true; });
    // The connection to the leader breaks with this request, so that its outcome is unknown.
    CHECK(system.submit(jobId(2), 1, Milliseconds(100)) >= 503);
    system.onStandIns([&] { system.store().refusedWrites = 0; });
    // Nothing was handed over, so the client is told that the job never runs.
    CHECK(system.submit(jobId(3), 1, Milliseconds(100)) == 503);
    std::uint64_t writes = 0;
    system.onStandIns([&] { writes = system.store().refusedWrites; });
    // Guards against entries that use up the store's rate, which all processes share, while it comes back. One write
    // each 200 ms of the 0.9 s for which an entry tries.
    CHECK(writes <= 5);
}

} // namespace Carobflow::Bench
