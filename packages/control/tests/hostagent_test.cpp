#include "carobflow/control/hostagent.h"

#include "tablefake.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace Carobflow
{

namespace asio = boost::asio;

namespace
{

/// An upstream that answers every call for its lists at once, as it does while an ended run is not acknowledged.
class ListingUpstream final : public UpstreamLink
{
public:
    asio::awaitable<LeaseOutcome> renew(LeaseRequest request) override
    {
        ++calls;
        acknowledged = request.acknowledgedEnd;
        ++lists.clockMs;
        co_return lists;
    }

    asio::awaitable<Scheduling::StartOutcome>
    start(Scheduling::StartOrder /*order*/, Epoch /*fencingToken*/, std::int64_t /*leaseUntilMs*/) override
    {
        co_return Scheduling::StartOutcome::Unhealthy;
    }

    asio::awaitable<bool>
    stop(Scheduling::UpstreamIdentity /*upstream*/, Scheduling::RunId /*run*/, Epoch /*fencingToken*/) override
    {
        co_return false;
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
    std::uint64_t acknowledged = 0;
};

} // namespace

TEST_CASE("An agent passes over entries of its upstream that cannot be used", "[hostagent][odd]")
{
    asio::io_context io;
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller(channels);
    OperatorSync operators({.decode = [](const auto & /*rows*/) { return nullptr; }}, table, directory, caller);
    ListingUpstream upstream;
    upstream.lists = {.incarnation = 1, .clockMs = 1000, .unreadable = {"[57]"}, .unreadableEnd = 57};
    HostAgent agent(io.get_executor(), {.name = "host"}, upstream, directory, operators, caller);
    directory.learn(3, {});
    agent.onAnnouncement({.identity = {.id = "up", .incarnation = 1}}, 1);

    SECTION("Without calling it in a busy loop")
    {
        agent.start();
        io.run_for(Milliseconds(600));
        CHECK(upstream.calls >= 3);
        CHECK(upstream.calls <= 20);
    }
    SECTION("And lets it discard an end that names no run")
    {
        agent.start();
        io.run_for(Milliseconds(400));
        CHECK(upstream.acknowledged == 57);
    }
    SECTION("But not before the ends that precede it are stored")
    {
        // Guards against an end that the upstream forgets before the leader has stored it.
        const Scheduling::TaskId task{.job = "job"};
        upstream.lists.ended = {{.number = 56, .run = {.task = task, .run = 1}, .end = Scheduling::RunEnd::Done}};
        agent.start();
        io.run_for(Milliseconds(400));
        CHECK(upstream.acknowledged == 0);
    }
}

} // namespace Carobflow
