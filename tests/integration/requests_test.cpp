#include "outcomes.h"

#include "carobflow/bench/load.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace Carobflow::Bench;

namespace
{

constexpr const char *Desk = "repair-desk";
/// The sheet marks this service as idempotent; the last two hosts serve it.
constexpr const char *Prices = "price-list";

constexpr std::uint32_t Hosts = 6;
constexpr std::uint32_t Desks = 4;

/// The outcomes that the callers of one load got, by the body of their request.
using OutcomesByBody = std::map<std::string, CallOutcome>;

std::vector<HttpEndpoint> entriesOf(Cluster &cluster)
{
    return {cluster.entry(0), cluster.entry(1), cluster.entry(2)};
}

std::future<LoadSummary>
beginLoad(Cluster &cluster, const char *service, OutcomesByBody &received, Milliseconds duration)
{
    return std::async(std::launch::async, [&cluster, service, &received, duration] {
        return Load::run(cluster.caller(),
                         entriesOf(cluster),
                         {.requestsPerSecond = 120,
                          .duration = duration,
                          .timeout = Milliseconds(800),
                          .service = service,
                          .observer = [&received](const std::string &body, const HttpOutcome &outcome) {
                              received[body] = callOutcomeOf(outcome);
                          }});
    });
}

/// Waits for the answer to a request that is sent now; the time that this took.
Milliseconds timeUntilServed(Cluster &cluster, Milliseconds timeout)
{
    const TimePoint startedAt = std::chrono::steady_clock::now();
    waitUntil("a request is answered", [&] {
        return callOutcomeOf(
                   cluster.caller().call(cluster.entry(0),
                                         {.method = "POST",
                                          .target = std::string("/v1/services/") + Desk + "/quote",
                                          .headers = {{"Carobflow-Timeout-Ms", std::to_string(timeout.count())}},
                                          .body = "probe"}))
                   .outcome
            == "answer";
    });
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt);
}

/// The sum of a counter over the entries, for one service.
double counterOf(Cluster &cluster, const std::string &name, const std::string &service)
{
    double sum = 0;
    for (const HttpEndpoint &entry : entriesOf(cluster)) {
        std::istringstream lines(cluster.caller().mustCall(entry, {.target = "/metrics"}).body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + "{") && line.find("service=\"" + service + "\"") != std::string::npos) {
                sum += std::stod(line.substr(line.rfind(' ')));
            }
        }
    }
    return sum;
}

Cluster::Options options(std::uint32_t hosts, std::uint32_t desks)
{
    Cluster::Options options{.deployment = coopDeployment(), .proxied = true};
    options.deployment.hosts = hosts;
    for (std::uint32_t index = desks; index < hosts; ++index) {
        options.singleHostArguments[index] = {"--service", Prices};
    }
    return options;
}

std::string sheetOf(Cluster &cluster)
{
    return baseSheet(cluster.deployment()) + "service," + Prices + ",500,0.99,yes,latency\n";
}

} // namespace

TEST_CASE("Under faults not-run is reported truthfully and each caller gets the whole answer to their own request",
          "[requests]")
{
    Cluster cluster(options(Hosts, Desks));
    cluster.start(sheetOf(cluster));
    OutcomesByBody desk;
    OutcomesByBody prices;
    auto deskLoad = beginLoad(cluster, Desk, desk, Milliseconds(12000));
    auto pricesLoad = beginLoad(cluster, Prices, prices, Milliseconds(12000));
    // The faults are spread over the time of the load; no step relies on a state being reached within a pause.
    const auto pauseFor = [](int milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); };
    const auto faultOfUpstreams = [&](const char *mode) {
        // One upstream of each service keeps working.
        for (const std::uint32_t index : {0U, 1U, Desks}) {
            cluster.caller().postJson(cluster.hostControl(index), "/control", {{"upstream", mode}, {"lateMs", 900}});
        }
        pauseFor(700);
        setUpstreams(cluster, "normal");
        pauseFor(300);
    };
    for (const char *mode : {"stall", "truncate", "late"}) {
        faultOfUpstreams(mode);
    }
    for (const std::uint32_t index : {2U, Desks}) {
        cluster.agentProcess(index).signal(SIGKILL);
        cluster.agentProcess(index).waitForEnd(Milliseconds(5000));
        cluster.restartAgent(index);
    }
    for (const std::uint32_t index : {3U, Desks + 1}) {
        cluster.agentProcess(index).signal(SIGSTOP);
    }
    pauseFor(1200);
    for (const std::uint32_t index : {3U, Desks + 1}) {
        cluster.agentProcess(index).signal(SIGCONT);
    }
    for (const char *mode : {"cut", "drop-replies", "silent", "freeze"}) {
        for (const std::uint32_t index : {0U, 2U, Desks}) {
            cluster.setRoute("agent-" + std::to_string(index), mode);
        }
        pauseFor(600);
        cluster.setRoute("*", "pass");
        pauseFor(400);
    }
    // Without a connection to any agent of the service, requests end as `not-run`.
    for (std::uint32_t index = 0; index < Desks; ++index) {
        cluster.setRoute("agent-" + std::to_string(index), "cut");
    }
    pauseFor(600);
    cluster.setRoute("*", "pass");
    const LoadSummary deskSummary = deskLoad.get();
    const LoadSummary pricesSummary = pricesLoad.get();
    waitUntilQuiet(cluster);

    auto executed = executedBy(cluster, "bodies");
    std::map<std::string, std::uint64_t> counts;
    const auto check = [&](const OutcomesByBody &received, bool idempotent) {
        for (const auto &[body, reply] : received) {
            const std::uint64_t runs = executed[body];
            ++counts[(idempotent ? "prices " : "desk ") + reply.outcome];
            counts["repeated"] += runs > 1 ? 1 : 0;
            INFO(body << " got " << reply.outcome << " and ran " << runs << " times");
            const bool isConsistent = reply.outcome == "answer" ? runs >= 1 : reply.outcome != "not-run" || runs == 0;
            CHECK(isConsistent);
            CHECK((idempotent || runs <= 1));
        }
    };
    check(desk, false);
    check(prices, true);
    for (const auto &[outcome, count] : counts) {
        std::cout << outcome << ": " << count << "\n";
    }
    // The load counts answers as wrong that lack the last byte of their own request's body.
    CHECK(deskSummary.wrong + pricesSummary.wrong == 0);
    CHECK(deskSummary.cut + pricesSummary.cut == 0);
    // Without failed and repeated requests the faults had no effect, and the test would check nothing.
    CHECK(counts["desk not-run"] > 0);
    CHECK(counts["desk unknown"] > 0);
    CHECK(counts["repeated"] > 0);
    CHECK(deskSummary.answered > deskSummary.total() / 2);
}

TEST_CASE("Requests are served again over new connections when the open ones stop passing data", "[requests]")
{
    Cluster cluster(options(1, 1));
    cluster.start(sheetOf(cluster));
    OutcomesByBody received;
    auto load = beginLoad(cluster, Desk, received, Milliseconds(6000));
    waitUntil("the load runs", [&] { return sumOfLogs(cluster, "executed") > 50; });
    cluster.setRoute("agent-0", "silent");
    const Milliseconds elapsed = timeUntilServed(cluster, Milliseconds(300));
    const LoadSummary summary = load.get();
    std::cout << "served again after " << elapsed.count() << " ms; " << summary.answered << " of " << summary.total()
              << " requests answered\n";
    // Pings fail within 4 s; the rest is for the reconnection and one request.
    CHECK(elapsed < Milliseconds(5500));
    CHECK(elapsed > Milliseconds(300));
    waitUntilQuiet(cluster);
    auto executed = executedBy(cluster, "bodies");
    for (const auto &[body, reply] : received) {
        INFO(body << " got " << reply.outcome);
        CHECK((reply.outcome != "not-run" || executed[body] == 0));
        CHECK(executed[body] <= 1);
    }
}

TEST_CASE("Retries stay within their budget when most upstreams fail", "[requests]")
{
    Cluster cluster(options(5, 0));
    cluster.start(sheetOf(cluster));
    // Idempotent requests are tried again after a truncated answer. While one upstream goes on, ejection saves most
    // retries; when none does, only the budget stands between each request and four attempts.
    setUpstreams(cluster, "truncate", 1);
    OutcomesByBody received;
    LoadSummary summary = beginLoad(cluster, Prices, received, Milliseconds(3000)).get();
    CHECK(summary.answered > summary.total() * 8 / 10);
    setUpstreams(cluster, "truncate");
    summary = beginLoad(cluster, Prices, received, Milliseconds(4000)).get();
    CHECK(summary.answered + summary.wrong == 0);
    const double requests = counterOf(cluster, "carobflow_requests_total", Prices);
    const double attempts = counterOf(cluster, "carobflow_attempts_total", Prices);
    std::cout << requests << " requests, " << attempts << " attempts\n";
    CHECK(requests == static_cast<double>(received.size()));
    // The defaults of the daemon: ratio 0.2, and a burst of 10 on each entry.
    CHECK(attempts <= requests * 1.2 + 30);
    CHECK(attempts > requests * 1.1);
    setUpstreams(cluster, "normal");
    waitUntil("all upstreams are back", [&] {
        beginLoad(cluster, Prices, received, Milliseconds(200)).get();
        const auto views = cluster.caller().getJson(cluster.entry(0), "/v1/upstreams").at("upstreams").as_array();
        return std::ranges::none_of(views, [](const auto &view) { return view.at("ejected").as_bool(); });
    });
}
