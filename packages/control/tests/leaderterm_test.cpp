#include "carobflow/control/leaderterm.h"

#include "tablefake.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"

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

constexpr Seconds StoreLimit{10};

/// A leader's term over a table in memory; its hosts are played by the test.
class TermFixture
{
public:
    TermFixture()
        : operators({.decode = [](const auto & /*rows*/) { return defaultView(); }}, table, directory, caller)
    {
        asio::co_spawn(io, operators.followStore(), asio::detached);
        asio::co_spawn(io, lead(), asio::detached);
        runUntil([&] { return term != nullptr && report("host-0").is_leader(); });
    }

    ~TermFixture()
    {
        if (term) {
            term->resign();
            const auto until = std::chrono::steady_clock::now() + Seconds(1);
            while (!term->isOver() && std::chrono::steady_clock::now() < until) {
                io.run_for(Milliseconds(1));
            }
        }
    }

    TermFixture(const TermFixture &) = delete;
    TermFixture &operator=(const TermFixture &) = delete;

    /// Runs the term until a condition holds; fails the test when it does not in time.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto until = std::chrono::steady_clock::now() + StoreLimit;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < until);
            io.run_for(Milliseconds(1));
        }
    }

    wire::ReportReply report(const std::string &host)
    {
        Scheduling::HostReport report;
        report.host = host;
        report.fencedEpoch = 1;
        report.upstream = Scheduling::UpstreamDescription{.identity = {.id = "up-" + host, .incarnation = 1},
                                                          .service = "desk",
                                                          .dataCentre = "dc",
                                                          .capacity = {.cpuMillis = 4000, .memoryMiB = 32000}};
        return term->report(toMessage(report));
    }

    /// Submits a job and notes when its client may be told.
    void submit(const std::string &id)
    {
        asio::co_spawn(
            io,
            [this, id]() -> asio::awaitable<void> {
                wire::SubmitRequest request;
                Scheduling::JobSpec spec{.id = id, .queue = "quick", .payload = std::string(PayloadBytes, 'x')};
                spec.steps = {{.count = 1, .request = {.cpuMillis = 100, .memoryMiB = 10}}};
                *request.mutable_job() = toMessage(spec);
                const wire::SubmitReply reply = co_await term->submit(std::move(request));
                stored += reply.outcome() == wire::SubmitReply::STORED ? 1 : 0;
            },
            asio::detached);
    }

    asio::io_context io;
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync operators;
    std::shared_ptr<LeaderTerm> term;
    std::size_t stored = 0;

private:
    static constexpr std::size_t PayloadBytes = 4000;

    static std::shared_ptr<const Scheduling::OperatorView> defaultView()
    {
        auto view = std::make_shared<Scheduling::OperatorView>();
        view->configurationVersion = 1;
        view->queues["quick"] = {.name = "quick", .service = "desk"};
        return view;
    }

    asio::awaitable<void> lead()
    {
        const Transaction configuration{.conditions = {}, .mutations = {{.key = "operators/config", .value = "1"}}};
        co_await table.transact(configuration);
        auto ledger = std::make_unique<Ledger>(
            Ledger::Options{.name = "host-0", .address = {}, .isDeposed = [](Epoch) { return false; }}, table);
        const Status taken = co_await ledger->takeOver(0);
        REQUIRE(isOk(taken));
        term = std::make_shared<LeaderTerm>(
            io.get_executor(), LeaderTerm::Options{}, std::move(ledger), table, directory, operators, caller);
        asio::co_spawn(term->strand(), term->run(), asio::detached);
    }
};

} // namespace

TEST_CASE("A leader keeps each write within the limits of the store", "[leaderterm]")
{
    // Guards against a write that the store rejects each time that it is sent: nothing is decided from then on, and the
    // same happens to each successor.
    TermFixture fixture;
    constexpr std::size_t Many = 150;

    SECTION("When many hosts report for the first time at once")
    {
        for (std::size_t host = 0; host < Many; ++host) {
            fixture.report("host-" + std::to_string(host));
        }
        fixture.runUntil([&] { return fixture.table.countRows(StoreLayout::HostPrefix) == Many; });
    }
    SECTION("When many jobs are submitted at once")
    {
        for (std::size_t job = 0; job < Many; ++job) {
            fixture.submit("job-" + std::to_string(job));
        }
        fixture.runUntil([&] { return fixture.stored == Many; });
        CHECK(fixture.table.countRows(StoreLayout::JobPrefix) == Many);
    }
    CHECK(fixture.table.oversized == 0);
}

} // namespace Carobflow
