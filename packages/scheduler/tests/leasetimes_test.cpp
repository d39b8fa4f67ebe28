#include "carobflow/scheduler/leasetimes.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("Every lease ends a fixed time after its leader's last write", "[leasetimes]")
{
    const LeaseTimes times;

    SECTION("Whatever the age of that write when the last grant is given")
    {
        // Guards against TWICE: a successor starts the tasks of a silent host when this time has passed.
        for (Milliseconds age{0}; age < Milliseconds(10000); age += Milliseconds(10)) {
            const Milliseconds grant = times.grantAt(age);
            if (grant > Milliseconds(0)) {
                const auto leaseEnd = age + grant + times.lease * 1.02;
                CHECK(leaseEnd < times.untilFreeAfterWrite());
            }
        }
    }
    SECTION("It is short enough for tasks that have to run again nine seconds after the loss of their host")
    {
        CHECK(times.untilFreeAfterWrite() < Milliseconds(9000));
    }
    SECTION("A running leader gives full grants between two writes, and none when the store is silent for long")
    {
        CHECK(times.grantAt(Milliseconds(0)) == times.grant);
        CHECK(times.grantAt(times.fullGrantAge) == times.grant);
        CHECK(times.grantAt(Milliseconds(3000)) == Milliseconds(0));
    }
    SECTION("Leases are no longer than upstreams allow, and not longer where they allow more")
    {
        CHECK(LeaseTimes::within(Milliseconds(2000)).lease == Milliseconds(2000));
        CHECK(LeaseTimes::within(Milliseconds(60000)).lease == times.lease);
    }
}

} // namespace Carobflow::Scheduling
