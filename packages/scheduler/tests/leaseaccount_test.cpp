#include "carobflow/scheduler/leaseaccount.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("An agent asks for leases only while the announced incarnation answers", "[leaseaccount][replaced]")
{
    // Guards against TWICE: an upstream that had restarted read the lease of a call for its former incarnation as one
    // of 10 s, and its tasks were started elsewhere after 8.6 s.
    const LeaseTimes times;
    TimePoint now{Seconds(1000)};
    LeaseAccount account(times, now);
    account.allowUntil(now + Seconds(60));
    CHECK(account.allowedLease(now) == Milliseconds(0));
    account.onAnswered(now - Milliseconds(400), now);
    REQUIRE(account.allowedLease(now) == times.lease);

    SECTION("Not in the call after one without an answer")
    {
        now += Milliseconds(300);
        account.onUnanswered(now);
        CHECK(account.allowedLease(now) == Milliseconds(0));

        SECTION("Nor when an answer to an earlier call arrives")
        {
            account.onAnswered(now - Milliseconds(100), now + Milliseconds(50));
            CHECK(account.allowedLease(now + Milliseconds(60)) == Milliseconds(0));
        }
        SECTION("Until a later call has been answered")
        {
            account.onAnswered(now + Milliseconds(100), now + Milliseconds(110));
            CHECK(account.allowedLease(now + Milliseconds(120)) == times.lease);
        }
    }
    SECTION("Not in the first call for another incarnation")
    {
        account.onAnnounced();
        CHECK(account.allowedLease(now) == Milliseconds(0));
    }
    SECTION("Not after a silence")
    {
        CHECK(account.allowedLease(now + Milliseconds(1300)) == Milliseconds(0));
    }
}

TEST_CASE("After a restart the longest lease that the upstream grants counts", "[leaseaccount][replaced]")
{
    const LeaseTimes times = LeaseTimes::within(Milliseconds(10000));
    REQUIRE(times.lease < times.longestGranted);
    const TimePoint now{Seconds(1000)};
    LeaseAccount account(times, now);
    CHECK(account.formerExpireBy() == TimePoint{});
    account.onRestarted(now);
    // The upstream's clock may be 2% slow.
    CHECK(account.formerExpireBy() > now + times.longestGranted * 1.02);
    CHECK(account.expireBy() == account.formerExpireBy());

    SECTION("And a lease that ends later counts as well")
    {
        account.onRequested(now + Milliseconds(8000), times.lease);
        CHECK(account.expireBy() > now + Milliseconds(8000) + times.lease * 1.02);
    }
}

} // namespace Carobflow::Scheduling
