#include "carobflow/core/chargeflow.h"
#include "carobflow/core/internal/chargerow.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

ChargeFlow::Options callWith(std::string token, std::string digest = "digest")
{
    return {.service = "desk", .key = "k", .requestDigest = std::move(digest), .token = std::move(token)};
}

const UpstreamAnswer Paid{.status = 201, .headers = {{"Content-Type", "text/plain"}}, .body = "paid \xff\x01"};

std::vector<Row> rowWith(ChargeRow::State state, std::string token, std::uint64_t version)
{
    const ChargeRow row{.state = state, .token = std::move(token), .digest = "digest", .answer = Paid};
    return {{.key = "charge/desk/k", .value = encodeChargeRow(row), .version = version}};
}

template<typename T>
T as(const ChargeFlow::Step &step)
{
    REQUIRE(std::holds_alternative<T>(step));
    return std::get<T>(step);
}

/// The state that a step writes into the row ("deleted" for a deletion), and the version that it is conditional on.
std::pair<std::string, std::uint64_t> writeOf(const ChargeFlow::Step &step)
{
    const Transaction transaction = as<ChargeFlow::TransactStep>(step).transaction;
    REQUIRE(transaction.conditions.size() == 1);
    REQUIRE(transaction.mutations.size() == 1);
    CHECK(transaction.conditions[0].key == "charge/desk/k");
    CHECK(transaction.mutations[0].key == "charge/desk/k");
    const std::optional<std::string> value = transaction.mutations[0].value;
    std::string state = "deleted";
    if (value) {
        const std::optional<ChargeRow> row = decodeChargeRow(*value);
        REQUIRE(row);
        state = row->state == ChargeRow::State::Pending ? "pending"
            : row->state == ChargeRow::State::Done      ? "done"
                                                        : "released";
    }
    return {state, transaction.conditions[0].version};
}

using Write = std::pair<std::string, std::uint64_t>;

template<typename T>
T replyOf(const ChargeFlow::Step &step, bool more)
{
    const auto reply = as<ChargeFlow::ReplyStep>(step);
    CHECK(reply.more == more);
    REQUIRE(std::holds_alternative<T>(reply.reply));
    return std::get<T>(reply.reply);
}

bool isAttempt(const ChargeFlow::Step &step)
{
    return std::holds_alternative<ChargeFlow::AttemptStep>(step);
}

bool isDone(const ChargeFlow::Step &step)
{
    return std::holds_alternative<ChargeFlow::DoneStep>(step);
}

const std::vector<Row> Absent;

} // namespace

// Guards against a stored result that differs from the original answer, for example in a binary body.
TEST_CASE("A charge row keeps every byte of the answer", "[chargeflow]")
{
    const ChargeRow row{.state = ChargeRow::State::Done, .token = "t", .digest = "d", .answer = Paid};
    const std::optional<ChargeRow> copy = decodeChargeRow(encodeChargeRow(row));
    REQUIRE(copy);
    CHECK(copy->answer.status == 201);
    CHECK(copy->answer.headers == Paid.headers);
    CHECK(copy->answer.body == Paid.body);
    CHECK_FALSE(decodeChargeRow("{\"state\":\"other\"}"));
    CHECK_FALSE(decodeChargeRow("no JSON"));
}

// Guards against a request that is sent without a row, and against a row that blocks its key or releases it wrongly.
TEST_CASE("A charge whose row was created is attempted once", "[chargeflow]")
{
    ChargeFlow flow(callWith("mine"));
    CHECK(writeOf(flow.next()) == Write{"pending", 0});
    REQUIRE(isAttempt(flow.onTransact(Committed{7})));

    SECTION("an answer is stored before the caller gets it")
    {
        CHECK(writeOf(flow.onAttempt(Paid)) == Write{"done", 7});
        SECTION("immediately")
        {
            CHECK(replyOf<UpstreamAnswer>(flow.onTransact(Committed{8}), false).body == Paid.body);
            CHECK_FALSE(flow.onDeadline());
        }
        SECTION("after an outage")
        {
            CHECK(writeOf(flow.onTransact(TableUnavailable{})) == Write{"done", 7});
            CHECK(flow.shouldBackOff());
            as<ChargeFlow::ReadRowStep>(flow.onTransact(ReplyLost{}));
            as<ChargeFlow::ReadRowStep>(flow.onRow(Error{}));
            CHECK(writeOf(flow.onRow(rowWith(ChargeRow::State::Pending, "mine", 7))) == Write{"done", 7});
            as<ChargeFlow::ReadRowStep>(flow.onTransact(Conflict{}));
            replyOf<UpstreamAnswer>(flow.onRow(rowWith(ChargeRow::State::Done, "mine", 9)), false);
        }
        SECTION("in the background when the deadline comes first")
        {
            const std::optional<ChargeReply> reply = flow.onDeadline();
            REQUIRE(reply);
            CHECK(std::holds_alternative<UpstreamAnswer>(*reply));
            CHECK(writeOf(flow.onTransact(TableUnavailable{})) == Write{"done", 7});
            CHECK(isDone(flow.onTransact(Committed{8})));
        }
    }
    SECTION("after not-run the deletion of the row is retried until it succeeds")
    {
        replyOf<NotRunOutcome>(flow.onAttempt(NotRunOutcome{}), true);
        CHECK(writeOf(flow.next()) == Write{"deleted", 7});
        CHECK(writeOf(flow.onTransact(TableUnavailable{})) == Write{"deleted", 7});
        as<ChargeFlow::ReadRowStep>(flow.onTransact(ReplyLost{}));
        CHECK(writeOf(flow.onRow(rowWith(ChargeRow::State::Pending, "mine", 7))) == Write{"deleted", 7});
        CHECK(isDone(flow.onTransact(Conflict{})));
    }
    SECTION("after unknown the row stays pending")
    {
        replyOf<UnknownOutcome>(flow.onAttempt(UnknownOutcome{}), false);
        CHECK(isDone(flow.next()));
    }
    SECTION("the deadline gives unknown and a late outcome is still processed")
    {
        const std::optional<ChargeReply> reply = flow.onDeadline();
        REQUIRE(reply);
        CHECK(std::holds_alternative<UnknownOutcome>(*reply));
        CHECK_FALSE(flow.onDeadline());
        SECTION("answer")
        {
            CHECK(writeOf(flow.onAttempt(Paid)) == Write{"done", 7});
            CHECK(isDone(flow.onTransact(Committed{8})));
        }
        SECTION("not-run")
        {
            CHECK(writeOf(flow.onAttempt(NotRunOutcome{})) == Write{"deleted", 7});
        }
        SECTION("unknown")
        {
            CHECK(isDone(flow.onAttempt(UnknownOutcome{})));
        }
    }
}

// Guards against a second run of a key, and against a row of another call that is taken for that of the flow.
TEST_CASE("A charge whose row exists runs only after the row was released", "[chargeflow]")
{
    ChargeFlow flow(callWith("mine"));
    flow.next();
    as<ChargeFlow::ReadRowStep>(flow.onTransact(Conflict{}));

    SECTION("a stored result is returned")
    {
        CHECK(replyOf<UpstreamAnswer>(flow.onRow(rowWith(ChargeRow::State::Done, "other", 3)), false).body
              == Paid.body);
    }
    SECTION("a pending row gives unknown")
    {
        replyOf<UnknownOutcome>(flow.onRow(rowWith(ChargeRow::State::Pending, "other", 3)), false);
    }
    SECTION("another request is refused")
    {
        std::vector<Row> rows = rowWith(ChargeRow::State::Done, "other", 3);
        rows[0].value = encodeChargeRow({.token = "other", .digest = "another", .answer = {}});
        replyOf<KeyReused>(flow.onRow(rows), false);
    }
    SECTION("a row that cannot be decoded gives unknown")
    {
        replyOf<UnknownOutcome>(flow.onRow(std::vector<Row>{{.key = "charge/desk/k", .value = "?", .version = 3}}),
                                false);
    }
    SECTION("the deadline before the row was read gives unknown because an earlier call may have run")
    {
        flow.onRow(Error{});
        CHECK(flow.shouldBackOff());
        const std::optional<ChargeReply> reply = flow.onDeadline();
        REQUIRE(reply);
        CHECK(std::holds_alternative<UnknownOutcome>(*reply));
        CHECK(isDone(flow.onRow(rowWith(ChargeRow::State::Pending, "other", 3))));
    }
    SECTION("a released row is replaced, and released again after not-run")
    {
        CHECK(writeOf(flow.onRow(rowWith(ChargeRow::State::Released, "other", 3))) == Write{"pending", 3});
        REQUIRE(isAttempt(flow.onTransact(Committed{4})));
        flow.onAttempt(NotRunOutcome{});
        CHECK(writeOf(flow.next()) == Write{"released", 4});
    }
}

// Guards against a lost reply that leads to a second run, a false not-run, or a key that stays blocked.
TEST_CASE("A lost reply of the create is resolved by reading the row", "[chargeflow]")
{
    ChargeFlow flow(callWith("mine"));
    flow.next();
    as<ChargeFlow::ReadRowStep>(flow.onTransact(ReplyLost{}));
    CHECK(flow.shouldBackOff());

    SECTION("the own token continues with the attempt, and the create is accounted for")
    {
        REQUIRE(isAttempt(flow.onRow(rowWith(ChargeRow::State::Pending, "mine", 5))));
        CHECK_FALSE(flow.shouldBackOff());
        flow.onAttempt(NotRunOutcome{});
        CHECK(writeOf(flow.next()) == Write{"deleted", 5});
    }
    SECTION("the create is retried while the row is absent")
    {
        CHECK(writeOf(flow.onRow(Absent)) == Write{"pending", 0});
        SECTION("the first create may still be applied, so the row is released and not deleted")
        {
            REQUIRE(isAttempt(flow.onTransact(Committed{5})));
            flow.onAttempt(NotRunOutcome{});
            CHECK(writeOf(flow.next()) == Write{"released", 5});
            CHECK(isDone(flow.onTransact(Committed{6})));
        }
        SECTION("a conflict with the own late row")
        {
            as<ChargeFlow::ReadRowStep>(flow.onTransact(Conflict{}));
            CHECK(isAttempt(flow.onRow(rowWith(ChargeRow::State::Pending, "mine", 5))));
        }
    }
    SECTION("the deadline gives not-run")
    {
        const std::optional<ChargeReply> reply = flow.onDeadline();
        REQUIRE(reply);
        CHECK(std::holds_alternative<NotRunOutcome>(*reply));
        SECTION("an existing own row is deleted")
        {
            CHECK(writeOf(flow.onRow(rowWith(ChargeRow::State::Pending, "mine", 5))) == Write{"deleted", 5});
            CHECK(isDone(flow.onTransact(Committed{6})));
        }
        SECTION("a released row keeps the create from being applied later")
        {
            CHECK(writeOf(flow.onRow(Absent)) == Write{"released", 0});
            as<ChargeFlow::ReadRowStep>(flow.onTransact(Conflict{}));
            CHECK(writeOf(flow.onRow(rowWith(ChargeRow::State::Pending, "mine", 5))) == Write{"deleted", 5});
        }
        SECTION("a pending row of another call is read again until it can no longer be deleted")
        {
            as<ChargeFlow::TransactStep>(flow.onRow(rowWith(ChargeRow::State::Pending, "other", 5)));
            as<ChargeFlow::ReadRowStep>(flow.onTransact(Conflict{}));
            as<ChargeFlow::ReadRowStep>(flow.onRow(rowWith(ChargeRow::State::Pending, "other", 5)));
            CHECK(flow.shouldBackOff());
            CHECK(isDone(flow.onRow(rowWith(ChargeRow::State::Done, "other", 6))));
        }
    }
    SECTION("a pending row of another call gives unknown and the flow continues to clean up")
    {
        replyOf<UnknownOutcome>(flow.onRow(rowWith(ChargeRow::State::Pending, "other", 5)), true);
        CHECK(writeOf(flow.next()) == Write{"released", 0});
    }
}

// Guards against a request that is sent although its row was not created.
TEST_CASE("A create that was not applied is retried and no request is sent", "[chargeflow]")
{
    ChargeFlow flow(callWith("mine"));
    flow.next();
    CHECK(writeOf(flow.onTransact(TableUnavailable{})) == Write{"pending", 0});
    CHECK(flow.shouldBackOff());
    const std::optional<ChargeReply> reply = flow.onDeadline();
    REQUIRE(reply);
    CHECK(std::holds_alternative<NotRunOutcome>(*reply));
    CHECK(isDone(flow.onTransact(TableUnavailable{})));
}

TEST_CASE("A charge whose deadline passes before it starts does nothing", "[chargeflow]")
{
    ChargeFlow flow(callWith("mine"));
    CHECK(flow.onDeadline());
    CHECK(isDone(flow.next()));
}
