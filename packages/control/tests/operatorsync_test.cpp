#include "carobflow/control/operatorsync.h"

#include "tablefake.h"

#include "carobflow/daemon/internal/grpclistener.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <control.grpc.pb.h>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

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

/// A process that answers peers with prepared rows.
class Peer final : public wire::PeerService::CallbackService
{
public:
    Peer()
    {
        const auto port = m_listener.reserve();
        REQUIRE(isOk(port));
        REQUIRE(isOk(m_listener.start({this})));
        address = "127.0.0.1:" + std::to_string(valueOf(port));
    }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context,
                                       const wire::ExchangeRequest * /*request*/,
                                       wire::ExchangeReply *reply) override
    {
        *reply = known;
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    /// Lets the peer know a configuration that it read `age` ago.
    void setConfiguration(int version, std::uint64_t rowVersion, Milliseconds age)
    {
        known.Clear();
        known.set_operator_version(rowVersion);
        wire::OperatorRow &row = *known.add_rows();
        row.set_key("operators/config");
        row.set_value(std::to_string(version));
        row.set_version(rowVersion);
        known.set_newest_row_version(rowVersion);
        known.set_row_count(1);
        known.set_age_ms(age.count());
    }

    wire::ExchangeReply known;
    std::string address;

private:
    GrpcListener m_listener{{.address = "127.0.0.1"}};
};

class OperatorSyncFixture
{
public:
    OperatorSyncFixture()
        : sync({.decode = decode, .wait = Milliseconds(20)}, table, directory, caller)
    {
        writeConfiguration(1);
        asio::co_spawn(m_io, sync.watchStore(), asio::detached);
        asio::co_spawn(m_io, sync.pollPeers(), asio::detached);
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

TEST_CASE("A process that the store refuses learns of a change from its peers", "[control][configuration]")
{
    OperatorSyncFixture system;
    std::array<Peer, 4> peers;
    std::vector<std::string> addresses;
    for (Peer &peer : peers) {
        // Peers that the store refuses as well know nothing newer.
        peer.setConfiguration(1, system.table.versionOf("operators/config"), Seconds(60));
        addresses.push_back(peer.address);
    }
    system.directory.setPeers(addresses);
    system.table.refusesChanges = true;

    SECTION("Within a second, when one of four peers has it")
    {
        // Guards against a process that waits 1.8 s before it asks, and then asks one peer in each interval.
        peers[3].setConfiguration(2, 1000, Milliseconds(10));
        CHECK(system.runUntil([&] { return system.version() == 2; }, Milliseconds(1000)));
    }
    SECTION("Which confirm that its configuration is the newest")
    {
        for (Peer &peer : peers) {
            peer.known.set_age_ms(10);
        }
        system.runUntil([] { return false; }, Milliseconds(2500));
        CHECK(system.sync.isConfirmed());
    }
    SECTION("Which do not confirm it when they have not heard of the store either")
    {
        system.runUntil([] { return false; }, Milliseconds(2500));
        CHECK_FALSE(system.sync.isConfirmed());
    }
}

} // namespace Carobflow
