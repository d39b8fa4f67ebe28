#include "connectorfixture.h"

#include "carobflow/connectors/httptableservice.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

struct TableFixture : ConnectorFixture {
    StandIn::PlatformStandIn platform{io, {}};
    HttpTableService table = serviceAt(platform.port());

    HttpTableService serviceAt(std::uint16_t port, Milliseconds timeout = Seconds(5))
    {
        return {client, {.endpoint = {.host = "127.0.0.1", .port = port}, .timeout = timeout}};
    }

    /// Creates a row on condition that it is absent.
    TransactOutcome create(HttpTableService &service, const std::string &key, const std::string &value)
    {
        const Transaction transaction{.conditions = {{.key = key}}, .mutations = {{.key = key, .value = value}}};
        return run(service.transact(transaction));
    }

    std::vector<Row> rows(const std::vector<std::string> &keys)
    {
        return takeValue(run(table.read(keys)));
    }
};

} // namespace

TEST_CASE_METHOD(TableFixture, "Transactions are atomic", "[table]")
{
    const auto outcome = create(table, "a/1", "Hợp \"Tác\" Xã\n");
    REQUIRE(std::holds_alternative<Committed>(outcome));
    const auto version = std::get<Committed>(outcome).version;

    SECTION("a read returns the rows that exist with their versions")
    {
        const auto found = rows({"a/1", "a/2"});
        REQUIRE(found.size() == 1);
        CHECK(found[0].value == "Hợp \"Tác\" Xã\n");
        CHECK(found[0].version == version);
    }
    SECTION("a failed condition names its row and changes nothing")
    {
        const Transaction transaction{.conditions = {{.key = "a/1", .version = version + 1}},
                                      .mutations = {{.key = "a/2", .value = "x"}, {.key = "a/1", .value = {}}}};
        const auto conflict = run(table.transact(transaction));
        REQUIRE(std::holds_alternative<Conflict>(conflict));
        CHECK(std::get<Conflict>(conflict).key == "a/1");
        CHECK(rows({"a/1", "a/2"}).size() == 1);
    }
    SECTION("versions grow and a delete removes the row")
    {
        const Transaction transaction{.conditions = {{.key = "a/1", .version = version}},
                                      .mutations = {{.key = "a/2", .value = "x"}, {.key = "a/1", .value = {}}}};
        const auto second = run(table.transact(transaction));
        REQUIRE(std::holds_alternative<Committed>(second));
        CHECK(std::get<Committed>(second).version > version);
        const auto found = rows({"a/1", "a/2"});
        REQUIRE(found.size() == 1);
        CHECK(found[0].key == "a/2");
    }
    SECTION("ranges are bounded by prefix, start and limit")
    {
        for (const auto *key : {"a/2", "a/3", "b/1"}) {
            create(table, key, "x");
        }
        const auto all = takeValue(run(table.readRange("a/", "", 10)));
        CHECK(all.size() == 3);
        const auto page = takeValue(run(table.readRange("a/", "a/1", 1)));
        REQUIRE(page.size() == 1);
        CHECK(page[0].key == "a/2");
    }
}

// Guards against a lost reply that is taken for "not applied": the caller would then write twice.
TEST_CASE_METHOD(TableFixture, "A lost reply is distinguished from an outage", "[table]")
{
    SECTION("the reply of a committed transaction is dropped")
    {
        control(platform.controlPort(), R"({"dropReplies":1})");
        CHECK(std::holds_alternative<ReplyLost>(create(table, "a", "token")));
        CHECK(rows({"a"}).size() == 1);
        CHECK(std::holds_alternative<Committed>(create(table, "b", "token")));
    }
    SECTION("the proxy drops the reply")
    {
        StandIn::ProxyStandIn proxy(io, {});
        auto distant = serviceAt(proxy.addRoute("a", 0, "127.0.0.1:" + std::to_string(platform.port())));
        proxy.setMode("a", "drop-replies", Milliseconds(0));
        CHECK(std::holds_alternative<ReplyLost>(create(distant, "a", "token")));
        CHECK(rows({"a"}).size() == 1);
    }
    SECTION("the table responds after the timeout")
    {
        auto hasty = serviceAt(platform.port(), Milliseconds(50));
        control(platform.controlPort(), R"({"mode":"slow","delayMs":400})");
        CHECK(std::holds_alternative<ReplyLost>(create(hasty, "a", "token")));
        const std::vector<std::string> keys{"a"};
        CHECK(errorOf(run(hasty.read(keys))).kind == ErrorKind::Timeout);
        control(platform.controlPort(), R"({"mode":"up"})");
        runUntil([&] { return rows({"a"}).size() == 1; });
    }
    SECTION("the response is truncated or invalid")
    {
        StandIn::ServerReply reply{.body = R"({"version":7})"};
        StandIn::HttpServer server(
            io, [&](const auto &) -> boost::asio::awaitable<StandIn::ServerReply> { co_return reply; });
        auto broken = serviceAt(server.listen("127.0.0.1", 0));
        CHECK(std::holds_alternative<Committed>(create(broken, "a", "token")));
        reply.delivery = StandIn::Delivery::Truncated;
        CHECK(std::holds_alternative<ReplyLost>(create(broken, "a", "token")));
        for (const auto *body : {"", "[]", "{", R"({"version":"x"})", R"({"version":-1})"}) {
            CAPTURE(body);
            reply = {.body = body};
            CHECK(std::holds_alternative<ReplyLost>(create(broken, "a", "token")));
            const std::vector<std::string> keys{"a"};
            CHECK(errorOf(run(broken.read(keys))).kind == ErrorKind::Unavailable);
        }
        reply = {.status = 500};
        CHECK(std::holds_alternative<ReplyLost>(create(broken, "a", "token")));
    }
}

TEST_CASE_METHOD(TableFixture, "An outage without effect is TableUnavailable", "[table]")
{
    const std::vector<std::string> keys{"a"};

    SECTION("the table responds with status 503")
    {
        control(platform.controlPort(), R"({"mode":"down","downReply":"503"})");
        CHECK(std::holds_alternative<TableUnavailable>(create(table, "a", "x")));
        CHECK(errorOf(run(table.read(keys))).kind == ErrorKind::Unavailable);
        control(platform.controlPort(), R"({"mode":"up"})");
        CHECK(rows({"a"}).empty());
    }
    SECTION("the table closes connections, so the outcome is unknown")
    {
        control(platform.controlPort(), R"({"mode":"down","downReply":"close"})");
        CHECK(std::holds_alternative<ReplyLost>(create(table, "a", "x")));
        CHECK(errorOf(run(table.read(keys))).kind == ErrorKind::Unavailable);
    }
    SECTION("connections are refused")
    {
        StandIn::ProxyStandIn proxy(io, {});
        auto distant = serviceAt(proxy.addRoute("a", 0, "127.0.0.1:" + std::to_string(platform.port())));
        proxy.setMode("*", "cut", Milliseconds(0));
        CHECK(std::holds_alternative<TableUnavailable>(create(distant, "a", "x")));
        CHECK(errorOf(run(distant.read(keys))).kind == ErrorKind::Unavailable);
    }
}

TEST_CASE_METHOD(TableFixture, "The platform stand-in counts writes, reads and conflicts", "[table][standins]")
{
    create(table, "a", "x");
    create(table, "a", "x");
    rows({"a"});
    const auto stats = get(platform.controlPort(), "/control/stats");
    CHECK(stats.at("writes") == 2);
    CHECK(stats.at("reads") == 1);
    CHECK(stats.at("conflicts") == 1);
    CHECK_FALSE(stats.at("perSecond").as_array().empty());
}
