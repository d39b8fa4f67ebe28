#include "carobflow/control/hostagent.h"

#include "tablefake.h"

#include "carobflow/control/conversion.h"

#include <memory>
#include <optional>

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

/// An upstream that answers every call. It lists ended and unreadable entries at once, and waits for them otherwise.
class ListingUpstream final : public UpstreamLink
{
public:
    asio::awaitable<LeaseOutcome> renew(LeaseRequest request) override
    {
        ++calls;
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

    UpstreamLists lists;
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
        agent.onAnnouncement({.identity = {.id = "up", .incarnation = 1}}, 1);
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
        const Transaction configuration{.conditions = {}, .mutations = {{.key = "operators/config", .value = "1"}}};
        co_await table.transact(configuration);
        co_await operators.watchStore();
    }

    static constexpr Epoch LeaderEpoch = 3;

    asio::io_context io;
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync operators{
        {.decode = [](const auto & /*rows*/) { return std::make_shared<const Scheduling::OperatorView>(); }},
        table,
        directory,
        caller};
    ListingUpstream upstream;
    HostAgent agent{io.get_executor(), {.name = "host"}, upstream, directory, operators, caller};
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
            fixture.agent.onAnnouncement({.identity = {.id = "up", .incarnation = 1}}, 2);
            fixture.agent.onAnnouncement({.identity = {.id = "up", .incarnation = 4}}, 1);
            CHECK(fixture.start(1) == Scheduling::StartOutcome::NotAccepted);
            CHECK(fixture.start(4) == Scheduling::StartOutcome::NotAccepted);
            fixture.io.run_for(Milliseconds(300));
            CHECK(upstream.calls == calls);
        }
        SECTION("Until it announces itself")
        {
            fixture.agent.onAnnouncement({.identity = {.id = "up", .incarnation = 5}}, 1);
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

} // namespace Carobflow
