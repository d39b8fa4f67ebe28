#include "carobflow/control/leaderterm.h"

#include "tablefake.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storedrows.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"

#include <algorithm>

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

/// Runs a leader's term on an in-memory table; the test sends the reports of its hosts.
class TermFixture
{
public:
    /// Starts a term whose inbox holds `inboxJobs` jobs and whose reads of ranges take `rangeTime` each.
    explicit TermFixture(std::size_t inboxJobs = 0, Milliseconds rangeTime = Milliseconds(0))
        : operators({.decode = [](const auto & /*rows*/) { return defaultView(); }}, table, directory, caller)
    {
        table.rangeTime = rangeTime;
        asio::co_spawn(io, operators.watchStore(), asio::detached);
        asio::co_spawn(io, lead(inboxJobs), asio::detached);
        runUntil([&] { return term != nullptr; });
    }

    /// Waits until the term is loaded and answers a report as the leader.
    void waitUntilLoaded()
    {
        runUntil([&] {
            report("host-0");
            return answered > 0;
        });
    }

    wire::CountPendingReply countPending() const
    {
        wire::CountPendingRequest request;
        request.set_queue("quick");
        return term->countPending(request);
    }

    ~TermFixture()
    {
        if (term) {
            term->resign();
            // Calls to hosts in progress complete on the context, so it has to outlive them; they hold their term.
            const auto isUsed = [](const std::weak_ptr<LeaderTerm> &ended) { return !ended.expired(); };
            const auto until = std::chrono::steady_clock::now() + Seconds(3);
            while ((term.use_count() > 1 || std::ranges::any_of(m_endedTerms, isUsed))
                   && std::chrono::steady_clock::now() < until) {
                io.run_for(Milliseconds(1));
            }
        }
    }

    TermFixture(const TermFixture &) = delete;
    TermFixture &operator=(const TermFixture &) = delete;

    /// Runs the term until a condition holds; fails the test when it does not in time.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto until = std::chrono::steady_clock::now() + ConditionTimeout;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < until);
            io.run_for(Milliseconds(1));
        }
    }

    /// Starts the term of another process. The term before ends without resigning.
    void replaceLeader()
    {
        m_endedTerms.push_back(term);
        term.reset();
        asio::co_spawn(io, takeOver(), asio::detached);
        runUntil([&] { return term != nullptr; });
    }

    /// Sends the report of a host without runs.
    void report(const std::string &host)
    {
        send(reportOf(host));
    }

    Scheduling::HostReport reportOf(const std::string &host) const
    {
        Scheduling::HostReport report;
        report.host = host;
        report.fencedEpoch = directory.current().epoch;
        report.upstream = Scheduling::UpstreamDescription{.identity = {.id = "up-" + host, .incarnation = 1},
                                                          .service = "desk",
                                                          .dataCentre = "dc",
                                                          .capacity = {.cpuMillis = 4000, .memoryMiB = 32000}};
        return report;
    }

    void send(const Scheduling::HostReport &report)
    {
        asio::co_spawn(
            io,
            [this, leader = term, message = toMessage(report)]() -> asio::awaitable<void> {
                lastReply = co_await leader->report(message);
                ++replies;
                answered += lastReply.is_leader() ? 1 : 0;
            },
            asio::detached);
    }

    static wire::Job jobMessage(const std::string &id, std::uint32_t tasks = 1, const std::string &queue = "quick")
    {
        Scheduling::JobSpec spec{.id = id, .queue = queue, .payload = std::string(PayloadBytes, 'x')};
        spec.steps = {{.count = tasks, .request = {.cpuMillis = 100 / tasks, .memoryMiB = 10}}};
        return toMessage(spec);
    }

    /// Submits a job and counts it when the reply says that it is stored.
    void submit(const std::string &id, std::uint32_t tasks = 1, const std::string &queue = "quick")
    {
        asio::co_spawn(
            io,
            [this, id, tasks, queue]() -> asio::awaitable<void> {
                wire::SubmitRequest request;
                *request.mutable_job() = jobMessage(id, tasks, queue);
                const wire::SubmitReply reply = co_await term->submit(std::move(request));
                stored += reply.outcome() == wire::SubmitReply::STORED ? 1 : 0;
            },
            asio::detached);
    }

    /// Puts a job into the inbox, as an entry does that reaches no leader.
    void addToInbox(const std::string &id)
    {
        addToInbox(id, jobMessage(id).SerializeAsString());
    }

    void addToInbox(const std::string &id, const std::string &row)
    {
        asio::co_spawn(
            io,
            [this, id, row]() -> asio::awaitable<void> {
                const Transaction write{
                    .conditions = {},
                    .mutations = {{.key = StoreLayout::keyOf(StoreLayout::InboxPrefix, id), .value = row}}};
                co_await table.transact(write);
            },
            asio::detached);
        runUntil([&] { return versionInInbox(id) > 0; });
    }

    /// The version of a job's row in the inbox; 0 when there is none.
    std::uint64_t versionInInbox(const std::string &id) const
    {
        return table.versionOf(StoreLayout::keyOf(StoreLayout::InboxPrefix, id));
    }

    /// Puts the cancellation of an unknown job into the inbox, as an entry does that reaches no leader.
    void cancelInInbox(const std::string &id, const std::string &queue = "quick")
    {
        wire::InboxCancellation cancellation;
        cancellation.set_queue(queue);
        addToInbox(id + ".cancel", cancellation.SerializeAsString());
    }

    /// Cancels a job, and waits for the reply.
    wire::CancelReply cancelAndWait(const std::string &id, const std::string &queue = "quick")
    {
        const std::size_t before = cancelReplies;
        cancel(id, queue);
        runUntil([&] { return cancelReplies > before; });
        return lastCancelReply;
    }

    /// Cancels a job and counts it when the reply confirms the cancellation.
    void cancel(const std::string &id, const std::string &queue = {})
    {
        asio::co_spawn(
            io,
            [this, id, queue]() -> asio::awaitable<void> {
                wire::CancelRequest request;
                request.set_id(id);
                request.set_queue(queue);
                lastCancelReply = co_await term->cancel(std::move(request));
                ++cancelReplies;
                cancelled += lastCancelReply.outcome() == wire::CancelReply::CANCELLED ? 1 : 0;
            },
            asio::detached);
    }

    /// Returns the phase that the leader gives for a job.
    Scheduling::JobPhase query(const std::string &id)
    {
        std::optional<wire::QueryReply> reply;
        asio::co_spawn(
            io,
            [this, id, &reply]() -> asio::awaitable<void> {
                wire::QueryRequest request;
                request.set_id(id);
                reply = co_await term->query(std::move(request));
            },
            asio::detached);
        runUntil([&] { return reply.has_value(); });
        REQUIRE(reply->outcome() == wire::QueryReply::FOUND);
        return static_cast<Scheduling::JobPhase>(reply->phase());
    }

    /// The stored rows of a job's progress.
    std::vector<Row> progressRows(const std::string &id) const
    {
        std::vector<Row> rows = table.rowsOf(StoreLayout::ProgressPrefix);
        std::erase_if(rows, [&](const Row &row) { return StoredRows::jobOf(row, StoreLayout::ProgressPrefix) != id; });
        return rows;
    }

    /// The stored progress of a job; empty when its rows are incomplete.
    wire::JobProgress storedProgress(const std::string &id) const
    {
        const auto progress = StoredRows::readAllProgress(progressRows(id), StoreLayout::ProgressPrefix);
        return progress.contains(id) ? toMessage(progress.at(id)) : wire::JobProgress();
    }

    wire::KnownHost storedHost(const std::string &name) const
    {
        wire::KnownHost host;
        host.ParseFromString(table.valueOf(StoreLayout::keyOf(StoreLayout::HostPrefix, name)));
        return host;
    }

    /// The host on which the only task of a job is placed; empty when there is none.
    std::string hostOf(const std::string &id) const
    {
        const wire::JobProgress progress = storedProgress(id);
        const bool placed = progress.tasks_size() > 0 && progress.tasks(0).placements_size() > 0;
        return placed ? progress.tasks(0).placements(0).host() : std::string();
    }

    /// The runs of a job's tasks whose placements are stored.
    std::vector<Scheduling::RunId> started(const std::string &id)
    {
        std::vector<Scheduling::RunId> runs;
        const wire::JobProgress progress = storedProgress(id);
        for (const wire::TaskProgress &task : progress.tasks()) {
            if (task.placements_size() > 0) {
                runs.push_back(
                    {.task = {.job = id, .occurrence = task.occurrence(), .step = task.step(), .index = task.index()},
                     .run = task.last_run()});
            }
        }
        return runs;
    }

    asio::io_context io;
    TableFake table;
    LeaderDirectory directory;
    ChannelPool channels;
    ControlCaller caller{channels};
    OperatorSync operators;
    /// For the next term.
    LeaderTerm::Options options;
    std::shared_ptr<LeaderTerm> term;
    std::size_t stored = 0;
    std::size_t cancelled = 0;
    std::size_t cancelReplies = 0;
    wire::CancelReply lastCancelReply;
    /// Number of replies to reports, and of those among them that a leader sent.
    std::size_t replies = 0;
    std::size_t answered = 0;
    wire::ReportReply lastReply;

private:
    static constexpr std::size_t PayloadBytes = 4000;

    std::vector<std::weak_ptr<LeaderTerm>> m_endedTerms;

    static std::shared_ptr<const Scheduling::OperatorView> defaultView()
    {
        auto view = std::make_shared<Scheduling::OperatorView>();
        view->configurationVersion = 2;
        view->queues["quick"] = {.name = "quick", .service = "desk"};
        view->queues["batch"] = {.name = "batch", .service = "desk", .priority = 2, .stretch = 2};
        return view;
    }

    asio::awaitable<void> lead(std::size_t inboxJobs)
    {
        Transaction before{.conditions = {}, .mutations = {{.key = "operators/config", .value = "1"}}};
        for (std::size_t job = 0; job < inboxJobs; ++job) {
            const std::string id = "inbox-job-" + std::to_string(job);
            before.mutations.push_back(
                {.key = StoreLayout::keyOf(StoreLayout::InboxPrefix, id), .value = jobMessage(id).SerializeAsString()});
        }
        co_await table.transact(before);
        table.snapshotTime = Milliseconds(100);
        co_await takeOver();
    }

    asio::awaitable<void> takeOver()
    {
        auto ledger = std::make_unique<Ledger>(
            Ledger::Options{.name = "host-0", .address = {}, .isDeposed = [](Epoch) { return false; }}, table);
        // A write of the leader before may come between the read and the write of an attempt.
        while (!isOk(co_await ledger->takeOver(directory.current().epoch))) {
        }
        directory.learn(ledger->epoch(), {});
        term = std::make_shared<LeaderTerm>(
            io.get_executor(), options, std::move(ledger), table, directory, operators, caller);
        asio::co_spawn(term->strand(), term->run(), asio::detached);
    }
};

} // namespace

TEST_CASE("A leader keeps each write within the limits of the store", "[leaderterm]")
{
    // Guards against a write that exceeds the limits of the store and is rejected on every attempt: the leader makes no
    // decision from then on, and neither does any successor.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    constexpr std::size_t many = 150;

    SECTION("When many hosts report for the first time at once")
    {
        for (std::size_t host = 0; host < many; ++host) {
            fixture.report("host-" + std::to_string(host));
        }
        fixture.runUntil([&] { return fixture.table.countRows(StoreLayout::HostPrefix) == many; });
    }
    SECTION("When many jobs are submitted at once")
    {
        for (std::size_t job = 0; job < many; ++job) {
            fixture.submit("job-" + std::to_string(job));
        }
        fixture.runUntil([&] { return fixture.stored == many; });
        CHECK(fixture.table.countRows(StoreLayout::JobPrefix) == many);
    }
    CHECK(fixture.table.oversized == 0);
}

TEST_CASE("A report that lists ended runs is answered when they are stored", "[leaderterm]")
{
    // Guards against agents that report each ended run twice: the second call only fetched the acknowledgement, and a
    // leader of 60 hosts spent most of its processor share on calls.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.submit("job");
    fixture.runUntil([&] { return fixture.stored == 1 && !fixture.started("job").empty(); });
    Scheduling::HostReport report = fixture.reportOf("host-0");
    report.ended.push_back({.number = 1, .run = fixture.started("job").front(), .end = Scheduling::RunEnd::Done});
    const std::size_t before = fixture.answered;
    fixture.send(report);
    fixture.runUntil([&] { return fixture.answered > before; });
    CHECK(fixture.lastReply.acknowledged_end() == 1);
}

TEST_CASE("The checkpoints of a large job hold up nothing", "[leaderterm][progressrows]")
{
    // Guards against a row that outgrows the store: its write is rejected on every attempt, and neither other jobs nor
    // leases nor ends of runs get any further.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    const std::uint32_t tasks = GENERATE(30, 150);
    const std::size_t checkpointBytes = GENERATE(64, 4000);
    CAPTURE(tasks, checkpointBytes);
    fixture.submit("large", tasks);
    const auto runs = [&] { return fixture.started("large"); };
    fixture.runUntil([&] {
        fixture.report("host-0");
        return runs().size() == tasks;
    });

    Scheduling::HostReport report = fixture.reportOf("host-0");
    for (const Scheduling::RunId &run : runs()) {
        report.running.push_back({.run = run, .checkpoint = std::string(checkpointBytes, 'c'), .percent = 50});
    }
    fixture.send(report);
    report.ended.push_back({.number = 1,
                            .run = report.running.back().run,
                            .end = Scheduling::RunEnd::Stopped,
                            .checkpoint = std::string(checkpointBytes, 'e')});
    report.running.pop_back();
    fixture.send(report);
    fixture.submit("other");
    fixture.runUntil([&] { return fixture.stored == 2; });
    fixture.runUntil([&] {
        fixture.send(report);
        return fixture.lastReply.acknowledged_end() == 1;
    });
    CHECK(fixture.table.oversized == 0);

    SECTION("The next leader takes over all of its runs")
    {
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        CHECK(fixture.query("large") == Scheduling::JobPhase::Running);
        CHECK(runs().size() >= tasks - 1);
    }
    SECTION("And removes all of its rows when the leader before has removed the job only")
    {
        // Guards against rows that stay in the store for good.
        asio::co_spawn(
            fixture.io,
            [&]() -> asio::awaitable<void> {
                const Transaction removal{
                    .conditions = {},
                    .mutations = {{.key = StoreLayout::keyOf(StoreLayout::JobPrefix, "large"), .value = std::nullopt}}};
                co_await fixture.table.transact(removal);
            },
            asio::detached);
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        fixture.runUntil([&] { return fixture.progressRows("large").empty(); });
        CHECK_FALSE(fixture.progressRows("other").empty());
    }
}

TEST_CASE("A final state is shown from its write on", "[leaderterm]")
{
    // Guards against a job that runs again after a confirmed cancellation, or is said to, while ends of its runs are
    // written.
    constexpr Milliseconds slowWrite{400};
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.submit("job");
    fixture.runUntil([&] { return fixture.stored == 1 && !fixture.started("job").empty(); });
    Scheduling::HostReport report = fixture.reportOf("host-0");
    report.ended.push_back({.number = 1, .run = fixture.started("job").front(), .end = Scheduling::RunEnd::Stopped});
    const auto isCancellationStored = [&] { return fixture.storedProgress("job").cancelled(); };

    SECTION("A cancellation that is being written is not shown")
    {
        fixture.table.transactTime = slowWrite;
        fixture.cancel("job");
        fixture.io.run_for(slowWrite / 4);
        REQUIRE_FALSE(isCancellationStored());
        CHECK(fixture.query("job") == Scheduling::JobPhase::Running);
        CHECK(fixture.cancelled == 0);
        fixture.runUntil([&] { return fixture.cancelled == 1; });
        CHECK(isCancellationStored());
    }
    SECTION("A stored cancellation is shown while the end of a run is written")
    {
        fixture.cancel("job");
        fixture.runUntil([&] { return fixture.cancelled == 1; });
        REQUIRE(isCancellationStored());
        fixture.table.transactTime = slowWrite;
        fixture.send(report);
        fixture.io.run_for(slowWrite / 4);
        REQUIRE(fixture.started("job").size() == 1);
        CHECK(fixture.query("job") == Scheduling::JobPhase::Cancelled);

        SECTION("A repeated cancellation is confirmed meanwhile")
        {
            fixture.cancel("job");
            fixture.io.run_for(slowWrite / 8);
            REQUIRE(fixture.started("job").size() == 1);
            CHECK(fixture.cancelled == 2);
        }
    }
    SECTION("A new leader shows a stored cancellation while the end of a run is written")
    {
        fixture.cancel("job");
        fixture.runUntil([&] { return fixture.cancelled == 1; });
        fixture.replaceLeader();
        fixture.runUntil([&] { return fixture.countPending().is_leader(); });
        fixture.table.transactTime = slowWrite;
        report.fencedEpoch = fixture.directory.current().epoch;
        fixture.send(report);
        fixture.io.run_for(slowWrite / 4);
        REQUIRE(fixture.started("job").size() == 1);
        CHECK(fixture.query("job") == Scheduling::JobPhase::Cancelled);
    }
}

TEST_CASE("A new leader answers only after it has loaded the jobs in the inbox", "[leaderterm]")
{
    // Guards against counts of pending jobs that omit those that entries accepted while there was no leader.
    TermFixture fixture(2);
    fixture.runUntil([&] { return fixture.countPending().is_leader(); });
    CHECK(fixture.countPending().pending() == 2);
}

TEST_CASE("A job in the inbox runs although its queue has been removed since", "[leaderterm][inbox]")
{
    // Guards against LOST: a job that an entry accepted while nobody led, and whose queue the operators remove before a
    // leader reads the row, is never started.
    const bool isRemoved = GENERATE(true, false);
    CAPTURE(isRemoved);
    TermFixture fixture;
    fixture.waitUntilLoaded();
    wire::Job job = TermFixture::jobMessage("job");
    job.set_queue(isRemoved ? "removed" : "quick");
    *job.mutable_queue_settings() = toMessage(Scheduling::Queue{.name = "removed", .service = "desk"});
    fixture.addToInbox("job", job.SerializeAsString());
    fixture.runUntil([&] {
        fixture.report("host-0");
        return !fixture.hostOf("job").empty();
    });
    SECTION("Also under the next leader")
    {
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        CHECK(fixture.storedProgress("job").queue().service() == "desk");
    }
}

TEST_CASE("A leader says how much of the inbox its count of pending jobs contains", "[leaderterm]")
{
    // Guards against counts that silently omit what entries put into the inbox while the leader reads it late.
    constexpr Milliseconds stall{300};
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.table.changesTime = stall;
    // Lets the call that is in progress end.
    fixture.io.run_for(Milliseconds(50));
    fixture.addToInbox("job-0");
    fixture.io.run_for(stall / 2);
    const wire::CountPendingReply before = fixture.countPending();
    CHECK(before.pending() == 0);
    CHECK(Milliseconds(before.inbox_age_ms()) >= stall / 2);
    CHECK(before.inbox_version() < fixture.versionInInbox("job-0"));
    const std::uint64_t version = fixture.versionInInbox("job-0");
    fixture.runUntil([&] { return fixture.countPending().pending() == 1; });
    const wire::CountPendingReply after = fixture.countPending();
    CHECK(after.inbox_version() >= version);
    CHECK(Milliseconds(after.inbox_age_ms()) >= stall);
}

TEST_CASE("A leader whose load takes long keeps its leadership", "[leaderterm]")
{
    // Guards against an endless series of leaders, each replaced while it loads: other candidates take over when the
    // leader's row has not changed for 1.8 s.
    constexpr Milliseconds takeOverAfter{1800};
    TermFixture fixture(1, Milliseconds(700));
    fixture.runUntil([&] { return fixture.table.countRows(StoreLayout::ControlPrefix) == 1; });
    std::string row;
    auto changedAt = std::chrono::steady_clock::now();
    auto longest = std::chrono::steady_clock::duration::zero();
    fixture.runUntil([&] {
        const std::string current = fixture.table.valueOf(StoreLayout::LeaderKey);
        const auto now = std::chrono::steady_clock::now();
        longest = std::max(longest, now - changedAt);
        changedAt = current == row ? changedAt : now;
        row = current;
        return fixture.countPending().is_leader();
    });
    CHECK(longest < takeOverAfter);
}

TEST_CASE("A host that reports to a loading leader is answered after the load", "[leaderterm]")
{
    // Guards against hosts that repeat their calls every 60 ms and take the processor share that the load needs.
    TermFixture fixture(1, Milliseconds(30));
    fixture.report("host-0");
    fixture.runUntil([&] { return fixture.replies > 0; });
    CHECK(fixture.lastReply.is_leader());
}

TEST_CASE("A host gets no leases before the store names the leader that allows them", "[leaderterm]")
{
    // Guards against TWICE: the next leader relies on the store for which leaders may have granted leases to a host.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.table.transactTime = Milliseconds(600);
    // Lets the calls of waitUntilLoaded() end.
    fixture.io.run_for(Milliseconds(50));
    const std::size_t before = fixture.answered;
    fixture.report("host-1");
    fixture.runUntil([&] { return fixture.answered > before; });
    CHECK(fixture.table.valueOf(StoreLayout::keyOf(StoreLayout::HostPrefix, "host-1")).empty());
    CHECK(fixture.lastReply.lease_ms() == 0);
    fixture.runUntil([&] { return fixture.table.countRows(StoreLayout::HostPrefix) == 2; });
    fixture.table.transactTime = Milliseconds(2);
    fixture.runUntil([&] {
        fixture.report("host-1");
        return fixture.lastReply.lease_ms() > 0;
    });
}

TEST_CASE("A host that reports again gets leases when the store no longer says that they end", "[leaderterm]")
{
    // Guards against TWICE: a successor would rely on the end of leases that have been renewed since.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.submit("job");
    fixture.runUntil([&] { return fixture.hostOf("job") == "host-0"; });
    fixture.runUntil([&] { return fixture.storedHost("host-0").leases_expire_store_ms() > 0; });
    const std::size_t before = fixture.answered;
    fixture.report("host-0");
    fixture.runUntil([&] { return fixture.answered > before; });
    CHECK(fixture.lastReply.lease_ms() > 0);
    CHECK(fixture.storedHost("host-0").leases_expire_store_ms() == 0);
}

TEST_CASE("A leader stays when most of its hosts are gone for good", "[leaderterm]")
{
    // Guards against an endless series of leaders that each resign because they count lost hosts as unreachable.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.report("host-1");
    fixture.report("host-2");
    fixture.runUntil([&] { return fixture.table.countRows(StoreLayout::HostPrefix) == 3; });
    fixture.options.leaseTimes = {.lease = Milliseconds(300), .contactGap = Milliseconds(200)};
    fixture.replaceLeader();
    const auto until = std::chrono::steady_clock::now() + Milliseconds(6500);
    while (std::chrono::steady_clock::now() < until) {
        fixture.report("host-0");
        fixture.io.run_for(Milliseconds(100));
    }
    CHECK(!fixture.term->isOver());
}

TEST_CASE("A leader that resigns says whether it has lost contact to most hosts", "[leaderterm]")
{
    // Guards against a successor that is cut off from the same hosts.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.report("host-1");
    fixture.report("host-2");
    fixture.runUntil([&] { return fixture.table.countRows(StoreLayout::HostPrefix) == 3; });
    const auto leaderRow = [&] {
        wire::Leadership row;
        row.ParseFromString(fixture.table.valueOf(StoreLayout::LeaderKey));
        return row;
    };

    SECTION("When it has")
    {
        const auto until = std::chrono::steady_clock::now() + Seconds(7);
        while (!fixture.term->isOver() && std::chrono::steady_clock::now() < until) {
            fixture.report("host-0");
            fixture.io.run_for(Milliseconds(100));
        }
        REQUIRE(fixture.term->isOver());
        CHECK(leaderRow().lost_contact());
    }
    SECTION("When it stops for another reason")
    {
        fixture.term->resign();
        fixture.runUntil([&] { return fixture.term->isOver(); });
        CHECK_FALSE(leaderRow().lost_contact());
    }
    CHECK(leaderRow().address().empty());
}

TEST_CASE("Tasks of a host that is lost with the leader start elsewhere in time", "[leaderterm]")
{
    // Guards against LOST: each new leader waited 15 s for such a host, counted from its own load.
    constexpr Milliseconds reportInterval{100};
    constexpr Milliseconds startupLimit{9000};
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.report("host-1");
    fixture.submit("job");
    fixture.runUntil([&] { return !fixture.hostOf("job").empty(); });
    const std::string lost = fixture.hostOf("job");
    const std::string remaining = lost == "host-0" ? "host-1" : "host-0";
    const std::size_t before = fixture.answered;
    const auto lostAt = std::chrono::steady_clock::now();
    fixture.report(lost);
    fixture.runUntil([&] { return fixture.answered > before; });

    std::size_t changes = 0;
    SECTION("After one change of leader")
    {
        changes = 1;
    }
    SECTION("After several changes of leader")
    {
        changes = 4;
    }
    bool agentRestarts = false;
    SECTION("When only its upstream is lost, and its agent is restarted in series with the leaders")
    {
        changes = 4;
        agentRestarts = true;
    }
    // A restarted agent has no answer of its upstream, and assumes that its predecessor has just renewed the leases.
    Scheduling::HostReport restarted{.host = lost, .silence = Milliseconds(1'000'000), .leaseLeft = Milliseconds(6000)};
    const auto reportRemaining = [&](Milliseconds duration) {
        const auto until = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < until) {
            fixture.report(remaining);
            if (agentRestarts) {
                ++restarted.agentIncarnation;
                fixture.send(restarted);
            }
            fixture.io.run_for(reportInterval);
        }
    };
    SECTION("When the leader is lost some seconds after the host")
    {
        reportRemaining(Milliseconds(4000));
        changes = 1;
    }
    for (std::size_t change = 0; change < changes; ++change) {
        fixture.replaceLeader();
        reportRemaining(Milliseconds(1500));
    }
    // The agent of the lost host may have renewed its leases until 7.5 s after its last report.
    constexpr Milliseconds longestLease{7500};
    while (fixture.hostOf("job") != remaining && std::chrono::steady_clock::now() < lostAt + startupLimit) {
        reportRemaining(reportInterval);
    }
    CHECK(fixture.hostOf("job") == remaining);
    CHECK(std::chrono::steady_clock::now() - lostAt > longestLease);
}

TEST_CASE("The next leader waits for the leases of an upstream that has restarted under its id",
          "[leaderterm][replaced]")
{
    // Guards against TWICE: the leases that calls for the former incarnation give the new one end later than those that
    // the leader allowed, and the next leader did not know of the restart.
    TermFixture fixture;
    fixture.options.leaseTimes = {
        .lease = Milliseconds(300), .contactGap = Milliseconds(200), .longestGranted = Milliseconds(3000)};
    fixture.replaceLeader();
    fixture.runUntil([&] {
        fixture.report("host-0");
        return fixture.lastReply.lease_ms() > 0;
    });
    Scheduling::HostReport restarted = fixture.reportOf("host-0");
    restarted.upstream->identity.incarnation = 2;
    restarted.fencedEpoch = fixture.directory.current().epoch;
    fixture.send(restarted);
    const auto restartedAt = std::chrono::steady_clock::now();
    fixture.submit("job");
    fixture.runUntil([&] { return !fixture.hostOf("job").empty(); });
    REQUIRE(fixture.hostOf("job") == "host-0");
    CHECK(fixture.storedHost("host-0").former_leases_expire_store_ms() > 0);

    SECTION("When the leader after it has not heard of the restart either")
    {
        fixture.replaceLeader();
    }
    SECTION("Also one after another leader that heard of it from an agent")
    {
        fixture.replaceLeader();
        restarted.fencedEpoch = 0;
        restarted.formerLeaseLeft = Milliseconds(3000);
        fixture.send(restarted);
        fixture.runUntil(
            [&] { return fixture.storedHost("host-0").granted_by_epoch() == fixture.directory.current().epoch; });
        CHECK(fixture.storedHost("host-0").former_leases_expire_store_ms() > 0);
        fixture.replaceLeader();
    }
    const auto until = restartedAt + Seconds(6);
    while (fixture.hostOf("job") == "host-0" && std::chrono::steady_clock::now() < until) {
        fixture.report("host-1");
        fixture.io.run_for(Milliseconds(50));
    }
    CHECK(fixture.hostOf("job") == "host-1");
    CHECK(std::chrono::steady_clock::now() - restartedAt > Milliseconds(3060));
}

TEST_CASE("A queue that the leader's newer configuration does not have takes no jobs", "[leaderterm][configuration]")
{
    // Guards against an entry with an old configuration that accepts jobs of a removed queue.
    TermFixture fixture;
    fixture.waitUntilLoaded();
    const std::uint64_t version = fixture.operators.current()->configurationVersion;
    const auto submit = [&](const std::string &queue, std::uint64_t callerVersion) {
        std::optional<wire::SubmitReply> reply;
        asio::co_spawn(
            fixture.io,
            [&]() -> asio::awaitable<void> {
                wire::SubmitRequest request;
                *request.mutable_job() = TermFixture::jobMessage("job");
                request.mutable_job()->set_queue(queue);
                request.set_configuration_version(callerVersion);
                reply = co_await fixture.term->submit(std::move(request));
            },
            asio::detached);
        fixture.runUntil([&] { return reply.has_value(); });
        return reply->outcome();
    };
    const auto isRemoved = [&](const std::string &queue, std::uint64_t callerVersion) {
        wire::CountPendingRequest request;
        request.set_queue(queue);
        request.set_configuration_version(callerVersion);
        return fixture.term->countPending(request).queue_removed();
    };

    SECTION("From a caller with an older configuration")
    {
        CHECK(submit("removed", version - 1) == wire::SubmitReply::QUEUE_REMOVED);
        CHECK(isRemoved("removed", version - 1));
    }
    SECTION("But a queue that only the caller knows yet does")
    {
        CHECK(submit("new", version + 1) == wire::SubmitReply::STORED);
        CHECK_FALSE(isRemoved("new", version + 1));
    }
    SECTION("And so does one of both configurations")
    {
        CHECK(submit("quick", version - 1) == wire::SubmitReply::STORED);
        CHECK_FALSE(isRemoved("quick", version - 1));
    }
}

TEST_CASE("A leader rejects only jobs that certainly never run", "[leaderterm][admission]")
{
    // Guards against a client that is told to submit a job again which an earlier attempt has stored.
    TermFixture fixture;
    std::vector<std::string> events;
    const auto countEvent = [&](std::string_view event) { events.emplace_back(event); };
    fixture.options.features = {.admission = true};
    fixture.options.admission = {.estimator = {.window = Seconds(1), .minimumEnds = 1}, .congestedFor = Seconds(0)};
    fixture.options.countEvent = countEvent;
    fixture.replaceLeader();
    fixture.waitUntilLoaded();
    const auto submitTo = [&](const std::shared_ptr<LeaderTerm> &term, const std::string &id, bool mayBeStored) {
        std::optional<wire::SubmitReply> reply;
        asio::co_spawn(
            fixture.io,
            [&]() -> asio::awaitable<void> {
                wire::SubmitRequest request;
                Scheduling::JobSpec spec{.id = id, .queue = "batch"};
                const bool isSmall = id.starts_with("small");
                spec.steps = {{.count = 1,
                               .request = {.cpuMillis = isSmall ? 100 : 4000},
                               .estimate = isSmall ? Milliseconds(1) : Milliseconds(100'000)}};
                *request.mutable_job() = toMessage(spec);
                request.set_may_be_stored(mayBeStored);
                reply = co_await term->submit(std::move(request));
            },
            asio::detached);
        fixture.runUntil([&] { return reply.has_value(); });
        return *reply;
    };
    const auto submit = [&](const std::string &id, bool mayBeStored = false) {
        return submitTo(fixture.term, id, mayBeStored).outcome();
    };
    const auto jobKey = [](const std::string &id) { return StoreLayout::keyOf(StoreLayout::JobPrefix, id); };

    // Two small jobs end at the two ends of the window, which shows a low rate. One large job occupies the only host,
    // and four wait.
    std::uint64_t ends = 0;
    const auto end = [&](const std::string &id) {
        fixture.runUntil([&] { return !fixture.started(id).empty(); });
        Scheduling::HostReport report = fixture.reportOf("host-0");
        report.ended.push_back({.number = ++ends, .run = fixture.started(id).front(), .end = Scheduling::RunEnd::Done});
        fixture.send(report);
        fixture.runUntil([&] { return fixture.query(id) == Scheduling::JobPhase::Completed; });
    };
    REQUIRE(submit("small-1") == wire::SubmitReply::STORED);
    REQUIRE(submit("small-2") == wire::SubmitReply::STORED);
    end("small-1");
    const TimePoint endedAt = suspendAwareNow();
    for (const char *id : {"running", "waiting-1", "waiting-2", "waiting-3", "waiting-4"}) {
        REQUIRE(submit(id) == wire::SubmitReply::STORED);
    }
    fixture.runUntil([&] { return suspendAwareNow() - endedAt > Milliseconds(1000); });
    end("small-2");

    SECTION("One that it does not know")
    {
        const wire::SubmitReply reply = submitTo(fixture.term, "new", false);
        REQUIRE(reply.outcome() == wire::SubmitReply::OVERLOADED);
        CHECK(reply.retry_after_ms() >= 1000);
        CHECK(reply.retry_after_ms() % 1000 == 0);
        CHECK(fixture.table.versionOf(jobKey("new")) == 0);
        // The two small jobs, whose outcome depends on how long the test takes.
        const auto isCompletion = [](const std::string &event) {
            return event == "job-in-time" || event == "job-late" || event == "job-expired";
        };
        CHECK(std::erase_if(events, isCompletion) == 2);
        CHECK(events == std::vector<std::string>{"job-rejected-overload"});

        SECTION("A copy of the request that arrives late is rejected as well")
        {
            CHECK(submit("new") == wire::SubmitReply::OVERLOADED);
        }
        SECTION("The next leader has no evidence and accepts it")
        {
            fixture.replaceLeader();
            fixture.waitUntilLoaded();
            CHECK(submit("new") == wire::SubmitReply::STORED);
        }
    }
    SECTION("Not one that the caller says may be stored")
    {
        CHECK(submit("lost-reply", true) == wire::SubmitReply::STORED);
        CHECK(fixture.table.versionOf(jobKey("lost-reply")) > 0);
    }
    SECTION("Not one that it knows")
    {
        CHECK(submit("waiting-1") == wire::SubmitReply::STORED);
    }
    SECTION("Not one that it has not read from the inbox yet")
    {
        fixture.table.hidesChanges = true;
        fixture.addToInbox("in-inbox", TermFixture::jobMessage("in-inbox").SerializeAsString());
        CHECK(submit("in-inbox") == wire::SubmitReply::STORED);
    }
    SECTION("Not while the store does not show whether it is stored")
    {
        fixture.table.refusesReads = true;
        CHECK(submit("unread") == wire::SubmitReply::STORED);
    }
    SECTION("Not one that the next leader has stored while this one has not noticed the change")
    {
        const std::shared_ptr<LeaderTerm> former = fixture.term;
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        REQUIRE(submit("stored-by-next") == wire::SubmitReply::STORED);
        CHECK(submitTo(former, "stored-by-next", false).outcome() != wire::SubmitReply::OVERLOADED);
    }
}

TEST_CASE("A job that was cancelled before it arrived does not run", "[leaderterm][tombstones]")
{
    // Guards against UNASKED: a client is told that no such job exists, and a submission that it sent before arrives
    // later and runs.
    const std::string id = "00000000000000d9";
    TermFixture fixture;
    fixture.waitUntilLoaded();
    const auto canceller = GENERATE(as<std::string_view>(), "the leader", "an entry that reaches no leader");
    const bool leaderChanges = GENERATE(false, true);
    const auto arrival = GENERATE(as<std::string_view>(), "in a call", "in the inbox", "in a call and in the inbox");
    CAPTURE(canceller, leaderChanges, arrival);

    if (canceller == "the leader") {
        const wire::CancelReply reply = fixture.cancelAndWait(id);
        CHECK(reply.outcome() == wire::CancelReply::UNKNOWN_JOB);
        CHECK(reply.remembered());
    } else {
        fixture.cancelInInbox(id);
        fixture.runUntil([&] { return fixture.versionInInbox(id + ".cancel") == 0; });
    }
    CHECK(fixture.table.countRows(StoreLayout::TombstonePrefix) == 1);
    if (leaderChanges) {
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
    }
    if (arrival != "in the inbox") {
        fixture.submit(id);
        fixture.runUntil([&] { return fixture.stored == 1; });
    }
    if (arrival != "in a call") {
        fixture.addToInbox(id);
        fixture.runUntil([&] { return fixture.versionInInbox(id) == 0; });
    }
    CHECK(fixture.query(id) == Scheduling::JobPhase::Cancelled);
    CHECK(fixture.countPending().pending() == 0);
    fixture.submit("other");
    fixture.runUntil([&] {
        fixture.report("host-0");
        return !fixture.started("other").empty();
    });
    CHECK(fixture.started(id).empty());
    CHECK(fixture.storedProgress(id).cancelled());
}

TEST_CASE("A cancellation and a submission that are read together count in the order of their writes",
          "[leaderterm][tombstones][inbox]")
{
    TermFixture fixture;
    fixture.waitUntilLoaded();
    fixture.table.hidesChanges = true;

    SECTION("A cancellation before a submission to another queue does not concern it")
    {
        // Guards against LOST: a job is shown as cancelled because another one with its id was.
        fixture.cancelInInbox("job", "batch");
        fixture.addToInbox("job");
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        CHECK(fixture.query("job") != Scheduling::JobPhase::Cancelled);
    }
    SECTION("A cancellation before a submission to its queue does")
    {
        fixture.cancelInInbox("job");
        fixture.addToInbox("job");
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        fixture.runUntil([&] { return fixture.versionInInbox("job") == 0; });
        CHECK(fixture.query("job") == Scheduling::JobPhase::Cancelled);
    }
    SECTION("And so does one after it")
    {
        fixture.addToInbox("job");
        fixture.cancelInInbox("job");
        fixture.replaceLeader();
        fixture.waitUntilLoaded();
        fixture.runUntil([&] { return fixture.versionInInbox("job.cancel") == 0; });
        CHECK(fixture.query("job") == Scheduling::JobPhase::Cancelled);
    }
}

TEST_CASE("A cancellation of an unknown job is confirmed only when it will be kept", "[leaderterm][tombstones]")
{
    TermFixture fixture;
    fixture.options.tombstones = {.limit = 2, .retention = Milliseconds(1500)};
    fixture.replaceLeader();
    fixture.waitUntilLoaded();

    SECTION("Not before it is stored")
    {
        // Guards against an answer that the next leader does not know of.
        fixture.table.transactTime = Milliseconds(200);
        fixture.cancel("job", "quick");
        fixture.io.run_for(Milliseconds(100));
        CHECK(fixture.cancelReplies == 0);
        fixture.runUntil([&] { return fixture.cancelReplies == 1; });
        CHECK(fixture.lastCancelReply.remembered());
        CHECK(fixture.table.countRows(StoreLayout::TombstonePrefix) == 1);
    }
    SECTION("Not for an entry of an earlier build, which does not say the queue")
    {
        const wire::CancelReply reply = fixture.cancelAndWait("job", "");
        CHECK(reply.outcome() == wire::CancelReply::UNKNOWN_JOB);
        CHECK_FALSE(reply.remembered());
    }
    SECTION("Not when too many are remembered, until some have expired")
    {
        // Guards against growth by a client that cancels jobs which never were.
        CHECK(fixture.cancelAndWait("a").remembered());
        CHECK(fixture.cancelAndWait("b").remembered());
        CHECK(fixture.cancelAndWait("c").outcome() == wire::CancelReply::TOO_MANY);
        CHECK(fixture.cancelAndWait("a").remembered());
        CHECK(fixture.table.countRows(StoreLayout::TombstonePrefix) == 2);
        // Within the interval of the leader's sweep.
        fixture.runUntil([&] {
            fixture.report("host-0");
            return fixture.table.countRows(StoreLayout::TombstonePrefix) == 0;
        });
        CHECK(fixture.cancelAndWait("c").remembered());
    }
}

} // namespace Carobflow
