#include "outcomes.h"
#include "systemhelpers.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace Carobflow::Bench;

namespace
{

using SettingsMap = std::map<std::string, std::string>;

/// A cluster of three entries and three hosts through which charges are made.
class ChargeCluster
{
public:
    explicit ChargeCluster(SettingsMap settings = {}, bool proxied = false)
        : cluster({.deployment = smallDeployment(), .settings = std::move(settings), .proxied = proxied})
    {
        cluster.start(baseSheet(cluster.deployment()));
    }

    static Deployment smallDeployment()
    {
        Deployment deployment = coopDeployment();
        deployment.hosts = 3;
        return deployment;
    }

    std::future<HttpOutcome> begin(const std::string &key,
                                   std::uint32_t entry,
                                   Milliseconds timeout = Milliseconds(3000),
                                   const std::string &body = {},
                                   const std::string &query = {})
    {
        HttpRequest request{
            .method = "POST",
            .target = "/v1/services/" + cluster.deployment().service + "/charges" + query,
            .headers = {{"Idempotency-Key", key}, {"Carobflow-Timeout-Ms", std::to_string(timeout.count())}},
            .body = body.empty() ? "bill of " + key + "." : body,
            .timeout = timeout + Milliseconds(5000)};
        return boost::asio::co_spawn(cluster.caller().executor(),
                                     cluster.caller().client().call(cluster.entry(entry), std::move(request)),
                                     boost::asio::use_future);
    }

    CallOutcome charge(const std::string &key, std::uint32_t entry, Milliseconds timeout = Milliseconds(3000))
    {
        return callOutcomeOf(begin(key, entry, timeout).get());
    }

    std::uint64_t runs(const std::string &key)
    {
        return executedBy(cluster, "idempotencyKeys")[key];
    }

    /// Begins a charge and waits until an upstream has it; throws when the caller gets an outcome before.
    std::future<HttpOutcome>
    beginRunning(const std::string &key, std::uint32_t entry, Milliseconds timeout = Milliseconds(3000))
    {
        std::future<HttpOutcome> call = begin(key, entry, timeout);
        waitUntil("the upstream has the charge", [&] {
            if (runs(key) > 0) {
                return true;
            }
            if (call.wait_for(Milliseconds(0)) == std::future_status::ready) {
                const CallOutcome received = callOutcomeOf(call.get());
                throw std::runtime_error(key + " reached no upstream: " + received.outcome + " " + received.body);
            }
            return false;
        });
        return call;
    }

    /// Waits until the row of a key holds a text such as its state.
    void waitUntilRow(const std::string &key, std::string_view state)
    {
        const std::string row = "charge/" + cluster.deployment().service + "/" + key;
        waitUntil("the charge has its row", [&] {
            const auto rows = cluster.caller().getJson(cluster.platformControl(), "/control/rows").as_object();
            const auto *value = rows.if_contains(row);
            return value != nullptr && value->as_string().find(state) != std::string::npos;
        });
    }

    void killEntry(std::uint32_t index)
    {
        cluster.entryProcess(index).signal(SIGKILL);
        cluster.entryProcess(index).waitForEnd(Milliseconds(5000));
    }

    void setStore(const char *mode, const char *downReply = "mixed", int dropReplies = 0, int delayMilliseconds = 0)
    {
        cluster.caller().postJson(
            cluster.platformControl(),
            "/control",
            {{"mode", mode}, {"downReply", downReply}, {"dropReplies", dropReplies}, {"delayMs", delayMilliseconds}});
    }

    /// Repeats a charge through the entries in turn until it is answered.
    CallOutcome repeatUntilAnswer(const std::string &key)
    {
        CallOutcome received;
        std::uint32_t entry = 0;
        waitUntil("the repeated charge is answered", [&] {
            received = charge(key, ++entry % 3);
            return received.outcome == "answer";
        });
        return received;
    }

    /// Waits until charges run through this entry. Entries learn of a restarted agent one after the other, and until
    /// then an entry answers `not-run`.
    void waitUntilServing(std::uint32_t entry)
    {
        waitUntil("charges run through the entry",
                  [&] { return charge("probe-" + std::to_string(++m_probes), entry).outcome == "answer"; });
    }

    Cluster cluster;

private:
    int m_probes = 0;
};

/// True when this number of runs agrees with the outcome that the caller got.
bool isConsistent(const CallOutcome &received, std::uint64_t runs)
{
    return received.outcome == "answer" ? runs == 1 : received.outcome == "not-run" ? runs == 0 : runs <= 1;
}

} // namespace

TEST_CASE("Concurrent calls with one key run the charge once and share one answer", "[charges]")
{
    ChargeCluster charges;
    std::map<std::string, std::vector<std::future<HttpOutcome>>> calls;
    for (int number = 0; number < 40; ++number) {
        const std::string key = "concurrent-" + std::to_string(number);
        // Two or three entries, and twice through the same one.
        for (std::uint32_t call = 0; call < 4; ++call) {
            calls[key].push_back(charges.begin(key, call % (number % 2 == 0 ? 2 : 3)));
        }
    }
    for (auto &[key, outcomes] : calls) {
        std::set<std::string> answers;
        for (auto &outcome : outcomes) {
            const CallOutcome received = callOutcomeOf(outcome.get());
            INFO(key << " got " << received.outcome);
            // While the first call has no result, the others get `unknown`.
            CHECK((received.outcome == "answer" || received.outcome == "unknown"));
            if (received.outcome == "answer") {
                answers.insert(received.body);
            }
        }
        answers.insert(charges.charge(key, 0).body);
        answers.insert(charges.charge(key, 2).body);
        CHECK(answers.size() == 1);
        CHECK(answers.begin()->ends_with("bill of " + key + "."));
        CHECK(charges.runs(key) == 1);
    }
    CHECK(callOutcomeOf(charges.begin("concurrent-1", 1, Milliseconds(3000), "another bill").get()).outcome
          == "key-reused");
    // A query must not turn the charge into a plain request, which has no protection by its key.
    CHECK(callOutcomeOf(charges.begin("concurrent-1", 1, Milliseconds(3000), {}, "?desk=2").get()).outcome
          == "key-reused");
    CHECK(charges.runs("concurrent-1") == 1);
}

TEST_CASE("A charge whose entry is killed is not run again through another entry", "[charges]")
{
    ChargeCluster charges(SettingsMap{{"platform.timeout_ms", "4000"}});
    std::future<HttpOutcome> call;
    const auto killAndRepeat = [&](const std::string &key, std::string_view outcome, std::uint64_t runs) {
        charges.killEntry(0);
        CHECK(callOutcomeOf(call.get()).outcome == "cut");
        charges.setStore("up");
        setUpstreams(charges.cluster, "normal");
        waitUntilQuiet(charges.cluster);
        for (const std::uint32_t entry : {1U, 2U, 1U}) {
            INFO(key << " through entry " << entry);
            CHECK(charges.charge(key, entry).outcome == outcome);
        }
        CHECK(charges.runs(key) == runs);
        charges.cluster.restartEntry(0);
        charges.waitUntilServing(0);
    };

    // Half of the delay comes after the effect: the row exists, and the entry does not know it yet.
    charges.setStore("slow", "mixed", 0, 2500);
    call = charges.begin("row-without-request", 0, Milliseconds(8000));
    charges.waitUntilRow("row-without-request", "pending");
    killAndRepeat("row-without-request", "unknown", 0);

    setUpstreams(charges.cluster, "stall");
    call = charges.beginRunning("request-without-answer", 0, Milliseconds(8000));
    killAndRepeat("request-without-answer", "unknown", 1);

    setUpstreams(charges.cluster, "stall");
    call = charges.beginRunning("answer-without-result", 0, Milliseconds(8000));
    charges.setStore("down");
    setUpstreams(charges.cluster, "normal");
    waitUntilQuiet(charges.cluster);
    killAndRepeat("answer-without-result", "unknown", 1);

    setUpstreams(charges.cluster, "stall");
    call = charges.beginRunning("result-without-reply", 0, Milliseconds(8000));
    charges.setStore("slow", "mixed", 0, 2500);
    setUpstreams(charges.cluster, "normal");
    charges.waitUntilRow("result-without-reply", "done");
    killAndRepeat("result-without-reply", "answer", 1);
}

TEST_CASE("Lost replies and outages of the table run no charge twice", "[charges]")
{
    ChargeCluster charges;
    std::map<std::string, CallOutcome> received;
    const auto chargeMany = [&](const std::string &name, Milliseconds timeout) {
        std::map<std::string, std::future<HttpOutcome>> calls;
        for (std::uint32_t number = 0; number < 30; ++number) {
            const std::string key = name + std::to_string(number);
            calls[key] = charges.begin(key, number % 3, timeout);
        }
        std::map<std::string, int> outcomes;
        for (auto &[key, call] : calls) {
            received[key] = callOutcomeOf(call.get());
            ++outcomes[received[key].outcome];
        }
        waitUntilQuiet(charges.cluster);
        auto runs = executedBy(charges.cluster, "idempotencyKeys");
        for (const auto &[key, call] : calls) {
            INFO(key << " got " << received[key].outcome << " and ran " << runs[key] << " times");
            CHECK(isConsistent(received[key], runs[key]));
        }
        return outcomes;
    };

    charges.setStore("up", "mixed", 60);
    CHECK(chargeMany("lost-reply-", Milliseconds(4000))["answer"] > 0);
    charges.setStore("down");
    CHECK(chargeMany("table-down-", Milliseconds(1500))["not-run"] == 30);
    // The caller gives up before the effect, which comes all the same.
    charges.setStore("slow", "mixed", 0, 1500);
    chargeMany("table-slow-", Milliseconds(400));

    charges.setStore("up");
    setUpstreams(charges.cluster, "stall");
    auto open = charges.beginRunning("table-down-later", 0);
    charges.setStore("down");
    setUpstreams(charges.cluster, "normal");
    received["table-down-later"] = callOutcomeOf(open.get());
    CHECK(received["table-down-later"].outcome == "answer");

    charges.setStore("up");
    for (const auto &[key, first] : received) {
        const CallOutcome repeated = charges.repeatUntilAnswer(key);
        INFO(key << " got " << first.outcome << " at first");
        CHECK((first.outcome != "answer" || first.body == repeated.body));
        CHECK(repeated.body.ends_with("bill of " + key + "."));
        CHECK(charges.runs(key) == 1);
    }
}

TEST_CASE("A charge is unknown and not repeated when its agent dies or its connection goes silent", "[charges]")
{
    ChargeCluster charges(SettingsMap(), true);
    setUpstreams(charges.cluster, "stall");
    auto call = charges.beginRunning("agent-killed", 0);
    for (std::uint32_t index = 0; index < 3; ++index) {
        charges.cluster.agentProcess(index).signal(SIGKILL);
        charges.cluster.agentProcess(index).waitForEnd(Milliseconds(5000));
    }
    CHECK(callOutcomeOf(call.get()).outcome == "unknown");
    setUpstreams(charges.cluster, "normal");
    // Nothing was sent, so this one says that it did not run, and its key is free again.
    const CallOutcome refused = charges.charge("no-agent", 1);
    CHECK(refused.outcome == "not-run");
    CHECK(charges.runs("no-agent") == 0);
    for (std::uint32_t index = 0; index < 3; ++index) {
        charges.cluster.restartAgent(index);
    }
    CHECK(charges.repeatUntilAnswer("no-agent").outcome == "answer");
    charges.waitUntilServing(0);

    setUpstreams(charges.cluster, "stall");
    call = charges.beginRunning("silent", 0);
    charges.cluster.setRoute("*", "silent");
    setUpstreams(charges.cluster, "normal");
    CHECK(callOutcomeOf(call.get()).outcome == "unknown");
    charges.waitUntilServing(0);
    waitUntilQuiet(charges.cluster);
    for (const char *key : {"agent-killed", "silent"}) {
        INFO(key);
        CHECK(charges.charge(key, 1).outcome == "unknown");
        CHECK(charges.charge(key, 0).outcome == "unknown");
        CHECK(charges.runs(key) == 1);
    }
}

// Guards against an answer that is lost because it comes after the caller's deadline, and a planned stop that loses it
// or waits for it without a bound.
TEST_CASE("An answer after the deadline becomes the result of its charge", "[charges]")
{
    ChargeCluster charges;
    const auto checkRepeats = [&](const std::string &key, std::string_view outcome, std::string_view body) {
        for (const std::uint32_t entry : {1U, 2U, 1U}) {
            INFO(key << " through entry " << entry);
            const CallOutcome repeated = charges.charge(key, entry);
            CHECK(repeated.outcome == outcome);
            CHECK(repeated.body.ends_with(body));
        }
        CHECK(charges.runs(key) == 1);
    };

    setUpstreams(charges.cluster, "late", 0, 1000);
    CHECK(charges.charge("late", 0, Milliseconds(500)).outcome == "unknown");
    CHECK(charges.charge("late", 1, Milliseconds(500)).outcome == "unknown");
    charges.waitUntilRow("late", "done");
    checkRepeats("late", "answer", "bill of late.");

    setUpstreams(charges.cluster, "stall");
    auto call = charges.beginRunning("late-and-table-down", 0, Milliseconds(500));
    CHECK(callOutcomeOf(call.get()).outcome == "unknown");
    charges.setStore("down");
    setUpstreams(charges.cluster, "normal");
    waitUntilQuiet(charges.cluster);
    charges.setStore("up");
    charges.waitUntilRow("late-and-table-down", "done");
    checkRepeats("late-and-table-down", "answer", "bill of late-and-table-down.");

    const auto stopEntryDuring = [&](const std::string &key) {
        setUpstreams(charges.cluster, "stall");
        call = charges.beginRunning(key, 0, Milliseconds(500));
        CHECK(callOutcomeOf(call.get()).outcome == "unknown");
        charges.cluster.entryProcess(0).signal(SIGTERM);
        waitUntil("the entry takes no more calls", [&] {
            return callOutcomeOf(charges.cluster.caller().call(charges.cluster.entry(0), {.target = "/healthz"}))
                       .outcome
                == "refused";
        });
        CHECK(charges.cluster.entryProcess(0).isRunning());
    };
    stopEntryDuring("late-and-stop");
    setUpstreams(charges.cluster, "normal");
    CHECK(charges.cluster.entryProcess(0).waitForEnd(Milliseconds(5000)) == 0);
    checkRepeats("late-and-stop", "answer", "bill of late-and-stop.");
    charges.cluster.restartEntry(0);
    charges.waitUntilServing(0);

    // The entry waits for 10 s after the deadline, well below the bound of a stop.
    stopEntryDuring("never-and-stop");
    CHECK(charges.cluster.entryProcess(0).waitForEnd(Milliseconds(12000)) == 0);
    setUpstreams(charges.cluster, "normal");
    waitUntilQuiet(charges.cluster);
    checkRepeats("never-and-stop", "unknown", "");
}

// Guards against an agent that ends before it has passed on the late answers that entries wait for.
TEST_CASE("A planned stop of an agent waits for the late answer of a charge", "[charges]")
{
    ChargeCluster charges;
    // Longer than a stop takes otherwise.
    setUpstreams(charges.cluster, "late", 0, 6000);
    auto call = charges.beginRunning("late-and-agent-stop", 0, Milliseconds(500));
    CHECK(callOutcomeOf(call.get()).outcome == "unknown");
    for (std::uint32_t index = 0; index < 3; ++index) {
        charges.cluster.agentProcess(index).signal(SIGTERM);
    }
    charges.waitUntilRow("late-and-agent-stop", "done");
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK(charges.cluster.agentProcess(index).waitForEnd(Milliseconds(30000)) == 0);
    }
    const CallOutcome repeated = charges.charge("late-and-agent-stop", 1);
    CHECK(repeated.outcome == "answer");
    CHECK(repeated.body.ends_with("bill of late-and-agent-stop."));
    CHECK(charges.runs("late-and-agent-stop") == 1);
}

// Guards against a wait for late answers that keeps the selection of upstreams from noticing a stalled one.
TEST_CASE("An upstream that stalls is ejected by charges before the wait for late answers ends", "[charges]")
{
    ChargeCluster charges;
    setUpstreams(charges.cluster, "stall");
    std::vector<std::future<HttpOutcome>> calls;
    calls.reserve(12);
    // Three attempts without an answer eject an upstream; there are three upstreams.
    for (int number = 0; number < 12; ++number) {
        calls.push_back(charges.begin("stalled-" + std::to_string(number), 0, Milliseconds(500)));
    }
    for (auto &call : calls) {
        CHECK(callOutcomeOf(call.get()).outcome == "unknown");
    }
    const TimePoint since = std::chrono::steady_clock::now();
    waitUntil("an upstream is ejected", [&] {
        const auto views = charges.cluster.caller().getJson(charges.cluster.entry(0), "/v1/upstreams").at("upstreams");
        return std::ranges::any_of(views.as_array(), [](const auto &view) { return view.at("ejected").as_bool(); });
    });
    CHECK(std::chrono::steady_clock::now() - since < Seconds(2));
}

// Guards against a second run on another upstream while the first call still has time for one.
TEST_CASE("A charge whose answer was cut short is not tried elsewhere, even by an idempotent service", "[charges]")
{
    ChargeCluster charges;
    std::string sheet = baseSheet(charges.cluster.deployment());
    const std::size_t notIdempotent = sheet.find(",no,");
    REQUIRE(notIdempotent != std::string::npos);
    sheet.replace(notIdempotent, 4, ",yes,");
    waitUntilInForce(charges.cluster, charges.cluster.applySheet(sheet), std::chrono::steady_clock::now());
    setUpstreams(charges.cluster, "truncate");
    for (int number = 0; number < 6; ++number) {
        CHECK(charges.charge("cut-" + std::to_string(number), 0).outcome == "unknown");
    }
    setUpstreams(charges.cluster, "normal");
    charges.waitUntilServing(1);
    for (int number = 0; number < 6; ++number) {
        const std::string key = "cut-" + std::to_string(number);
        INFO(key);
        CHECK(charges.charge(key, 1).outcome == "unknown");
        CHECK(charges.runs(key) == 1);
    }
}

TEST_CASE("An entry bounds the charges that wait for the table", "[charges]")
{
    ChargeCluster charges(SettingsMap{{"entry.max_charge_flows", "10"}});
    // A closed connection proves nothing, so each flow goes on after its reply until its row is released.
    charges.setStore("down", "close");
    int refused = 0;
    for (int number = 0; number < 30; ++number) {
        const CallOutcome received = charges.charge("bounded-" + std::to_string(number), 0, Milliseconds(100));
        CHECK(received.outcome == "not-run");
        refused += received.body.find("too many charges") != std::string::npos ? 1 : 0;
    }
    CHECK(refused == 20);
    charges.setStore("up");
    CHECK(charges.repeatUntilAnswer("bounded-0").outcome == "answer");
    CHECK(charges.repeatUntilAnswer("bounded-29").outcome == "answer");
    CHECK(charges.runs("bounded-0") == 1);
    CHECK(charges.cluster.stop().empty());
}
