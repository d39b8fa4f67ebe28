#include "carobflow/control/election.h"

#include "tablefake.h"

#include "carobflow/control/storelayout.h"

#include <limits>
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

const std::string Garbage = "\xff\xff\xff\xff\x01";

std::string headValue(Epoch epoch)
{
    wire::LedgerHead head;
    head.set_epoch(epoch);
    return head.SerializeAsString();
}

std::string leaderValue(Epoch epoch)
{
    wire::Leadership leadership;
    leadership.set_epoch(epoch);
    leadership.set_address("127.0.0.1:1");
    return leadership.SerializeAsString();
}

struct LeadershipFixture {
    void put(std::string_view key, const std::string &value)
    {
        std::optional<TransactOutcome> outcome;
        Transaction transaction;
        transaction.mutations.push_back({.key = std::string(key), .value = value});
        asio::co_spawn(
            io, [&]() -> asio::awaitable<void> { outcome = co_await table.transact(transaction); }, asio::detached);
        while (!outcome) {
            io.restart();
            io.run_for(Milliseconds(1));
        }
    }

    /// The epoch with which a process takes over; empty when it fails.
    std::optional<Epoch> takeOver(Epoch lastKnown)
    {
        Ledger ledger({.name = "host", .address = "127.0.0.1:2", .isDeposed = [](Epoch) { return false; }}, table);
        std::optional<Status> taken;
        asio::co_spawn(
            io, [&]() -> asio::awaitable<void> { taken = co_await ledger.takeOver(lastKnown); }, asio::detached);
        while (!taken) {
            io.restart();
            io.run_for(Milliseconds(1));
        }
        return isOk(*taken) ? std::optional(ledger.epoch()) : std::nullopt;
    }

    asio::io_context io;
    TableFake table;
};

} // namespace

// Guards against a system without a leader until somebody repairs one row.
TEST_CASE("A process takes over whatever another writer left in the rows of leadership", "[ledger][odd]")
{
    LeadershipFixture fixture;

    SECTION("When the head cannot be read")
    {
        const std::string head = GENERATE(as<std::string>{}, Garbage, "", headValue(0), headValue(1ULL << 60U));
        fixture.put(StoreLayout::LedgerHeadKey, head);
        fixture.put(StoreLayout::LeaderKey, leaderValue(7));
        CHECK(fixture.takeOver(5) == 8);
        CHECK(fixture.takeOver(8) == 9);
    }
    SECTION("When neither row can be read")
    {
        fixture.put(StoreLayout::LedgerHeadKey, Garbage);
        fixture.put(StoreLayout::LeaderKey, Garbage);
        CHECK(fixture.takeOver(5) == 6);
    }
    SECTION("When a row or a message named an epoch that no leader has had")
    {
        fixture.put(StoreLayout::LedgerHeadKey, headValue(3));
        CHECK(fixture.takeOver(1'000'000) == 1'000'001);
    }
    SECTION("But not while a newer leader is known to the store only")
    {
        fixture.put(StoreLayout::LedgerHeadKey, headValue(3));
        CHECK_FALSE(fixture.takeOver(2));
        CHECK(fixture.takeOver(3) == 4);
    }
}

// Guards against an epoch that no later leader can exceed.
TEST_CASE("An epoch beyond the range of fencing tokens is not learned", "[leaderdirectory][odd]")
{
    LeaderDirectory directory;
    directory.learn(4, "127.0.0.1:1");
    CHECK_FALSE(directory.learn(std::numeric_limits<Epoch>::max(), "127.0.0.1:2"));
    CHECK(directory.current().epoch == 4);
}

// Guards against a change of leader for each damaged copy of the leader's row.
TEST_CASE("An unreadable row of the leader is no vacancy", "[election][odd]")
{
    const std::string value = GENERATE(as<std::string>{}, Garbage, "", leaderValue(0));
    LeadershipFixture fixture;
    fixture.put("operators/config", "1");
    fixture.put(StoreLayout::LedgerHeadKey, headValue(3));
    fixture.put(StoreLayout::LeaderKey, value);
    LeaderDirectory directory;
    directory.learn(3, "127.0.0.1:1");
    ChannelPool channels;
    ControlCaller caller(channels);
    OperatorSync operators({.decode =
                                [](const auto & /*rows*/) {
                                    auto view = std::make_shared<Scheduling::OperatorView>();
                                    view->configurationVersion = 1;
                                    return view;
                                }},
                           fixture.table,
                           directory,
                           caller);
    Election election(fixture.io.get_executor(),
                      {.isCandidate = true,
                       .ledger = {.name = "host", .address = "127.0.0.1:2", .isDeposed = [](Epoch) { return false; }}},
                      fixture.table,
                      directory,
                      operators,
                      caller);
    fixture.io.restart();
    asio::co_spawn(fixture.io, operators.watchStore(), asio::detached);
    election.start();

    fixture.io.run_for(Milliseconds(1200));
    CHECK_FALSE(election.term());
    fixture.io.run_for(Milliseconds(2300));
    REQUIRE(election.term());
    CHECK(directory.current().epoch == 4);
}

} // namespace Carobflow
