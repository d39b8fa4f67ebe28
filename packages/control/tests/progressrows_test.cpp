#include "carobflow/control/progressrows.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storedrows.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

#include <catch2/catch.hpp>

namespace Carobflow
{

namespace wire = carobflow::control;

namespace
{

constexpr TransactionLimits Limits{.entries = 98, .bytes = 740'000, .rowBytes = 49'152};
constexpr std::size_t MaxCheckpointBytes = 4000;

/// The rows of one job in a store that applies every write.
class StoredJobFixture
{
public:
    StoredJobFixture(std::uint32_t tasks, std::size_t checkpointBytes)
        : rows(specOf(tasks))
    {
        progress.started = true;
        for (std::uint32_t index = 0; index < tasks; ++index) {
            progress.tasks.push_back({.id = {.job = "job", .index = index},
                                      .lastRun = 2,
                                      .failures = 1,
                                      .checkpoint = std::string(checkpointBytes, static_cast<char>('a' + index % 26)),
                                      .crashedOn = {std::string(HostNameBytes, 'c')},
                                      .placements = {{std::string(HostNameBytes, 'h'), 2}}});
        }
    }

    static Scheduling::JobSpec specOf(std::uint32_t tasks)
    {
        return {.id = "job", .queue = "batch", .steps = {{.count = tasks, .checkpointing = true}}};
    }

    /// Writes what has changed.
    ProgressRows::Changes write()
    {
        ProgressRows::Changes changes = rows.changes(progress, Limits);
        for (const Mutation &mutation : changes.mutations) {
            stored[mutation.key] = *mutation.value;
        }
        rows.markWritten();
        return changes;
    }

    /// What the next leader reads; empty when it cannot use the rows.
    std::optional<Scheduling::JobProgress> read() const
    {
        std::vector<Row> all;
        for (const auto &[key, value] : stored) {
            all.push_back({.key = key, .value = value});
        }
        auto found = StoredRows::readAllProgress(all, StoreLayout::ProgressPrefix);
        if (!found.contains("job")) {
            return std::nullopt;
        }
        std::ranges::sort(found.at("job").tasks, {}, &Scheduling::TaskProgress::id);
        return std::move(found.at("job"));
    }

    static constexpr std::size_t HostNameBytes = 40;

    ProgressRows rows;
    Scheduling::JobProgress progress;
    std::map<std::string, std::string> stored;
};

std::size_t bytesOf(const ProgressRows::Changes &changes)
{
    return std::accumulate(
        changes.mutations.begin(), changes.mutations.end(), std::size_t{0}, [](std::size_t sum, const Mutation &row) {
            return sum + row.key.size() + row.value->size();
        });
}

} // namespace

TEST_CASE("The progress of every job fits into rows and writes that the store accepts", "[progressrows]")
{
    // Guards against a write that the store rejects however often it is sent, which holds up all other jobs.
    const std::uint32_t tasks = GENERATE(1, 40, 41, 200, 1000);
    const std::size_t checkpointBytes = GENERATE(0, 20, 64, 1000, 4000);
    CAPTURE(tasks, checkpointBytes);
    StoredJobFixture fixture(tasks, checkpointBytes);
    const ProgressRows::Changes first = fixture.write();
    for (const Mutation &row : first.mutations) {
        CHECK(row.value->size() <= Limits.rowBytes);
    }
    CHECK(bytesOf(first) + Scheduling::JobLimits::Bytes <= Limits.bytes);
    CHECK(first.mutations.size() <= 30);

    SECTION("And the next leader reads all of it but the checkpoints for which there is no room")
    {
        const auto read = fixture.read();
        REQUIRE(read);
        REQUIRE(read->tasks.size() == tasks);
        std::size_t omitted = 0;
        for (std::size_t index = 0; index < tasks; ++index) {
            const Scheduling::TaskProgress &before = fixture.progress.tasks[index];
            const Scheduling::TaskProgress &after = read->tasks[index];
            CHECK(after.id == before.id);
            CHECK(after.placements == before.placements);
            CHECK(after.crashedOn == before.crashedOn);
            omitted += after.checkpoint == before.checkpoint ? 0 : 1;
            CHECK((after.checkpoint == before.checkpoint || after.checkpoint.empty()));
        }
        CHECK(omitted == first.omittedCheckpoints);
        CHECK((checkpointBytes > 64 || omitted == 0));
    }
}

TEST_CASE("A change of a large job writes few bytes", "[progressrows]")
{
    constexpr std::uint32_t tasks = 1000;
    StoredJobFixture fixture(tasks, 64);
    const std::size_t all = bytesOf(fixture.write());
    fixture.progress.tasks[500].placements.clear();
    fixture.progress.tasks[500].checkpoint = "at the end";
    const ProgressRows::Changes change = fixture.write();
    CHECK(change.mutations.size() == 1);
    CHECK(bytesOf(change) < all / 20);
    CHECK(fixture.read()->tasks[500].checkpoint == "at the end");

    SECTION("A new checkpoint of a running task is not written by itself")
    {
        fixture.progress.tasks[0].checkpoint = "newer";
        CHECK(bytesOf(fixture.write()) < 100);
    }
    SECTION("A change of the job's state writes one row")
    {
        fixture.progress.cancelled = true;
        CHECK(bytesOf(fixture.write()) < 100);
        CHECK(fixture.read()->cancelled);
    }
}

TEST_CASE("Checkpoints of tasks that do not run are kept first", "[progressrows]")
{
    // Guards against work that is lost although the upstream of another task lists that task's checkpoint.
    StoredJobFixture fixture(ProgressRows::TasksPerRow, MaxCheckpointBytes);
    fixture.progress.tasks.back().placements.clear();
    CHECK(fixture.write().omittedCheckpoints > 0);
    CHECK(fixture.read()->tasks.back().checkpoint.size() == MaxCheckpointBytes);
}

TEST_CASE("Rows of a large job are used only when all are there", "[progressrows][odd]")
{
    StoredJobFixture fixture(200, 64);
    fixture.write();
    REQUIRE(fixture.read());

    SECTION("A missing one hides which tasks have finished")
    {
        // Guards against running finished tasks again.
        fixture.stored.erase(StoreLayout::taskRowKey("job", 3));
        CHECK_FALSE(fixture.read());
    }
    SECTION("An unreadable one as well")
    {
        fixture.stored[StoreLayout::taskRowKey("job", 3)] = "\xff\xff";
        CHECK_FALSE(fixture.read());
    }
    SECTION("One of an earlier build holds all tasks")
    {
        wire::JobProgress before = toMessage(fixture.progress);
        fixture.stored = {{StoreLayout::keyOf(StoreLayout::ProgressPrefix, "job"), before.SerializeAsString()}};
        REQUIRE(fixture.read());
        CHECK(fixture.read()->tasks.size() == 200);

        SECTION("Until the first write splits it")
        {
            fixture.rows = ProgressRows(StoredJobFixture::specOf(200));
            fixture.write();
            REQUIRE(fixture.read());
            CHECK(fixture.read()->tasks.size() == 200);
            CHECK(fixture.stored.size() == fixture.rows.keys().size());
        }
    }
}

} // namespace Carobflow
