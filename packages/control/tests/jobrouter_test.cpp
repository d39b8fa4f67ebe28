#include "carobflow/control/jobrouter.h"

#include "tablefake.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"
#include "carobflow/daemon/internal/grpclistener.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
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

/// A leader that gives one reply to every call for a count, and rejects jobs, if it answers submissions, unless the
/// caller says that they may be stored. The reply to the first submission may be lost.
class CountingLeader final : public wire::LeaderService::CallbackService
{
public:
    grpc::ServerUnaryReactor *CountPending(grpc::CallbackServerContext *context,
                                           const wire::CountPendingRequest * /*request*/,
                                           wire::CountPendingReply *reply) override
    {
        *reply = count;
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *
    Submit(grpc::CallbackServerContext *context, const wire::SubmitRequest *request, wire::SubmitReply *reply) override
    {
        if (!answersSubmissions) {
            return wire::LeaderService::CallbackService::Submit(context, request, reply);
        }
        const std::size_t call = submissions++;
        const bool isLost = losesFirstReply && call == 0;
        reply->set_outcome(request->may_be_stored() ? wire::SubmitReply::STORED : wire::SubmitReply::OVERLOADED);
        reply->set_retry_after_ms(7000);
        auto *reactor = context->DefaultReactor();
        reactor->Finish(isLost ? grpc::Status(grpc::StatusCode::UNAVAILABLE, "lost") : grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *
    Cancel(grpc::CallbackServerContext *context, const wire::CancelRequest *request, wire::CancelReply *reply) override
    {
        if (!answersCancellations) {
            return wire::LeaderService::CallbackService::Cancel(context, request, reply);
        }
        *reply = cancellation;
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    wire::CountPendingReply count;
    bool answersCancellations = false;
    wire::CancelReply cancellation;
    bool answersSubmissions = false;
    bool losesFirstReply = false;
    std::atomic<std::size_t> submissions{0};
};

class RouterFixture
{
public:
    explicit RouterFixture(StallWatch::Options stalls = {})
        : operators({.decode = [this](const auto & /*rows*/) { return view; }}, table, directory, caller)
        , router(table, directory, operators, caller, stalls)
    {
        const auto port = listener.reserve();
        REQUIRE(isOk(port));
        REQUIRE(isOk(listener.start({&leader})));
        directory.learn(1, "127.0.0.1:" + std::to_string(valueOf(port)));
        leader.count.set_is_leader(true);
    }

    void addToInbox(Scheduling::JobSpec spec)
    {
        spec.steps = {{.count = 1, .request = {.cpuMillis = 100, .memoryMiB = 10}}};
        write(StoreLayout::keyOf(StoreLayout::InboxPrefix, spec.id), toMessage(spec).SerializeAsString());
    }

    void write(std::string key, std::string value)
    {
        bool done = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const Transaction transaction{.conditions = {}, .mutations = {{.key = key, .value = value}}};
                co_await table.transact(transaction);
                done = true;
            },
            asio::detached);
        run(done);
    }

    /// Gives the entry a configuration with the queue "quick".
    void configure()
    {
        auto configured = std::make_shared<Scheduling::OperatorView>();
        configured->configurationVersion = 2;
        configured->queues["quick"] = {.name = "quick", .service = "desk", .maxAttempts = 4};
        view = std::move(configured);
        asio::co_spawn(io, operators.watchStore(), asio::detached);
        write("operators/config", "1");
    }

    /// Submits a job; true when it is accepted. The leader does not answer unless it is told to.
    bool submit(const std::string &id)
    {
        Scheduling::JobSpec spec{.id = id, .queue = "quick"};
        spec.steps = {{.count = 1, .request = {.cpuMillis = 100, .memoryMiB = 10}}};
        bool done = false;
        bool accepted = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const SubmitOutcome outcome = co_await router.submit(spec, suspendAwareNow() + Seconds(3));
                accepted = std::holds_alternative<JobStored>(outcome);
                isUncertain = std::holds_alternative<JobOutcomeUnknown>(outcome);
                if (const auto *rejected = std::get_if<JobRejected>(&outcome)) {
                    retryAfter = rejected->retryAfter;
                }
                done = true;
            },
            asio::detached);
        run(done);
        return accepted;
    }

    /// Cancels jobs of the queue "quick" at the same time; returns the outcomes.
    std::vector<CancelOutcome> cancel(const std::vector<std::string> &ids)
    {
        std::vector<CancelOutcome> outcomes;
        bool done = false;
        for (const std::string &id : ids) {
            asio::co_spawn(
                io,
                [&, id]() -> asio::awaitable<void> {
                    outcomes.push_back(co_await router.cancel(id, "quick", suspendAwareNow() + Seconds(1)));
                    done = outcomes.size() == ids.size();
                },
                asio::detached);
        }
        run(done);
        return outcomes;
    }

    [[nodiscard]] std::string queueOfCancellation(const std::string &id) const
    {
        wire::InboxCancellation row;
        row.ParseFromString(table.valueOf(StoreLayout::cancellationKey(id)));
        return row.queue();
    }

    std::optional<std::uint32_t> countPending()
    {
        std::optional<std::uint32_t> count;
        bool done = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const CountOutcome outcome = co_await router.countPending("quick", suspendAwareNow() + Seconds(3));
                if (const auto *known = std::get_if<std::uint32_t>(&outcome)) {
                    count = *known;
                }
                isRemoved = std::holds_alternative<QueueRemoved>(outcome);
                done = true;
            },
            asio::detached);
        run(done);
        return count;
    }

    /// Time after which the client of the last rejected job may return.
    Milliseconds retryAfter{0};
    /// It is not known whether the last job was taken.
    bool isUncertain = false;
    /// The last count was refused because the queue does not exist any more.
    bool isRemoved = false;
    std::shared_ptr<const Scheduling::OperatorView> view;
    asio::io_context io;
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync operators;
    JobRouter router;
    CountingLeader leader;
    GrpcListener listener{{.address = "127.0.0.1"}};

private:
    void run(const bool &done)
    {
        const auto until = std::chrono::steady_clock::now() + Seconds(10);
        while (!done) {
            REQUIRE(std::chrono::steady_clock::now() < until);
            io.restart();
            io.run_for(Milliseconds(1));
        }
    }
};

} // namespace

TEST_CASE("An entry stores the settings of the queue with a job in the inbox", "[jobrouter][inbox]")
{
    // Guards against LOST: without them the job never runs when its queue is removed before a leader reads the row.
    RouterFixture fixture;
    fixture.configure();
    REQUIRE(fixture.submit("job"));
    wire::Job row;
    REQUIRE(row.ParseFromString(fixture.table.valueOf(StoreLayout::keyOf(StoreLayout::InboxPrefix, "job"))));
    CHECK(row.queue_settings().service() == "desk");
    CHECK(row.queue_settings().max_attempts() == 4);
}

TEST_CASE("An entry passes on a rejection only when no earlier attempt may have stored the job",
          "[jobrouter][admission]")
{
    // Guards against a job that runs although its client was told that it was rejected.
    RouterFixture fixture;
    fixture.leader.answersSubmissions = true;
    SECTION("A rejection of the first attempt is passed on")
    {
        CHECK_FALSE(fixture.submit("rejected"));
        CHECK(fixture.retryAfter == Seconds(7));
        CHECK(fixture.leader.submissions == 1);
    }
    SECTION("After a lost reply the leader is told that the job may be stored")
    {
        fixture.leader.losesFirstReply = true;
        CHECK(fixture.submit("lost-reply"));
        CHECK(fixture.leader.submissions == 2);
    }
}

TEST_CASE("A count of pending jobs contains those that the leader has not read from the inbox", "[jobrouter]")
{
    // Guards against MIXED: an overloaded leader reads the inbox up to 21 s late, and its count lacks the jobs there.
    RouterFixture fixture;
    for (int job = 0; job < 2; ++job) {
        fixture.addToInbox({.id = "known-" + std::to_string(job), .queue = "quick"});
    }
    fixture.leader.count.set_pending(3);
    fixture.leader.count.set_inbox_version(fixture.table.versionOf("inbox/known-1"));
    for (int job = 0; job < 9; ++job) {
        fixture.addToInbox({.id = "unread-" + std::to_string(job), .queue = "quick"});
    }

    SECTION("When the leader has not read the inbox for seconds")
    {
        fixture.leader.count.set_inbox_age_ms(6000);

        SECTION("Jobs that it has not read are added")
        {
            CHECK(fixture.countPending().value_or(0) == 12);
        }
        SECTION("Jobs of other queues, with due times or cancelled are not")
        {
            fixture.addToInbox({.id = "other", .queue = "slow"});
            fixture.addToInbox({.id = "timed", .queue = "quick", .scheduled = true});
            fixture.write(StoreLayout::cancellationKey("unread-0"), "cancel");
            CHECK(fixture.countPending().value_or(0) == 11);
        }
        SECTION("No count is given when the inbox cannot be read")
        {
            fixture.table.refusesSnapshots = true;
            const TimePoint began = suspendAwareNow();
            CHECK_FALSE(fixture.countPending().has_value());
            CHECK(suspendAwareNow() - began < Seconds(1));
        }
    }
    SECTION("When the leader knows that the queue has been removed, there is none")
    {
        fixture.leader.count.set_queue_removed(true);
        CHECK_FALSE(fixture.countPending().has_value());
        CHECK(fixture.isRemoved);
    }
    SECTION("When the leader keeps up, its count is given as it is")
    {
        fixture.leader.count.set_inbox_age_ms(2000);
        CHECK(fixture.countPending().value_or(0) == 3);
    }
}

TEST_CASE("An entry says that there is no such job only when the cancellation is remembered", "[jobrouter][tombstones]")
{
    // Guards against UNASKED: a submission that was sent before arrives after the answer, and the job runs.
    RouterFixture fixture;
    fixture.configure();
    wire::CancelReply &reply = fixture.leader.cancellation;
    reply.set_outcome(wire::CancelReply::UNKNOWN_JOB);

    SECTION("By the leader")
    {
        fixture.leader.answersCancellations = true;
        reply.set_remembered(true);
        CHECK(std::holds_alternative<JobUnknown>(fixture.cancel({"job"}).front()));
        CHECK(fixture.table.countRows(StoreLayout::InboxPrefix) == 0);

        SECTION("A job that waits in the inbox will be cancelled there")
        {
            fixture.addToInbox({.id = "waiting", .queue = "quick"});
            CHECK(std::holds_alternative<JobCancelled>(fixture.cancel({"waiting"}).front()));
        }
        SECTION("So will one of which the store does not say whether it exists")
        {
            fixture.table.refusesReads = true;
            CHECK(std::holds_alternative<JobCancelled>(fixture.cancel({"job"}).front()));
        }
        SECTION("Else the client is told to come back")
        {
            reply.set_outcome(wire::CancelReply::TOO_MANY);
            CHECK(std::holds_alternative<CancelRefused>(fixture.cancel({"job"}).front()));
        }
    }
    SECTION("In the inbox, where a leader of an earlier build does not remember it")
    {
        fixture.leader.answersCancellations = true;
        CHECK(std::holds_alternative<JobUnknown>(fixture.cancel({"job"}).front()));
        CHECK(fixture.queueOfCancellation("job") == "quick");
    }
    SECTION("In the inbox, where no leader answers")
    {
        CHECK(std::holds_alternative<JobUnknown>(fixture.cancel({"job"}).front()));
        CHECK(fixture.queueOfCancellation("job") == "quick");
        CHECK(std::holds_alternative<JobUnknown>(fixture.cancel({"job"}).front()));

        SECTION("Not while the row names another queue")
        {
            wire::InboxCancellation other;
            other.set_queue("batch");
            fixture.write(StoreLayout::cancellationKey("contended"), other.SerializeAsString());
            CHECK(std::holds_alternative<JobOutcomeUnknown>(fixture.cancel({"contended"}).front()));
        }
        SECTION("Not when this entry has put very many there")
        {
            // Guards against growth by a client that cancels jobs which never were.
            std::vector<std::string> ids(220);
            std::ranges::generate(ids, [number = 0]() mutable { return "none-" + std::to_string(number++); });
            const auto outcomes = fixture.cancel(ids);
            const auto refused = std::ranges::count_if(
                outcomes, [](const auto &outcome) { return std::holds_alternative<CancelRefused>(outcome); });
            CHECK(refused == 21);
            CHECK(fixture.table.countRows(StoreLayout::InboxPrefix) == 200);
        }
    }
}

TEST_CASE("An entry that stood still for long submits nothing that may be too old", "[jobrouter][tombstones]")
{
    // Guards against UNASKED: a job is submitted whose cancellation is not remembered any more.
    RouterFixture fixture({.limit = Milliseconds(50), .catchUp = Milliseconds(200)});
    fixture.configure();
    fixture.leader.answersSubmissions = true;
    std::this_thread::sleep_for(Milliseconds(100));
    CHECK_FALSE(fixture.submit("old"));
    // A request before with the same id may have been stored.
    CHECK(fixture.isUncertain);
    CHECK(fixture.leader.submissions == 0);
    CHECK(fixture.table.countRows(StoreLayout::InboxPrefix) == 0);
}

} // namespace Carobflow
