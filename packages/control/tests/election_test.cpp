#include "carobflow/control/election.h"

#include "tablefake.h"

#include "carobflow/control/storelayout.h"

#include <memory>
#include <string>

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

/// A process that may lead, with its own view of who leads.
class Candidate
{
public:
    Candidate(asio::io_context &io, TableFake &table, const std::string &name)
        : m_operators({.decode =
                           [](const auto & /*rows*/) {
                               auto view = std::make_shared<Scheduling::OperatorView>();
                               view->configurationVersion = 1;
                               return view;
                           }},
                      table,
                      directory,
                      m_caller)
        , election(io.get_executor(),
                   {.isCandidate = true,
                    .ledger = {.name = name, .address = name, .isDeposed = [](Epoch) { return false; }}},
                   table,
                   directory,
                   m_operators,
                   m_caller)
    {
        asio::co_spawn(io, m_operators.watchStore(), asio::detached);
        election.start();
    }

    LeaderDirectory directory;

private:
    ChannelPool m_channels;
    ControlCaller m_caller{m_channels};
    OperatorSync m_operators;

public:
    Election election;
};

} // namespace

TEST_CASE("A leader without contact to most hosts is followed by a process that does not hear it", "[election]")
{
    // Guards against a series of leaders that are all cut off from most hosts, while leases there end.
    constexpr Epoch formerEpoch = 3;
    asio::io_context io;
    TableFake table;
    const auto write = [&](bool lostContact) {
        wire::Leadership leadership;
        leadership.set_epoch(formerEpoch);
        leadership.set_lost_contact(lostContact);
        wire::LedgerHead head;
        head.set_epoch(formerEpoch);
        const Transaction rows{
            .conditions = {},
            .mutations = {{.key = "operators/config", .value = "1"},
                          {.key = std::string(StoreLayout::LedgerHeadKey), .value = head.SerializeAsString()},
                          {.key = std::string(StoreLayout::LeaderKey), .value = leadership.SerializeAsString()}}};
        asio::co_spawn(
            io, [&table, rows]() -> asio::awaitable<void> { co_await table.transact(rows); }, asio::detached);
        io.run_for(Milliseconds(10));
        io.restart();
    };
    // Names spread the attempts of candidates, so in one of the two cases the process that hears it would be first.
    const bool isSwapped = GENERATE(false, true);
    const std::string name = isSwapped ? "127.0.0.1:2" : "127.0.0.1:1";
    const std::string otherName = isSwapped ? "127.0.0.1:1" : "127.0.0.1:2";

    SECTION("While a process that hears it leaves the leadership to others")
    {
        write(true);
        Candidate cutOff(io, table, name);
        cutOff.directory.noteAnswer(formerEpoch, suspendAwareNow());
        Candidate connected(io, table, otherName);
        io.run_for(Milliseconds(700));
        CHECK_FALSE(cutOff.election.term());
        CHECK(connected.election.term());
    }
    SECTION("By one that hears it when there is no other")
    {
        write(true);
        Candidate cutOff(io, table, name);
        cutOff.directory.noteAnswer(formerEpoch, suspendAwareNow());
        io.run_for(Milliseconds(2000));
        CHECK(cutOff.election.term());
    }
    SECTION("And one that has resigned for another reason by any process, at once")
    {
        write(false);
        Candidate candidate(io, table, name);
        candidate.directory.noteAnswer(formerEpoch, suspendAwareNow());
        io.run_for(Milliseconds(700));
        CHECK(candidate.election.term());
    }
}

} // namespace Carobflow
