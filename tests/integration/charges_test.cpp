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

/// Three entries and a few hosts, and charges through them.
class Till
{
public:
    explicit Till(SettingsMap settings = {}, bool proxied = false)
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

    Told charge(const std::string &key, std::uint32_t entry, Milliseconds timeout = Milliseconds(3000))
    {
        return toldBy(begin(key, entry, timeout).get());
    }

    std::uint64_t runs(const std::string &key)
    {
        return executedBy(cluster, "idempotencyKeys")[key];
    }

    /// Begins a charge and waits until an upstream has it; throws when the caller is told an outcome before.
    std::future<HttpOutcome>
    beginRunning(const std::string &key, std::uint32_t entry, Milliseconds timeout = Milliseconds(3000))
    {
        std::future<HttpOutcome> call = begin(key, entry, timeout);
        waitUntil("the upstream has the charge", [&] {
            if (runs(key) > 0) {
                return true;
            }
            if (call.wait_for(Milliseconds(0)) == std::future_status::ready) {
                const Told told = toldBy(call.get());
                throw std::runtime_error(key + " reached no upstream: " + told.outcome + " " + told.body);
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
    Told repeatUntilAnswer(const std::string &key)
    {
        Told told;
        std::uint32_t entry = 0;
        waitUntil("the repeated charge is answered", [&] {
            told = charge(key, ++entry % 3);
            return told.outcome == "answer";
        });
        return told;
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

/// The entries that the upstreams' logs may have for a charge whose caller got this outcome.
bool isTrue(const Told &told, std::uint64_t runs)
{
    return told.outcome == "answer" ? runs == 1 : told.outcome == "not-run" ? runs == 0 : runs <= 1;
}

} // namespace

TEST_CASE("Concurrent calls with one key run the charge once and share one answer", "[charges]")
{
    Till till;
    std::map<std::string, std::vector<std::future<HttpOutcome>>> calls;
    for (int number = 0; number < 40; ++number) {
        const std::string key = "concurrent-" + std::to_string(number);
        // Two or three entries, and twice through the same one.
        for (std::uint32_t call = 0; call < 4; ++call) {
            calls[key].push_back(till.begin(key, call % (number % 2 == 0 ? 2 : 3)));
        }
    }
    for (auto &[key, outcomes] : calls) {
        std::set<std::string> answers;
        for (auto &outcome : outcomes) {
            const Told told = toldBy(outcome.get());
            INFO(key << " was told " << told.outcome);
            // While the first call has no result, the others are told `unknown`.
            CHECK((told.outcome == "answer" || told.outcome == "unknown"));
            if (told.outcome == "answer") {
                answers.insert(told.body);
            }
        }
        answers.insert(till.charge(key, 0).body);
        answers.insert(till.charge(key, 2).body);
        CHECK(answers.size() == 1);
        CHECK(answers.begin()->ends_with("bill of " + key + "."));
        CHECK(till.runs(key) == 1);
    }
    CHECK(toldBy(till.begin("concurrent-1", 1, Milliseconds(3000), "another bill").get()).outcome == "key-reused");
    // A query must not turn the charge into a plain request, which has no protection by its key.
    CHECK(toldBy(till.begin("concurrent-1", 1, Milliseconds(3000), {}, "?desk=2").get()).outcome == "key-reused");
    CHECK(till.runs("concurrent-1") == 1);
}

TEST_CASE("A charge whose entry is killed is not run again through another entry", "[charges]")
{
    Till till(SettingsMap{{"platform.timeout_ms", "4000"}});
    std::future<HttpOutcome> call;
    const auto killAndRepeat = [&](const std::string &key, std::string_view outcome, std::uint64_t runs) {
        till.killEntry(0);
        CHECK(toldBy(call.get()).outcome == "cut");
        till.setStore("up");
        setUpstreams(till.cluster, "normal");
        waitUntilQuiet(till.cluster);
        for (const std::uint32_t entry : {1U, 2U, 1U}) {
            INFO(key << " through entry " << entry);
            CHECK(till.charge(key, entry).outcome == outcome);
        }
        CHECK(till.runs(key) == runs);
        till.cluster.restartEntry(0);
        till.waitUntilServing(0);
    };

    // Half of the delay comes after the effect: the row exists, and the entry does not know it yet.
    till.setStore("slow", "mixed", 0, 2500);
    call = till.begin("row-without-request", 0, Milliseconds(8000));
    till.waitUntilRow("row-without-request", "pending");
    killAndRepeat("row-without-request", "unknown", 0);

    setUpstreams(till.cluster, "stall");
    call = till.beginRunning("request-without-answer", 0, Milliseconds(8000));
    killAndRepeat("request-without-answer", "unknown", 1);

    setUpstreams(till.cluster, "stall");
    call = till.beginRunning("answer-without-result", 0, Milliseconds(8000));
    till.setStore("down");
    setUpstreams(till.cluster, "normal");
    waitUntilQuiet(till.cluster);
    killAndRepeat("answer-without-result", "unknown", 1);

    setUpstreams(till.cluster, "stall");
    call = till.beginRunning("result-without-reply", 0, Milliseconds(8000));
    till.setStore("slow", "mixed", 0, 2500);
    setUpstreams(till.cluster, "normal");
    till.waitUntilRow("result-without-reply", "done");
    killAndRepeat("result-without-reply", "answer", 1);
}

TEST_CASE("Lost replies and outages of the table run no charge twice", "[charges]")
{
    Till till;
    std::map<std::string, Told> told;
    const auto chargeMany = [&](const std::string &name, Milliseconds timeout) {
        std::map<std::string, std::future<HttpOutcome>> calls;
        for (std::uint32_t number = 0; number < 30; ++number) {
            const std::string key = name + std::to_string(number);
            calls[key] = till.begin(key, number % 3, timeout);
        }
        std::map<std::string, int> outcomes;
        for (auto &[key, call] : calls) {
            told[key] = toldBy(call.get());
            ++outcomes[told[key].outcome];
        }
        waitUntilQuiet(till.cluster);
        auto runs = executedBy(till.cluster, "idempotencyKeys");
        for (const auto &[key, call] : calls) {
            INFO(key << " was told " << told[key].outcome << " and ran " << runs[key] << " times");
            CHECK(isTrue(told[key], runs[key]));
        }
        return outcomes;
    };

    till.setStore("up", "mixed", 60);
    CHECK(chargeMany("lost-reply-", Milliseconds(4000))["answer"] > 0);
    till.setStore("down");
    CHECK(chargeMany("table-down-", Milliseconds(1500))["not-run"] == 30);
    // The caller gives up before the effect, which comes all the same.
    till.setStore("slow", "mixed", 0, 1500);
    chargeMany("table-slow-", Milliseconds(400));

    till.setStore("up");
    setUpstreams(till.cluster, "stall");
    auto open = till.beginRunning("table-down-later", 0);
    till.setStore("down");
    setUpstreams(till.cluster, "normal");
    told["table-down-later"] = toldBy(open.get());
    CHECK(told["table-down-later"].outcome == "answer");

    till.setStore("up");
    for (const auto &[key, first] : told) {
        const Told repeated = till.repeatUntilAnswer(key);
        INFO(key << " was told " << first.outcome << " at first");
        CHECK((first.outcome != "answer" || first.body == repeated.body));
        CHECK(repeated.body.ends_with("bill of " + key + "."));
        CHECK(till.runs(key) == 1);
    }
}

TEST_CASE("A charge is unknown and not repeated when its agent dies or its connection goes silent", "[charges]")
{
    Till till(SettingsMap(), true);
    setUpstreams(till.cluster, "stall");
    auto call = till.beginRunning("agent-killed", 0);
    for (std::uint32_t index = 0; index < 3; ++index) {
        till.cluster.agentProcess(index).signal(SIGKILL);
        till.cluster.agentProcess(index).waitForEnd(Milliseconds(5000));
    }
    CHECK(toldBy(call.get()).outcome == "unknown");
    setUpstreams(till.cluster, "normal");
    // Nothing was sent, so this one says that it did not run, and its key is free again.
    const Told refused = till.charge("no-agent", 1);
    CHECK(refused.outcome == "not-run");
    CHECK(till.runs("no-agent") == 0);
    for (std::uint32_t index = 0; index < 3; ++index) {
        till.cluster.restartAgent(index);
    }
    CHECK(till.repeatUntilAnswer("no-agent").outcome == "answer");
    till.waitUntilServing(0);

    setUpstreams(till.cluster, "stall");
    call = till.beginRunning("silent", 0);
    till.cluster.setRoute("*", "silent");
    setUpstreams(till.cluster, "normal");
    CHECK(toldBy(call.get()).outcome == "unknown");
    till.waitUntilServing(0);
    waitUntilQuiet(till.cluster);
    for (const char *key : {"agent-killed", "silent"}) {
        INFO(key);
        CHECK(till.charge(key, 1).outcome == "unknown");
        CHECK(till.charge(key, 0).outcome == "unknown");
        CHECK(till.runs(key) == 1);
    }
}

// Guards against an answer that is lost because it comes after the caller's deadline, and a planned stop that loses it
// or waits for it without a bound.
TEST_CASE("An answer after the deadline becomes the result of its charge", "[charges]")
{
    Till till;
    const auto checkRepeats = [&](const std::string &key, std::string_view outcome, std::string_view body) {
        for (const std::uint32_t entry : {1U, 2U, 1U}) {
            INFO(key << " through entry " << entry);
            const Told repeated = till.charge(key, entry);
            CHECK(repeated.outcome == outcome);
            CHECK(repeated.body.ends_with(body));
        }
        CHECK(till.runs(key) == 1);
    };

    setUpstreams(till.cluster, "late", 0, 1000);
    CHECK(till.charge("late", 0, Milliseconds(500)).outcome == "unknown");
    CHECK(till.charge("late", 1, Milliseconds(500)).outcome == "unknown");
    till.waitUntilRow("late", "done");
    checkRepeats("late", "answer", "bill of late.");

    setUpstreams(till.cluster, "stall");
    auto call = till.beginRunning("late-and-table-down", 0, Milliseconds(500));
    CHECK(toldBy(call.get()).outcome == "unknown");
    till.setStore("down");
    setUpstreams(till.cluster, "normal");
    waitUntilQuiet(till.cluster);
    till.setStore("up");
    till.waitUntilRow("late-and-table-down", "done");
    checkRepeats("late-and-table-down", "answer", "bill of late-and-table-down.");

    const auto stopEntryDuring = [&](const std::string &key) {
        setUpstreams(till.cluster, "stall");
        call = till.beginRunning(key, 0, Milliseconds(500));
        CHECK(toldBy(call.get()).outcome == "unknown");
        till.cluster.entryProcess(0).signal(SIGTERM);
        waitUntil("the entry takes no more calls", [&] {
            return toldBy(till.cluster.caller().call(till.cluster.entry(0), {.target = "/healthz"})).outcome
                == "refused";
        });
        CHECK(till.cluster.entryProcess(0).isRunning());
    };
    stopEntryDuring("late-and-stop");
    setUpstreams(till.cluster, "normal");
    CHECK(till.cluster.entryProcess(0).waitForEnd(Milliseconds(5000)) == 0);
    checkRepeats("late-and-stop", "answer", "bill of late-and-stop.");
    till.cluster.restartEntry(0);
    till.waitUntilServing(0);

    // The entry waits for 10 s after the deadline, well below the bound of a stop.
    stopEntryDuring("never-and-stop");
    CHECK(till.cluster.entryProcess(0).waitForEnd(Milliseconds(12000)) == 0);
    setUpstreams(till.cluster, "normal");
    waitUntilQuiet(till.cluster);
    checkRepeats("never-and-stop", "unknown", "");
}

// Guards against an agent that ends before it has passed on the late answers that entries wait for.
TEST_CASE("A planned stop of an agent waits for the late answer of a charge", "[charges]")
{
    Till till;
    // Longer than a stop takes otherwise.
    setUpstreams(till.cluster, "late", 0, 6000);
    auto call = till.beginRunning("late-and-agent-stop", 0, Milliseconds(500));
    CHECK(toldBy(call.get()).outcome == "unknown");
    for (std::uint32_t index = 0; index < 3; ++index) {
        till.cluster.agentProcess(index).signal(SIGTERM);
    }
    till.waitUntilRow("late-and-agent-stop", "done");
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK(till.cluster.agentProcess(index).waitForEnd(Milliseconds(30000)) == 0);
    }
    const Told repeated = till.charge("late-and-agent-stop", 1);
    CHECK(repeated.outcome == "answer");
    CHECK(repeated.body.ends_with("bill of late-and-agent-stop."));
    CHECK(till.runs("late-and-agent-stop") == 1);
}

// Guards against a wait for late answers that keeps the selection of upstreams from noticing a stalled one.
TEST_CASE("An upstream that stalls is ejected by charges before the wait for late answers ends", "[charges]")
{
    Till till;
    setUpstreams(till.cluster, "stall");
    std::vector<std::future<HttpOutcome>> calls;
    calls.reserve(12);
    // Three attempts without an answer eject an upstream; there are three upstreams.
    for (int number = 0; number < 12; ++number) {
        calls.push_back(till.begin("stalled-" + std::to_string(number), 0, Milliseconds(500)));
    }
    for (auto &call : calls) {
        CHECK(toldBy(call.get()).outcome == "unknown");
    }
    const TimePoint since = std::chrono::steady_clock::now();
    waitUntil("an upstream is ejected", [&] {
        const auto views = till.cluster.caller().getJson(till.cluster.entry(0), "/v1/upstreams").at("upstreams");
        return std::ranges::any_of(views.as_array(), [](const auto &view) { return view.at("ejected").as_bool(); });
    });
    CHECK(std::chrono::steady_clock::now() - since < Seconds(2));
}

// Guards against a second run on another upstream while the first call still has time for one.
TEST_CASE("A charge whose answer was cut short is not tried elsewhere, even by an idempotent service", "[charges]")
{
    Till till;
    std::string sheet = baseSheet(till.cluster.deployment());
    const std::size_t notIdempotent = sheet.find(",no,");
    REQUIRE(notIdempotent != std::string::npos);
    sheet.replace(notIdempotent, 4, ",yes,");
    waitUntilInForce(till.cluster, till.cluster.applySheet(sheet), std::chrono::steady_clock::now());
    setUpstreams(till.cluster, "truncate");
    for (int number = 0; number < 6; ++number) {
        CHECK(till.charge("cut-" + std::to_string(number), 0).outcome == "unknown");
    }
    setUpstreams(till.cluster, "normal");
    till.waitUntilServing(1);
    for (int number = 0; number < 6; ++number) {
        const std::string key = "cut-" + std::to_string(number);
        INFO(key);
        CHECK(till.charge(key, 1).outcome == "unknown");
        CHECK(till.runs(key) == 1);
    }
}

TEST_CASE("An entry bounds the charges that wait for the table", "[charges]")
{
    Till till(SettingsMap{{"entry.max_charge_flows", "10"}});
    // A closed connection proves nothing, so each flow goes on after its reply until its row is released.
    till.setStore("down", "close");
    int refused = 0;
    for (int number = 0; number < 30; ++number) {
        const Told told = till.charge("bounded-" + std::to_string(number), 0, Milliseconds(100));
        CHECK(told.outcome == "not-run");
        refused += told.body.find("too many charges") != std::string::npos ? 1 : 0;
    }
    CHECK(refused == 20);
    till.setStore("up");
    CHECK(till.repeatUntilAnswer("bounded-0").outcome == "answer");
    CHECK(till.repeatUntilAnswer("bounded-29").outcome == "answer");
    CHECK(till.runs("bounded-0") == 1);
    CHECK(till.cluster.stop().empty());
}
