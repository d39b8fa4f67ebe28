#include "carobflow/control/stallwatch.h"

#include <catch2/catch.hpp>

namespace Carobflow
{

TEST_CASE("After a long stall requests count as old until the process has caught up", "[stallwatch]")
{
    // Guards against a submission that lay in a socket for longer than the cancellation of its job is remembered.
    const TimePoint start = TimePoint() + Seconds(100);
    StallWatch watch({.limit = Seconds(60), .catchUp = Seconds(5)}, start);
    for (int second = 1; second <= 10; ++second) {
        watch.tick(start + Seconds(second));
    }
    const TimePoint last = start + Seconds(10);
    CHECK_FALSE(watch.isSuspect(last));

    SECTION("A short stall is none")
    {
        CHECK_FALSE(watch.isSuspect(last + Seconds(60)));
        watch.tick(last + Seconds(60));
        CHECK_FALSE(watch.isSuspect(last + Seconds(60)));
    }
    SECTION("Requests that are read before the first tick are old")
    {
        CHECK(watch.isSuspect(last + Seconds(61)));
    }
    SECTION("So are those that are read soon after it")
    {
        watch.tick(last + Seconds(70));
        watch.tick(last + Seconds(71));
        CHECK(watch.isSuspect(last + Seconds(74)));
        watch.tick(last + Seconds(75));
        CHECK_FALSE(watch.isSuspect(last + Seconds(75)));
    }
}

} // namespace Carobflow
