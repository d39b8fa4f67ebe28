#include "carobflow/control/hostagent.h"

#include "tablefake.h"

#include "carobflow/control/conversion.h"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

namespace
{

/// An upstream that answers every call for its id. It lists ended and unreadable entries at once, and waits for them
/// otherwise.
class ListingUpstream final : public UpstreamLink
{
public:
    asio::awaitable<LeaseOutcome> renew(LeaseRequest request) override
    {
        ++calls;
        asked.push_back(request.upstream);
        leases += request.leaseUntilMs ? 1 : 0;
        if (silent) {
            co_return UpstreamSilent{"no answer"};
        }
        if (request.upstream.id != id) {
            co_return OtherIncarnation{};
        }
        acknowledged = request.acknowledgedEnd;
        if (lists.ended.empty() && lists.unreadable.empty() && request.wait > Milliseconds(0)) {
            co_await sleepFor(request.wait);
        }
        ++lists.clockMs;
        co_return lists;
    }

    asio::awaitable<Scheduling::StartOutcome>
    start(Scheduling::StartOrder /*order*/, Epoch /*fencingToken*/, std::int64_t /*leaseUntilMs*/) override
    {
        co_return Scheduling::StartOutcome::Started;
    }

    asio::awaitable<bool>
    stop(Scheduling::UpstreamIdentity /*upstream*/, Scheduling::RunId /*run*/, Epoch /*fencingToken*/) override
    {
        ++stops;
        co_return true;
    }

    asio::awaitable<bool> pace(Scheduling::UpstreamIdentity /*upstream*/,
                               Scheduling::RunId /*run*/,
                               std::uint32_t /*percent*/,
                               Epoch /*fencingToken*/) override
    {
        co_return false;
    }

    std::string id = "up";
    UpstreamLists lists;
    bool silent = false;
    /// The identities that calls named.
    std::vector<Scheduling::UpstreamIdentity> asked;
    std::size_t leases = 0;
    std::size_t calls = 0;
    std::size_t stops = 0;
    std::uint64_t acknowledged = 0;
};

/// An agent whose upstream has announced its first incarnation, and that follows a leader which cannot be reached.
class AgentFixture
{
public:
    AgentFixture()
    {
        upstream.lists = {.incarnation = 1, .clockMs = 1000};
        asio::co_spawn(io, configure(), asio::detached);
        directory.learn(LeaderEpoch, {});
        announce({.id = "up", .incarnation = 1}, 1);
    }

    AnnouncementOutcome
    announce(Scheduling::UpstreamIdentity identity, std::uint64_t sequence, std::string service = "desk")
    {
        return agent.onAnnouncement(
            {.upstream = {.identity = std::move(identity), .service = std::move(service)}, .sequence = sequence});
    }

    void run(Milliseconds time)
    {
        io.run_for(time);
    }

    /// The service that the operators' configuration names from now on.
    void configureService(const std::string &service)
    {
        run(Milliseconds(50));
        asio::co_spawn(
            io,
            [this, service]() -> asio::awaitable<void> {
                const auto rows = co_await table.snapshot("operators/");
                const std::uint64_t version = valueOf(rows).rows.front().version;
                const Transaction change{.conditions = {{.key = "operators/config", .version = version}},
                                         .mutations = {{.key = "operators/config", .value = service}}};
                co_await table.transact(change);
            },
            asio::detached);
        run(Milliseconds(200));
    }

    /// Executes a start order and a stop order of the leader for two runs on an incarnation of the upstream.
    wire::ExecuteReply execute(std::int64_t incarnation)
    {
        wire::ExecuteRequest request;
        request.mutable_leader()->set_epoch(LeaderEpoch);
        const Scheduling::UpstreamIdentity identity{.id = "up", .incarnation = incarnation};
        *request.add_starts() = toMessage(
            Scheduling::StartOrder{.run = startedRun, .host = "host", .upstream = identity});
        *request.add_stops() = toMessage(
            Scheduling::StopOrder{.run = stoppedRun, .host = "host", .upstream = identity});
        std::optional<wire::ExecuteReply> reply;
        asio::co_spawn(
            agent.strand(),
            [&]() -> asio::awaitable<void> { reply = co_await agent.execute(std::move(request)); },
            asio::detached);
        const auto until = std::chrono::steady_clock::now() + Seconds(10);
        while (!reply && std::chrono::steady_clock::now() < until) {
            io.run_one_for(Milliseconds(100));
        }
        return reply.value();
    }

    Scheduling::StartOutcome start(std::int64_t incarnation)
    {
        return startOutcomeOf(execute(incarnation).starts(0).outcome());
    }

    Scheduling::StopOutcome stop(std::int64_t incarnation)
    {
        return stopOutcomeOf(execute(incarnation).stops(0).outcome());
    }

    asio::awaitable<void> configure()
    {
        const Transaction configuration{.conditions = {}, .mutations = {{.key = "operators/config", .value = "desk"}}};
        co_await table.transact(configuration);
        co_await operators.watchStore();
    }

    static constexpr Epoch LeaderEpoch = 3;

    asio::io_context io;
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync operators{{.decode =
                                [](const std::map<std::string, Row> &rows) {
                                    auto view = std::make_shared<Scheduling::OperatorView>();
                                    view->services.insert(rows.at("operators/config").value);
                                    return view;
                                }},
                           table,
                           directory,
                           caller};
    ListingUpstream upstream;
    std::vector<std::string> refusedFields;
    AnnouncementReport announcements{[this](std::string_view field) { refusedFields.emplace_back(field); }};
    HostAgent agent{io.get_executor(), {.name = "host"}, upstream, directory, operators, caller, announcements};
    Scheduling::RunId startedRun{.task = {.job = "started"}, .run = 1};
    Scheduling::RunId stoppedRun{.task = {.job = "stopped"}, .run = 1};
};

} // namespace

TEST_CASE("An agent sends no orders to an incarnation of its upstream that has not announced itself",
          "[hostagent][replaced]")
{
    // Guards against two runs of one task, and against starts on an upstream of another kind or size: an upstream that
    // restarts under its id executes what was meant for the previous incarnation.
    AgentFixture fixture;
    ListingUpstream &upstream = fixture.upstream;
    fixture.agent.start();
    fixture.io.run_for(Milliseconds(300));
    // No leader allows leases in this test, so an accepted order fails for want of one.
    REQUIRE(fixture.start(1) == Scheduling::StartOutcome::LeaseOver);
    REQUIRE(upstream.stops == 1);

    SECTION("From the moment when its lists show that it has been replaced")
    {
        upstream.lists = {.incarnation = 5, .clockMs = 3};
        fixture.io.run_for(Milliseconds(150));
        const std::size_t calls = upstream.calls;
        CHECK(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
        CHECK(upstream.stops == 1);

        SECTION("Whatever the previous incarnations still announce")
        {
            fixture.announce({.id = "up", .incarnation = 1}, 2);
            fixture.announce({.id = "up", .incarnation = 4}, 1);
            CHECK(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
            CHECK(fixture.start(4) == Scheduling::StartOutcome::NotAccepted);
            fixture.io.run_for(Milliseconds(300));
            CHECK(upstream.calls == calls);
        }
        SECTION("Until it announces itself")
        {
            fixture.announce({.id = "up", .incarnation = 5}, 1);
            fixture.io.run_for(Milliseconds(150));
            CHECK(upstream.calls > calls);
            CHECK(fixture.start(5) == Scheduling::StartOutcome::LeaseOver);
            CHECK(upstream.stops == 2);
        }
    }
}

TEST_CASE("An agent names stored ends only while its upstream lists them", "[hostagent][replaced]")
{
    // Guards against running a finished task again: an upstream that has restarted numbers its ends from 1, and would
    // discard ends of its own that the leader has never seen.
    AgentFixture fixture;
    ListingUpstream &upstream = fixture.upstream;
    upstream.lists.unreadable = {"[57]"};
    upstream.lists.unreadableEnd = 57;
    fixture.agent.start();
    fixture.io.run_for(Milliseconds(300));
    REQUIRE(upstream.acknowledged == 57);
    upstream.lists.unreadable.clear();
    upstream.lists.unreadableEnd = 0;
    fixture.io.run_for(Milliseconds(600));
    CHECK(upstream.acknowledged == 0);

    SECTION("Also in the call that finds a new incarnation")
    {
        upstream.lists = {.incarnation = 5, .clockMs = 3};
        fixture.io.run_for(Milliseconds(600));
        REQUIRE(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
        CHECK(upstream.acknowledged == 0);
    }
}

TEST_CASE("An agent says that a stopped run is absent only when it has seen all ended runs", "[hostagent][pages]")
{
    // Guards against running a finished task again: its end may follow when the listed ends are acknowledged.
    AgentFixture fixture;
    UpstreamLists &lists = fixture.upstream.lists;
    fixture.agent.start();
    fixture.io.run_for(Milliseconds(300));

    SECTION("It is absent when the lists are complete")
    {
        CHECK(fixture.stop(1) == Scheduling::StopOutcome::Absent);
    }
    SECTION("It is not known to be while further ends may follow")
    {
        lists.ended = {{.number = 1, .run = fixture.startedRun, .end = Scheduling::RunEnd::Done}};
        lists.moreEnds = true;
        CHECK(fixture.stop(1) == Scheduling::StopOutcome::Unanswered);

        SECTION("Until the next ends show it")
        {
            lists.ended = {{.number = 2, .run = fixture.stoppedRun, .end = Scheduling::RunEnd::Done}};
            CHECK(fixture.stop(1) == Scheduling::StopOutcome::Ending);
        }
        SECTION("Or show that there is none")
        {
            lists.ended.clear();
            lists.moreEnds = false;
            CHECK(fixture.stop(1) == Scheduling::StopOutcome::Absent);
        }
    }
}

TEST_CASE("An agent passes over entries of its upstream that cannot be used", "[hostagent][odd]")
{
    AgentFixture fixture;
    ListingUpstream &upstream = fixture.upstream;
    upstream.lists.unreadable = {"[57]"};
    upstream.lists.unreadableEnd = 57;

    SECTION("Without calling it in a busy loop")
    {
        fixture.agent.start();
        fixture.io.run_for(Milliseconds(600));
        CHECK(upstream.calls >= 3);
        CHECK(upstream.calls <= 20);
    }
    SECTION("And lets it discard an end that names no run")
    {
        fixture.agent.start();
        fixture.io.run_for(Milliseconds(400));
        CHECK(upstream.acknowledged == 57);
    }
    SECTION("But not before the ends that precede it are stored")
    {
        // Guards against an end that the upstream forgets before the leader has stored it.
        const Scheduling::TaskId task{.job = "job"};
        upstream.lists.ended = {{.number = 56, .run = {.task = task, .run = 1}, .end = Scheduling::RunEnd::Done}};
        fixture.agent.start();
        fixture.io.run_for(Milliseconds(400));
        CHECK(upstream.acknowledged == 0);
    }
}

TEST_CASE("An announcement of another program does not displace the upstream", "[hostagent][foreign]")
{
    // Guards against TWICE: an agent that takes any later announcement for a new incarnation abandons the runs of its
    // upstream, which go on while their tasks start elsewhere.
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    AgentFixture fixture;
    ListingUpstream &upstream = fixture.upstream;
    const Scheduling::UpstreamIdentity own{.id = "up", .incarnation = 1};
    const auto announceForeign = [&] {
        fixture.announce({.id = "p-77", .incarnation = 9}, 1, "print-server");
        fixture.announce({.id = "p-78", .incarnation = highest}, 1);
        fixture.announce({.id = "up", .incarnation = 7}, 1);
        fixture.announce({.id = "up", .incarnation = highest}, 1, "print-server");
    };
    const auto isUsed = [&] {
        // No leader allows leases in this test, so an accepted order fails for want of one.
        return fixture.start(1) == Scheduling::StartOutcome::LeaseOver;
    };

    const auto when = GENERATE(as<std::string_view>(),
                               "once the upstream is known",
                               "before the first one of the upstream",
                               "together with many others",
                               "while the upstream is silent");
    CAPTURE(when);
    if (when == "before the first one of the upstream") {
        announceForeign();
    }
    fixture.agent.start();
    fixture.run(Milliseconds(300));
    CHECK(isUsed());
    if (when == "once the upstream is known") {
        announceForeign();
        CHECK(isUsed());
        fixture.run(Milliseconds(300));
        CHECK(fixture.refusedFields == std::vector<std::string>{"service", "id", "incarnation", "service"});
    } else if (when == "together with many others") {
        for (int round = 0; round < 20; ++round) {
            for (int number = 0; number < 20; ++number) {
                fixture.announce({.id = "p-" + std::to_string(number), .incarnation = 9 + round}, 1);
            }
            fixture.run(Milliseconds(5));
        }
    } else if (when == "while the upstream is silent") {
        upstream.silent = true;
        announceForeign();
        fixture.run(Milliseconds(300));
        upstream.silent = false;
        fixture.run(Milliseconds(300));
    }
    CHECK(isUsed());
    CHECK(fixture.announce(own, 3) == AnnouncementOutcome::Taken);
    CHECK(fixture.announce(own, 3) == AnnouncementOutcome::Late);

    SECTION("And the calls that ask about it renew no lease and discard no end")
    {
        CHECK(upstream.leases == 0);
        CHECK(upstream.acknowledged == 0);
    }
    SECTION("And its next incarnation is used as soon as it has announced itself")
    {
        const bool hasOtherId = GENERATE(false, true);
        CAPTURE(hasOtherId);
        upstream.id = hasOtherId ? "up-2" : "up";
        upstream.lists = {.incarnation = 5, .clockMs = 3};
        fixture.run(Milliseconds(600));
        fixture.announce({.id = upstream.id, .incarnation = 5}, 1);
        fixture.run(Milliseconds(300));
        CHECK(fixture.announce({.id = upstream.id, .incarnation = 5}, 2) == AnnouncementOutcome::Taken);
        CHECK(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
    }
    SECTION("And an incarnation whose start time is earlier is used when it answers")
    {
        // Guards against a host that is lost until its agent restarts because the time of day was set back.
        upstream.id = "up-0";
        upstream.lists = {.incarnation = 0, .clockMs = 3};
        fixture.announce({.id = "up-0", .incarnation = 0}, 1);
        fixture.run(Milliseconds(600));
        CHECK(fixture.announce({.id = "up-0", .incarnation = 0}, 2) == AnnouncementOutcome::Taken);
    }
}

TEST_CASE("An upstream that many other announcements crowd out is used after its next one", "[hostagent][foreign]")
{
    // Guards against a host that is lost because another program invents more identities than an agent keeps.
    AgentFixture fixture;
    for (int number = 0; number < 20; ++number) {
        fixture.announce({.id = "p-" + std::to_string(number), .incarnation = 9}, 1);
    }
    fixture.agent.start();
    fixture.run(Milliseconds(300));
    CHECK(fixture.announce({.id = "up", .incarnation = 1}, 2) == AnnouncementOutcome::Pending);
    fixture.run(Milliseconds(300));
    CHECK(fixture.start(1) == Scheduling::StartOutcome::LeaseOver);
    CHECK(fixture.upstream.leases == 0);
}

TEST_CASE("An upstream stays in use whatever happens to the configuration of its service", "[hostagent][foreign]")
{
    // Guards against runs whose leases expire, and hosts that are lost, because of a configuration that comes late or
    // that leaves the service out for a while.
    AgentFixture fixture;
    const Scheduling::UpstreamIdentity own{.id = "up", .incarnation = 1};
    const bool isKnownBefore = GENERATE(true, false);
    CAPTURE(isKnownBefore);
    if (isKnownBefore) {
        fixture.agent.start();
        fixture.run(Milliseconds(300));
        fixture.configureService("other");
    } else {
        fixture.configureService("other");
        fixture.agent.start();
        fixture.run(Milliseconds(300));
    }
    const std::size_t calls = fixture.upstream.calls;
    CHECK(fixture.announce(own, 2) == AnnouncementOutcome::Taken);
    fixture.run(Milliseconds(900));
    CHECK(fixture.upstream.calls > calls);
    CHECK(fixture.start(1) == Scheduling::StartOutcome::LeaseOver);

    SECTION("And when the service is configured again")
    {
        fixture.configureService("desk");
        CHECK(fixture.announce(own, 3) == AnnouncementOutcome::Taken);
        SECTION("An announcement of another service under its identity is refused")
        {
            CHECK(fixture.announce(own, 900, "print-server") == AnnouncementOutcome::Refused);
            CHECK(fixture.refusedFields == std::vector<std::string>{"service"});
            CHECK(fixture.announce(own, 4) == AnnouncementOutcome::Taken);
        }
    }
}

TEST_CASE("An announcement of a configured service corrects one of another service", "[hostagent][foreign]")
{
    // Guards against an upstream whose own announcements are late for ever after one that another program sent first.
    AgentFixture fixture;
    const Scheduling::UpstreamIdentity own{.id = "up", .incarnation = 1};
    fixture.announce(own, 900, "print-server");
    fixture.agent.start();
    fixture.run(Milliseconds(300));
    CHECK(fixture.announce(own, 2) == AnnouncementOutcome::Taken);
    CHECK(fixture.announce(own, 901, "print-server") == AnnouncementOutcome::Refused);
    CHECK(fixture.announce(own, 3) == AnnouncementOutcome::Taken);
}

TEST_CASE("A notice of leaving does not stop runs", "[hostagent][foreign]")
{
    // Guards against long-running tasks that are stopped on a sound upstream because another program says that it
    // leaves: the leader stops them where an upstream drains.
    AgentFixture fixture;
    const Scheduling::UpstreamIdentity own{.id = "up", .incarnation = 1};
    fixture.agent.start();
    fixture.run(Milliseconds(300));

    SECTION("One of another id changes nothing")
    {
        fixture.agent.onLeave("p-77");
        CHECK(fixture.start(1) == Scheduling::StartOutcome::LeaseOver);
    }
    SECTION("One of its own id keeps starts away until it announces itself again")
    {
        fixture.agent.onLeave("up");
        CHECK(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
        CHECK_FALSE(fixture.agent.report().upstream->draining);
        CHECK(fixture.announce(own, 2) == AnnouncementOutcome::Taken);
        CHECK(fixture.start(1) == Scheduling::StartOutcome::LeaseOver);
    }
    SECTION("An upstream that has announced that it drains stays so")
    {
        fixture.agent.onAnnouncement(
            {.upstream = {.identity = own, .service = "desk", .draining = true}, .sequence = 2});
        fixture.agent.onLeave("up");
        CHECK(fixture.agent.report().upstream->draining);
        CHECK(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
    }
}

} // namespace Carobflow
