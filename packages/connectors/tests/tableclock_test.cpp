#include "carobflow/connectors/tableclock.h"

#include <catch2/catch.hpp>

namespace Carobflow
{

TEST_CASE("The clock of a table is known within the duration of a call", "[tableclock]")
{
    // Guards against a leader that ends the wait for a lost host too early because a reply was slow.
    TableClock clock;
    const TimePoint sentAt{Seconds(100)};
    CHECK(!clock.earliest(sentAt));
    CHECK(!clock.latest(sentAt));
    clock.observe(Milliseconds(5000), sentAt, sentAt + Milliseconds(300));
    const TimePoint later = sentAt + Milliseconds(1300);
    CHECK(clock.earliest(later) == Milliseconds(6000));
    CHECK(clock.latest(later) == Milliseconds(6300));

    SECTION("A faster reply makes the bounds tighter")
    {
        clock.observe(Milliseconds(6200), later, later + Milliseconds(4));
        CHECK(clock.earliest(later + Milliseconds(4)) == Milliseconds(6200));
        CHECK(clock.latest(later + Milliseconds(4)) == Milliseconds(6204));
    }
    SECTION("A reply that contradicts the bounds replaces them, however slow it is")
    {
        // Guards against TWICE: after a new start of the clock, leases would count as expired for up to 5 s.
        clock.observe(Milliseconds(40), later, later + Milliseconds(500));
        CHECK(clock.latest(later + Milliseconds(500)) == Milliseconds(540));
        CHECK(clock.earliest(later + Milliseconds(500)) == Milliseconds(40));
        clock.observe(Milliseconds(90000), later, later + Milliseconds(600));
        CHECK(clock.earliest(later + Milliseconds(600)) == Milliseconds(90000));
    }
    SECTION("A slower reply is used only when the last observation is old")
    {
        clock.observe(Milliseconds(6200), later, later + Milliseconds(500));
        CHECK(clock.latest(later) == Milliseconds(6300));
        const TimePoint muchLater = later + Seconds(10);
        clock.observe(Milliseconds(16200), muchLater, muchLater + Milliseconds(500));
        CHECK(clock.earliest(muchLater + Milliseconds(500)) == Milliseconds(16200));
    }
}

} // namespace Carobflow
