#include "carobflow/control/operatorsync.h"

#include "tablefake.h"

#include "carobflow/control/storelayout.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace Carobflow
{

namespace asio = boost::asio;

namespace
{

/// Reads a configuration whose value is its version.
std::shared_ptr<const Scheduling::OperatorView> decode(const std::map<std::string, Row> &rows)
{
    const auto row = rows.find("operators/config");
    if (row == rows.end()) {
        return nullptr;
    }
    auto view = std::make_shared<Scheduling::OperatorView>();
    view->configurationVersion = std::stoull(row->second.value);
    return view;
}

class OperatorSyncFixture
{
public:
    OperatorSyncFixture()
        : sync({.decode = decode, .wait = Milliseconds(20)}, table, directory, caller)
    {
        writeConfiguration(1);
        asio::co_spawn(m_io, sync.watchStore(), asio::detached);
        REQUIRE(runUntil([this] { return version() == 1; }));
    }

    void writeConfiguration(int version)
    {
        asio::co_spawn(
            m_io,
            [this, version]() -> asio::awaitable<void> {
                const Transaction transaction{
                    .conditions = {}, .mutations = {{.key = "operators/config", .value = std::to_string(version)}}};
                co_await table.transact(transaction);
            },
            asio::detached);
    }

    /// Runs for a time, or until a condition holds; returns whether it held.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(2000))
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            m_io.run_for(Milliseconds(2));
        }
        return condition();
    }

    [[nodiscard]] std::uint64_t version() const
    {
        const auto view = sync.current();
        return view ? view->configurationVersion : 0;
    }

private:
    asio::io_context m_io;

public:
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync sync;
};

} // namespace

TEST_CASE("A change that a reply of the store has left out is found later", "[control][configuration]")
{
    OperatorSyncFixture system;
    system.table.hidesChanges = true;
    system.writeConfiguration(2);
    REQUIRE(system.runUntil([&] { return system.table.valueOf("operators/config") == "2"; }));
    system.runUntil([] { return false; }, Milliseconds(100));
    REQUIRE(system.version() == 1);

    SECTION("When the store reports it after all")
    {
        // Guards against a position that a reply without rows has moved past a change.
        system.table.hidesChanges = false;
        CHECK(system.runUntil([&] { return system.version() == 2; }));
    }
    SECTION("When the store has dropped its history meanwhile")
    {
        system.table.hidesChanges = false;
        system.table.forgetHistory();
        CHECK(system.runUntil([&] { return system.version() == 2; }));
    }
}

} // namespace Carobflow
