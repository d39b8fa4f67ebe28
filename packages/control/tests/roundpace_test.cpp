#include "carobflow/control/roundpace.h"

#include <catch2/catch.hpp>

namespace Carobflow
{

TEST_CASE("A leader under load combines changes into fewer rounds", "[control][roundpace]")
{
    RoundPace pace({.interval = Milliseconds(20), .burst = 3});
    TimePoint now{Seconds(1000)};
    const auto round = [&] {
        now += pace.delay(now);
        pace.onRound(now);
    };
    // Guards against starts that wait although the leader has little to do.
    SECTION("A few rounds follow each other at once")
    {
        for (int count = 0; count < 3; ++count) {
            CHECK(pace.delay(now) == Duration(0));
            pace.onRound(now);
        }
        SECTION("Until they come too often")
        {
            CHECK(pace.delay(now) == Milliseconds(20));
            CHECK(pace.delay(now + Milliseconds(15)) == Milliseconds(5));
            CHECK(pace.delay(now + Milliseconds(20)) == Duration(0));
        }
        SECTION("And again after a pause")
        {
            now += Milliseconds(60);
            pace.onRound(now);
            pace.onRound(now);
            CHECK(pace.delay(now) == Duration(0));
        }
    }
    SECTION("Rounds at a low rate are never delayed")
    {
        for (int count = 0; count < 100; ++count) {
            CHECK(pace.delay(now) == Duration(0));
            pace.onRound(now);
            now += Milliseconds(25);
        }
    }
    // Guards against a leader that spends its processor share on a plan and a write for each report.
    SECTION("Rounds at a high rate take place once in each interval")
    {
        const TimePoint began = now;
        for (int count = 0; count < 53; ++count) {
            CHECK(pace.delay(now) <= Milliseconds(20));
            round();
        }
        CHECK(now - began == Milliseconds(1000));
    }
    // Guards against a delay that grows without bound, which would let leases lapse.
    SECTION("Rounds that take place in spite of the delay add no more than one interval each")
    {
        for (int count = 0; count < 3; ++count) {
            pace.onRound(now);
        }
        pace.onRound(now + Milliseconds(19));
        CHECK(pace.delay(now + Milliseconds(20)) == Milliseconds(20));
    }
}

} // namespace Carobflow
