#include "carobflow/scheduler/tombstones.h"

#include <string>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("Cancellations of unknown jobs are remembered within bounds", "[tombstones]")
{
    using Outcome = Tombstones::Outcome;
    const TimePoint start = TimePoint() + Seconds(100);
    Tombstones tombstones({.limit = 3, .retention = Seconds(240)});
    REQUIRE(tombstones.add("a", "quick", start) == Outcome::Added);

    SECTION("For the queue from which the job was cancelled")
    {
        // Guards against a job that is not run because of a cancellation of another client's job with the same id.
        CHECK(tombstones.covers("a", "quick"));
        CHECK_FALSE(tombstones.covers("a", "batch"));
        CHECK_FALSE(tombstones.covers("b", "quick"));
        CHECK(tombstones.add("a", "batch", start) == Outcome::Added);
        CHECK(tombstones.covers("a", "batch"));
        CHECK(tombstones.size() == 2);
    }
    SECTION("A repeated cancellation is written again only when the first is half over")
    {
        // Guards against a write for each repetition, and against an answer that holds for seconds only.
        CHECK(tombstones.add("a", "quick", start + Seconds(120)) == Outcome::Known);
        CHECK(tombstones.add("a", "quick", start + Seconds(121)) == Outcome::Added);
        CHECK(tombstones.takeExpired(start + Seconds(360)).empty());
        CHECK(tombstones.takeExpired(start + Seconds(361)) == std::vector<std::string>{"a"});
        CHECK_FALSE(tombstones.covers("a", "quick"));
        CHECK(tombstones.size() == 0);
    }
    SECTION("Beyond the limit none is added, and those before are kept")
    {
        // Guards against growth by a client that cancels jobs which never were, and against answers that are not kept.
        CHECK(tombstones.add("b", "quick", start) == Outcome::Added);
        CHECK(tombstones.add("c", "quick", start) == Outcome::Added);
        CHECK(tombstones.add("d", "quick", start) == Outcome::Full);
        CHECK_FALSE(tombstones.covers("d", "quick"));
        CHECK(tombstones.add("a", "quick", start) == Outcome::Known);
        CHECK(tombstones.add("a", "batch", start) == Outcome::Full);
        SECTION("But one that a client has been told of is")
        {
            tombstones.addPromised("d", "quick", start);
            CHECK(tombstones.covers("d", "quick"));
            CHECK(tombstones.size() == 4);
        }
        SECTION("Until some have expired")
        {
            CHECK(tombstones.takeExpired(start + Seconds(240)).size() == 3);
            CHECK(tombstones.add("d", "quick", start + Seconds(240)) == Outcome::Added);
        }
    }
    SECTION("One id is remembered for a limited number of queues")
    {
        // Guards against a row that outgrows the store.
        Tombstones many({.limit = 1000, .retention = Seconds(240)});
        for (int queue = 0; queue < 16; ++queue) {
            CHECK(many.add("a", "queue-" + std::to_string(queue), start) == Outcome::Added);
        }
        CHECK(many.add("a", "queue-16", start) == Outcome::Full);
        CHECK(many.add("b", "queue-16", start) == Outcome::Added);
    }
    SECTION("Stored ones are added to those that are known")
    {
        tombstones.restore("a", {"batch", "quick"}, start + Seconds(10));
        CHECK(tombstones.size() == 2);
        CHECK(tombstones.find("a")->until == start + Seconds(240));
        tombstones.restore("b", {"batch"}, start + Seconds(10));
        CHECK(tombstones.takeExpired(start + Seconds(10)) == std::vector<std::string>{"b"});
    }
}

} // namespace Carobflow::Scheduling
