#include "carobflow/scheduler/leasetimes.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("Every lease ends a fixed time after its leader's last write", "[leasetimes]")
{
    const LeaseTimes times;

    SECTION("Whatever the age of that write when the last report is answered")
    {
        // Guards against TWICE: a successor starts the tasks of a silent host when this time has passed.
        for (Milliseconds age{0}; age < Milliseconds(10000); age += Milliseconds(10)) {
            const Milliseconds left = times.leaseAfterReport(age);
            if (left > Milliseconds(0)) {
                const auto lastLease = std::min(left, times.lease);
                CHECK(age + left + lastLease * 0.02 < times.untilFreeAfterWrite());
            }
        }
    }
    SECTION("It is short enough for tasks that have to run again nine seconds after the loss of their host")
    {
        CHECK(times.untilFreeAfterWrite() < Milliseconds(9000));
    }
    SECTION("A running leader allows full leases between two writes, and none when the store is silent for long")
    {
        CHECK(times.leaseAfterReport(Milliseconds(0)) == times.contactGap + times.lease);
        CHECK(times.leaseAfterReport(times.fullLeaseAge) == times.contactGap + times.lease);
        CHECK(times.leaseAfterReport(Milliseconds(9000)) == Milliseconds(0));
    }
    SECTION("An overloaded leader whose writes take two seconds still keeps tasks running")
    {
        // Guards against LOST: with no renewals at all, leases ended and starts were refused while writes were slow.
        CHECK(times.leaseAfterReport(Milliseconds(4000)) > Milliseconds(4000));
    }
    SECTION("Leases are no longer than upstreams allow, and not longer where they allow more")
    {
        CHECK(LeaseTimes::within(Milliseconds(2000)).lease == Milliseconds(2000));
        CHECK(LeaseTimes::within(Milliseconds(60000)).lease == times.lease);
    }
}

} // namespace Carobflow::Scheduling
