#include "carobflow/core/routing.h"
#include "seedrange.h"

#include <atomic>
#include <map>
#include <random>
#include <thread>

#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{1h};

Announcement announcement(const std::string &host, const std::string &dataCentre, std::uint64_t sequence = 1)
{
    return {.host = host,
            .dataCentre = dataCentre,
            .agentAddress = host + ":1",
            .bootId = 1,
            .sequence = sequence,
            .services = {{.name = "desk", .slots = 8, .connections = 64}}};
}

std::shared_ptr<const Sheet> sheetWith(std::vector<DataCentreEntry> dataCentres)
{
    Sheet sheet;
    sheet.dataCentres = std::move(dataCentres);
    sheet.services = {{.name = "desk", .deadline = 500ms, .targetRatio = 0.99, .idempotent = true}};
    return std::make_shared<const Sheet>(std::move(sheet));
}

/// Chooses an upstream and settles the attempt as answered `count` times; returns how often each host was chosen.
std::map<std::string, int>
chosenHosts(Routing &routing, TimePoint now, int count, const std::vector<std::string> &excluded = {})
{
    std::map<std::string, int> hosts;
    for (int i = 0; i < count; ++i) {
        if (const auto upstream = routing.choose(now, "desk", excluded)) {
            ++hosts[upstream->host];
            routing.settle(now, *upstream, AttemptResult::Answered, 10ms, 0);
        }
    }
    return hosts;
}

/// Fails attempts on the only host that is not among `others` until it is ejected.
void failUntilEjected(Routing &routing, TimePoint now, const std::vector<std::string> &others)
{
    for (int i = 0; i < 3; ++i) {
        const auto upstream = routing.choose(now, "desk", others);
        REQUIRE(upstream);
        routing.settle(now, *upstream, AttemptResult::Unknown, 1s, 0);
    }
}

} // namespace

TEST_CASE("Only eligible upstreams are chosen", "[routing]")
{
    Routing routing({.dataCentre = "north"});
    routing.onAnnouncement(Start, announcement("a", "north"));
    routing.onAnnouncement(Start, announcement("b", "north"));
    routing.onAnnouncement(Start, announcement("c", "south"));

    SECTION("nothing is chosen for a service without upstreams")
    {
        CHECK_FALSE(routing.choose(Start, "proofs"));
    }
    SECTION("an excluded host is not chosen")
    {
        CHECK(chosenHosts(routing, Start, 50, {"a"}) == std::map<std::string, int>{{"b", 50}});
        CHECK(chosenHosts(routing, Start, 50, {"a", "b", "c"}).empty());
    }
    SECTION("upstreams of the same data centre are preferred")
    {
        CHECK_FALSE(chosenHosts(routing, Start, 100).contains("c"));

        SECTION("until they are clearly worse")
        {
            std::vector<Upstream> open;
            open.reserve(60);
            for (int i = 0; i < 60; ++i) {
                open.push_back(*routing.choose(Start, "desk"));
            }
            CHECK(std::ranges::count(open, "c", &Upstream::host) > 0);
        }
    }
    SECTION("a drained host is not chosen")
    {
        routing.setDrainedHosts({"a"});
        CHECK_FALSE(chosenHosts(routing, Start, 50).contains("a"));

        SECTION("until the drain ends")
        {
            routing.setDrainedHosts({});
            CHECK(chosenHosts(routing, Start, 50).contains("a"));
        }
    }
    SECTION("an upstream in a data centre that is out of service is not chosen")
    {
        routing.setSheet(sheetWith({{"north", false}, {"south", true}}));
        CHECK(chosenHosts(routing, Start, 50) == std::map<std::string, int>{{"c", 50}});

        SECTION("until a sheet puts the data centre back in service")
        {
            routing.setSheet(sheetWith({{"north", true}, {"south", true}}));
            CHECK(chosenHosts(routing, Start, 50).contains("a"));
        }
    }
    SECTION("a leaving upstream is not chosen")
    {
        auto leaving = announcement("a", "north", 5);
        leaving.services[0].leaving = true;
        routing.onAnnouncement(Start, leaving);
        CHECK_FALSE(chosenHosts(routing, Start, 50).contains("a"));

        // An announcement that was delayed in transit would otherwise restore the upstream.
        SECTION("even when an older announcement arrives late")
        {
            routing.onAnnouncement(Start, announcement("a", "north", 4));
            CHECK_FALSE(chosenHosts(routing, Start, 50).contains("a"));
        }
        SECTION("even when an older announcement arrives after the host has expired")
        {
            routing.expire(Start + 3s);
            routing.onAnnouncement(Start + 3s, announcement("a", "north", 4));
            CHECK_FALSE(routing.choose(Start + 3s, "desk"));
        }
        SECTION("until its agent has restarted")
        {
            auto restarted = announcement("a", "north", 1);
            restarted.bootId = 2;
            routing.onAnnouncement(Start, restarted);
            CHECK(chosenHosts(routing, Start, 50).contains("a"));
            routing.onAnnouncement(Start, leaving);
            CHECK(chosenHosts(routing, Start, 50).contains("a"));
        }
    }
    // The request path checks the age itself, because the owner may be late with expire().
    SECTION("an upstream whose announcement is too old is not chosen")
    {
        routing.onAnnouncement(Start + 2s, announcement("b", "north", 2));
        CHECK(chosenHosts(routing, Start + 2100ms, 50) == std::map<std::string, int>{{"b", 50}});
        routing.expire(Start + 2100ms);
        CHECK(routing.list(Start + 2100ms).size() == 1);
    }
    SECTION("an upstream that is no longer announced is not chosen")
    {
        auto without = announcement("a", "north", 2);
        without.services.clear();
        routing.onAnnouncement(Start, without);
        CHECK_FALSE(chosenHosts(routing, Start, 50).contains("a"));
    }
    SECTION("services of the sheet are found")
    {
        CHECK_FALSE(routing.findService("desk"));
        routing.setSheet(sheetWith({}));
        CHECK(routing.findService("desk")->deadline == 500ms);
        CHECK_FALSE(routing.findService("proofs"));
    }
}

TEST_CASE("An upstream that fails is ejected and returns after a probe", "[routing]")
{
    Routing routing({.dataCentre = "north"});
    const auto announce = [&routing](TimePoint now, std::uint64_t sequence) {
        routing.onAnnouncement(now, announcement("a", "north", sequence));
        routing.onAnnouncement(now, announcement("b", "north", sequence));
    };
    announce(Start, 1);
    chosenHosts(routing, Start, 20);
    const auto early = routing.choose(Start, "desk", std::vector<std::string>{"b"});
    failUntilEjected(routing, Start, {"b"});
    CHECK(chosenHosts(routing, Start + 999ms, 50) == std::map<std::string, int>{{"b", 50}});

    SECTION("an answer to an attempt from before the ejection does not end the ejection")
    {
        routing.settle(Start + 500ms, *early, AttemptResult::Answered, 500ms, 0);
        CHECK_FALSE(chosenHosts(routing, Start + 500ms, 50).contains("a"));
    }
    SECTION("when all are ejected requests are still attempted")
    {
        failUntilEjected(routing, Start, {"a"});
        CHECK(routing.choose(Start, "desk"));
    }
    SECTION("a retry is not used as a probe")
    {
        CHECK_FALSE(chosenHosts(routing, Start + 1s, 50, {"x"}).contains("a"));
    }
    SECTION("after the ejection time one request is the probe")
    {
        const auto now = Start + 1s;
        std::optional<Upstream> probe;
        int toEjected = 0;
        for (int i = 0; i < 50; ++i) {
            const auto upstream = routing.choose(now, "desk");
            if (upstream->host == "a") {
                ++toEjected;
                probe = upstream;
            }
        }
        REQUIRE(toEjected == 1);
        CHECK(probe->probe);

        SECTION("an answer ends the ejection")
        {
            routing.settle(now, *probe, AttemptResult::Answered, 10ms, 0);
            CHECK(chosenHosts(routing, now, 50).contains("a"));
        }
        SECTION("a failure doubles the ejection time")
        {
            routing.settle(now, *probe, AttemptResult::Unknown, 1s, 0);
            announce(now + 1500ms, 2);
            CHECK_FALSE(chosenHosts(routing, now + 1999ms, 50).contains("a"));
            CHECK(chosenHosts(routing, now + 2s, 50).contains("a"));
        }
        SECTION("a cancelled probe leaves the next one due")
        {
            routing.settle(now, *probe, AttemptResult::Cancelled, 1ms, 0);
            CHECK(chosenHosts(routing, now, 50).contains("a"));
        }
    }
    SECTION("a restarted agent is probed at once")
    {
        auto restarted = announcement("a", "north");
        restarted.bootId = 2;
        routing.onAnnouncement(Start + 1ms, restarted);
        CHECK(chosenHosts(routing, Start + 1ms, 50).contains("a"));
    }
}

// Guards against an upstream that never answers but appears unloaded, because its attempts time out or fail at once.
TEST_CASE("A hung upstream does not attract traffic", "[routing]")
{
    const auto [result, latency] = GENERATE(std::pair<AttemptResult, Duration>{AttemptResult::Unknown, 500ms},
                                            std::pair<AttemptResult, Duration>{AttemptResult::Unknown, 0ms},
                                            std::pair<AttemptResult, Duration>{AttemptResult::NotRun, 0ms});
    const bool adaptive = GENERATE(true, false);
    Routing routing({.dataCentre = "north", .adaptivePolicy = adaptive});
    std::multimap<TimePoint, Upstream> open;
    std::uint64_t sequence = 0;
    constexpr int requests = 10000;
    int hung = 0;
    for (int i = 0; i < requests; ++i) {
        const auto now = Start + i * 1ms;
        if (i % 500 == 0) {
            ++sequence;
            for (int host = 0; host < 11; ++host) {
                routing.onAnnouncement(now, announcement("h" + std::to_string(host), "north", sequence));
            }
        }
        while (!open.empty() && open.begin()->first <= now) {
            const Upstream &upstream = open.begin()->second;
            const bool isHung = upstream.host == "h0";
            routing.settle(now, upstream, isHung ? result : AttemptResult::Answered, isHung ? latency : 20ms, 0);
            open.erase(open.begin());
        }
        const auto upstream = routing.choose(now, "desk");
        REQUIRE(upstream);
        hung += upstream->host == "h0" ? 1 : 0;
        open.insert({now + (upstream->host == "h0" ? latency : 20ms), *upstream});
    }
    if (adaptive) {
        CHECK(hung < requests / 200);
    } else {
        CHECK(hung > requests / 15);
    }
}

TEST_CASE("The baseline policy chooses all upstreams equally often", "[routing]")
{
    Routing routing({.dataCentre = "north", .adaptivePolicy = false});
    routing.onAnnouncement(Start, announcement("a", "north"));
    routing.onAnnouncement(Start, announcement("b", "south"));
    failUntilEjected(routing, Start, {"b"});
    const auto hosts = chosenHosts(routing, Start, 1000);
    CHECK(hosts.at("a") > 400);
    CHECK(hosts.at("b") > 400);
}

// Guards against requests to an upstream that was taken out of service, which a reader with an outdated snapshot could
// send, and against snapshots that are freed while a reader uses them (detected by the address sanitizer).
TEST_CASE("No upstream is chosen after it is drained or its data centre is taken out", "[routing][random]")
{
    forEachSeed(3, [](std::uint64_t seed) {
        INFO("seed " << seed);
        constexpr int hostCount = 12;
        constexpr int rounds = 150;
        const auto dataCentreOf = [](int host) { return "dc" + std::to_string(host % 3); };
        Routing routing({.dataCentre = "dc0", .seed = seed});
        std::atomic<std::uint64_t> sequence{1};
        const auto announceAll = [&] {
            for (int host = 0; host < hostCount; ++host) {
                routing.onAnnouncement(
                    Start, announcement("h" + std::to_string(host), dataCentreOf(host), sequence.fetch_add(1)));
            }
        };
        announceAll();

        // Odd while the writer may be changing something; otherwise no host in `forbidden` may be chosen.
        std::atomic<std::uint64_t> version{0};
        std::array<std::atomic<bool>, hostCount> forbidden{};
        std::atomic<bool> stop{false};
        std::atomic<int> wrong{0};
        std::atomic<int> chosen{0};
        std::vector<std::jthread> readers;
        readers.reserve(3);
        for (int reader = 0; reader < 3; ++reader) {
            readers.emplace_back([&] {
                while (!stop) {
                    const auto before = version.load();
                    std::array<bool, hostCount> expected{};
                    std::ranges::copy(forbidden, expected.begin());
                    const bool stable = before % 2 == 0 && version == before;
                    const auto upstream = routing.choose(Start, "desk");
                    if (!upstream) {
                        continue;
                    }
                    ++chosen;
                    routing.settle(Start, *upstream, AttemptResult::Answered, 1ms, 0);
                    // A host that became eligible after the check may be chosen, so only an unchanged version counts.
                    if (stable && version == before && expected.at(std::stoul(upstream->host.substr(1)))) {
                        ++wrong;
                    }
                }
            });
        }
        std::jthread announcer([&] {
            while (!stop) {
                announceAll();
            }
        });

        std::mt19937_64 engine(seed);
        for (int round = 0; round < rounds; ++round) {
            std::vector<std::string> drained;
            std::vector<DataCentreEntry> dataCentres;
            dataCentres.reserve(3);
            std::array<bool, hostCount> out{};
            for (int dataCentre = 0; dataCentre < 3; ++dataCentre) {
                dataCentres.push_back({"dc" + std::to_string(dataCentre), engine() % 3 != 0});
            }
            for (int host = 0; host < hostCount; ++host) {
                const bool isDrained = engine() % 3 == 0;
                if (isDrained) {
                    drained.push_back("h" + std::to_string(host));
                }
                out.at(host) = isDrained || !dataCentres.at(host % 3).inService;
            }
            ++version;
            routing.setDrainedHosts(drained);
            routing.setSheet(sheetWith(dataCentres));
            std::ranges::copy(out, forbidden.begin());
            ++version;
            const int target = chosen + 50;
            const bool anyLeft = std::ranges::count(out, false) > 0;
            while (anyLeft && chosen < target) {
                std::this_thread::yield();
            }
        }
        stop = true;
        readers.clear();
        announcer.join();
        CHECK(wrong == 0);
    });
}
