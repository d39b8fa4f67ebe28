#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/shardcountcheck.h"

#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

/// A table with one row that can be unavailable, lose the reply of a write, or let another process write first.
class FakeTable final : public TableService
{
public:
    boost::asio::awaitable<Result<std::vector<Row>>> read(std::span<const std::string> keys) override
    {
        if (failingReads > 0) {
            --failingReads;
            co_return Error{ErrorKind::Unavailable, "down"};
        }
        std::vector<Row> found;
        if (value && keys.front() == "cluster/shards") {
            found.push_back({.key = keys.front(), .value = *value, .version = 1});
        }
        co_return found;
    }

    boost::asio::awaitable<Result<std::vector<Row>>>
    readRange(std::string_view /*prefix*/, std::string_view /*after*/, std::size_t /*limit*/) override
    {
        co_return std::vector<Row>();
    }

    boost::asio::awaitable<TransactOutcome> transact(const Transaction &transaction) override
    {
        ++writes;
        if (writtenFirst) {
            value = writtenFirst;
        }
        const bool conditional = transaction.conditions.size() == 1
            && transaction.conditions.front().key == "cluster/shards" && transaction.conditions.front().version == 0;
        if (!conditional || value) {
            co_return Conflict{"cluster/shards"};
        }
        value = transaction.mutations.front().value;
        if (losesReply) {
            co_return ReplyLost{"test"};
        }
        co_return Committed{1};
    }

    std::optional<std::string> value;
    std::optional<std::string> writtenFirst;
    int failingReads = 0;
    int writes = 0;
    bool losesReply = false;
};

struct Fixture {
    FakeTable table;
    ShardCountCheck check{{.shards = 3,
                           .settingsPath = "agent.ini",
                           .firstRetry = Milliseconds(1),
                           .lastRetry = Milliseconds(2),
                           .refusedRetry = Milliseconds(1)},
                          table};
    boost::asio::io_context io;

    Status verify()
    {
        return verifyBy(check);
    }

    Status verifyBy(ShardCountCheck &instance)
    {
        Status result;
        boost::asio::co_spawn(io, instance.verify(), [&result](const std::exception_ptr & /*failure*/, Status status) {
            result = std::move(status);
        });
        io.restart();
        io.run();
        return result;
    }
};

} // namespace

// Guards against processes that hash jobs and hosts by different numbers of shards.
TEST_CASE_METHOD(Fixture, "The table decides on the number of shards", "[shardcount]")
{
    CHECK_FALSE(check.isVerified());

    SECTION("the first process writes its number and later ones read it")
    {
        CHECK(isOk(verify()));
        CHECK(check.isVerified());
        ShardCountCheck other({.shards = 2, .settingsPath = "other.ini"}, table);
        const Status refused = verifyBy(other);
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).kind == ErrorKind::InvalidArgument);
        CHECK(isOk(verify()));
        CHECK(table.writes == 1);
    }
    SECTION("another number is refused with file, section, key, both values and the remedy")
    {
        table.value = R"({"shards":5,"token":"t"})";
        const Status refused = verify();
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).kind == ErrorKind::InvalidArgument);
        const std::string &message = errorOf(refused).message;
        CHECK(message.starts_with("agent.ini: [process] shards: '3' is not the number of this system; expected 5"));
        CHECK(message.find("write 'shards = 5' and restart") != std::string::npos);
        CHECK_FALSE(check.isVerified());
        CHECK(table.writes == 0);
    }
    SECTION("of two processes that start together the one that wrote first decides")
    {
        table.writtenFirst = R"({"shards":4,"token":"t"})";
        const Status refused = verify();
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).kind == ErrorKind::InvalidArgument);
    }
    SECTION("a lost reply of the write is settled by reading the row")
    {
        table.losesReply = true;
        CHECK(isOk(verify()));
    }
    SECTION("a row that cannot be read is refused and not replaced")
    {
        table.value = GENERATE("", "{", "[]", R"({"shards":"3"})", R"({"shards":0})");
        const Status refused = verify();
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).kind == ErrorKind::Internal);
        CHECK(table.writes == 0);
    }
    SECTION("while the table is down nothing is verified, and the wait ends when it is back")
    {
        table.failingReads = 1;
        const Status unknown = verify();
        REQUIRE_FALSE(isOk(unknown));
        CHECK(errorOf(unknown).kind == ErrorKind::Unavailable);
        CHECK_FALSE(check.isVerified());
        CHECK(table.writes == 0);

        table.failingReads = 4;
        boost::asio::co_spawn(io, check.waitUntilVerified(), boost::asio::detached);
        io.restart();
        io.run();
        CHECK(check.isVerified());
    }
    SECTION("the wait also ends when the row is corrected")
    {
        table.value = R"({"shards":5,"token":"t"})";
        boost::asio::co_spawn(io, check.waitUntilVerified(), boost::asio::detached);
        io.restart();
        io.run_for(Milliseconds(20));
        CHECK_FALSE(check.isVerified());
        table.value = R"({"shards":3,"token":"t"})";
        io.run();
        CHECK(check.isVerified());
    }
}
