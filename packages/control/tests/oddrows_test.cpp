#include "carobflow/control/leaderterm.h"

#include "tablefake.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"

#include <functional>
#include <limits>

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

constexpr Seconds ConditionTimeout{10};
const std::string Garbage = "\xff\xff\xff\xff\x01";

wire::Job jobMessage(const std::string &id)
{
    Scheduling::JobSpec spec{.id = id, .queue = "quick"};
    spec.steps = {{.count = 1, .request = {.cpuMillis = 100, .memoryMiB = 10}}};
    return toMessage(spec);
}

std::string jobValue(const std::string &id, const std::function<void(wire::Job &)> &change = {})
{
    wire::Job message = jobMessage(id);
    if (change) {
        change(message);
    }
    return message.SerializeAsString();
}

std::string progressValue(const std::function<void(wire::TaskProgress &)> &change)
{
    wire::JobProgress message;
    wire::TaskProgress &task = *message.add_tasks();
    task.set_last_run(1);
    change(task);
    return message.SerializeAsString();
}

/// Runs a leader's term on rows that are in the store before it begins, with one host that reports nothing running.
class OddRowsFixture
{
public:
    ~OddRowsFixture()
    {
        if (term) {
            // Calls to the host in progress complete on the context, so it has to outlive them; they hold the term.
            term->resign();
            run([&] { return term->isOver() && term.use_count() == 1; });
        }
    }

    OddRowsFixture() = default;
    OddRowsFixture(const OddRowsFixture &) = delete;
    OddRowsFixture &operator=(const OddRowsFixture &) = delete;

    void put(std::string_view prefix, const std::string &name, const std::string &value)
    {
        rows.push_back({.key = StoreLayout::keyOf(prefix, name), .value = value});
    }

    void putJob(const std::string &id)
    {
        put(StoreLayout::JobPrefix, id, jobValue(id));
        put(StoreLayout::ProgressPrefix, id, {});
    }

    void lead()
    {
        rows.push_back({.key = "operators/config", .value = "1"});
        asio::co_spawn(io, operators.watchStore(), asio::detached);
        asio::co_spawn(io, takeOver(), asio::detached);
        REQUIRE(run([&] { return term != nullptr; }));
        REQUIRE(run([&] {
            report();
            return answered > 0;
        }));
    }

    /// Runs the term, with reports of the host, until the condition holds or the time is over.
    bool run(const std::function<bool()> &condition, Duration limit = ConditionTimeout)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            io.run_for(Milliseconds(2));
        }
        return condition();
    }

    bool runWithReports(const std::function<bool()> &condition, Duration limit = ConditionTimeout)
    {
        return run(
            [&] {
                report();
                return condition();
            },
            limit);
    }

    void report()
    {
        Scheduling::HostReport report;
        report.host = "host-0";
        report.address = "127.0.0.1:1";
        report.fencedEpoch = directory.current().epoch;
        report.upstream = Scheduling::UpstreamDescription{.identity = {.id = "up", .incarnation = 1},
                                                          .service = "desk",
                                                          .dataCentre = "dc",
                                                          .capacity = {.cpuMillis = 4000, .memoryMiB = 32000}};
        asio::co_spawn(
            io,
            [this, leader = term, message = toMessage(report)]() -> asio::awaitable<void> {
                const wire::ReportReply reply = co_await leader->report(message);
                answered += reply.is_leader() ? 1 : 0;
            },
            asio::detached);
    }

    /// The stored number of the last run of a job's first task; 0 when none was started.
    std::uint32_t lastRun(const std::string &id) const
    {
        wire::JobProgress progress;
        const bool read = progress.ParseFromString(table.valueOf(StoreLayout::keyOf(StoreLayout::ProgressPrefix, id)));
        return read && progress.tasks_size() > 0 ? progress.tasks(0).last_run() : 0;
    }

    wire::SubmitReply submit(const wire::Job &job)
    {
        std::optional<wire::SubmitReply> reply;
        wire::SubmitRequest request;
        *request.mutable_job() = job;
        asio::co_spawn(
            io, [&, request]() -> asio::awaitable<void> { reply = co_await term->submit(request); }, asio::detached);
        REQUIRE(runWithReports([&] { return reply.has_value(); }));
        return *reply;
    }

    asio::io_context io;
    TableFake table;
    std::vector<Mutation> rows;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync operators{{.decode =
                                [](const auto & /*rows*/) {
                                    auto view = std::make_shared<Scheduling::OperatorView>();
                                    view->configurationVersion = 1;
                                    view->queues["quick"] = {.name = "quick", .service = "desk"};
                                    return view;
                                }},
                           table,
                           directory,
                           caller};
    std::shared_ptr<LeaderTerm> term;
    std::size_t answered = 0;

private:
    asio::awaitable<void> takeOver()
    {
        Transaction before;
        before.mutations = rows;
        co_await table.transact(before);
        auto ledger = std::make_unique<Ledger>(
            Ledger::Options{.name = "host-0", .address = {}, .isDeposed = [](Epoch) { return false; }}, table);
        const Status taken = co_await ledger->takeOver(directory.current().epoch);
        REQUIRE(isOk(taken));
        directory.learn(ledger->epoch(), {});
        term = std::make_shared<LeaderTerm>(
            io.get_executor(), LeaderTerm::Options{}, std::move(ledger), table, directory, operators, caller);
        asio::co_spawn(term->strand(), term->run(), asio::detached);
    }
};

} // namespace

// Guards against a leader that ends, and after it each successor, because of one row of another writer.
TEST_CASE("A leader runs the jobs beside an odd row", "[leaderterm][odd]")
{
    struct OddRow {
        std::string_view prefix;
        std::string value;
    };
    const OddRow odd = GENERATE(
        OddRow{StoreLayout::JobPrefix, Garbage},
        OddRow{StoreLayout::JobPrefix, ""},
        OddRow{StoreLayout::JobPrefix, jobValue("good")},
        OddRow{StoreLayout::JobPrefix, jobValue("odd", [](auto &job) { job.mutable_steps(0)->add_after(0); })},
        OddRow{StoreLayout::JobPrefix, jobValue("odd", [](auto &job) { job.mutable_steps(0)->add_after(900); })},
        OddRow{StoreLayout::JobPrefix, jobValue("odd", [](auto &job) { job.set_occurrences(0); })},
        OddRow{StoreLayout::JobPrefix, jobValue("odd", [](auto &job) { job.clear_steps(); })},
        OddRow{StoreLayout::JobPrefix,
               jobValue("odd",
                        [](auto &job) {
                            job.set_occurrences(4'294'967'295);
                            job.mutable_steps(0)->set_count(4'294'967'295);
                        })},
        OddRow{StoreLayout::ProgressPrefix, Garbage},
        OddRow{StoreLayout::ProgressPrefix, progressValue([](auto &task) { task.set_last_run(4'294'967'295); })},
        OddRow{StoreLayout::ProgressPrefix, progressValue([](auto &task) { task.set_step(77); })},
        OddRow{StoreLayout::ProgressPrefix, progressValue([](auto &task) { task.add_placements()->set_run(7); })},
        OddRow{StoreLayout::HostPrefix, Garbage},
        OddRow{StoreLayout::HostPrefix, ""},
        OddRow{StoreLayout::InboxPrefix, Garbage},
        OddRow{StoreLayout::InboxPrefix, ""},
        OddRow{StoreLayout::InboxPrefix, jobValue("good")},
        OddRow{StoreLayout::InboxPrefix, jobValue("odd", [](auto &job) { job.mutable_steps(0)->add_after(900); })},
        OddRow{StoreLayout::InboxPrefix, jobValue("odd", [](auto &job) {
                   job.set_occurrences(4'294'967'295);
                   job.mutable_steps(0)->set_count(4'294'967'295);
               })});
    CAPTURE(odd.prefix, odd.value);
    OddRowsFixture fixture;
    fixture.putJob("good");
    fixture.putJob("other");
    if (odd.prefix == StoreLayout::ProgressPrefix) {
        fixture.put(StoreLayout::JobPrefix, "odd", jobValue("odd"));
    }
    fixture.put(odd.prefix, "odd", odd.value);
    fixture.lead();

    CHECK(fixture.runWithReports([&] { return fixture.lastRun("good") == 1 && fixture.lastRun("other") == 1; }));
    CHECK_FALSE(fixture.term->isOver());
}

// Guards against a second run of a task that has finished, or that still runs under a lease (TWICE).
TEST_CASE("A job whose progress is not known is not run", "[leaderterm][odd]")
{
    const bool missing = GENERATE(true, false);
    CAPTURE(missing);
    OddRowsFixture fixture;
    fixture.put(StoreLayout::JobPrefix, "odd", jobValue("odd"));
    if (!missing) {
        fixture.put(StoreLayout::ProgressPrefix, "odd", Garbage);
    }
    fixture.putJob("good");
    fixture.lead();
    REQUIRE(fixture.runWithReports([&] { return fixture.lastRun("good") == 1; }));

    SECTION("After the load")
    {
        CHECK_FALSE(fixture.runWithReports([&] { return fixture.lastRun("odd") > 0; }, Milliseconds(300)));
    }
    SECTION("When its client submits it once more")
    {
        CHECK(fixture.submit(jobMessage("odd")).outcome() == wire::SubmitReply::STORED);
        CHECK_FALSE(fixture.runWithReports([&] { return fixture.lastRun("odd") > 0; }, Milliseconds(300)));
    }
}

// Guards against a leader that resigns because most of the hosts that it expects do not exist.
TEST_CASE("Unreadable rows of hosts do not count as silent hosts", "[leaderterm][odd]")
{
    OddRowsFixture fixture;
    for (const std::string name : {"a", "b", "c", "d"}) {
        fixture.put(StoreLayout::HostPrefix, name, Garbage);
    }
    fixture.lead();
    CHECK_FALSE(fixture.runWithReports([&] { return fixture.term->isOver(); }, Milliseconds(3500)));
}

// Guards against a leader that ends because a peer passes a job on that cannot be run.
TEST_CASE("A job that cannot be run is rejected by the leader", "[leaderterm][odd]")
{
    OddRowsFixture fixture;
    fixture.lead();
    wire::Job job = jobMessage("odd");

    SECTION("When its counts overflow")
    {
        job.set_occurrences(4'294'967'295);
        job.mutable_steps(0)->set_count(4'294'967'295);
    }
    SECTION("When it refers to a missing step")
    {
        job.mutable_steps(0)->add_after(900);
    }
    SECTION("When it does not fit into the store")
    {
        job.set_payload(std::string(900'000, 'x'));
    }
    CHECK(fixture.submit(job).outcome() == wire::SubmitReply::OVERLOADED);
    CHECK(fixture.submit(jobMessage("good")).outcome() == wire::SubmitReply::STORED);
}

} // namespace Carobflow
