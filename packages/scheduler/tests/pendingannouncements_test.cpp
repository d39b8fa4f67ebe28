#include "carobflow/scheduler/pendingannouncements.h"

#include <string>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("Pending announcements are bounded and asked about in turn", "[pendingannouncements][foreign]")
{
    PendingAnnouncements pending({.limit = 3, .retention = Seconds(5)});
    const TimePoint start = TimePoint() + Seconds(100);
    const auto identityOf = [](int number) { return UpstreamIdentity{.id = "i-" + std::to_string(number)}; };
    const auto add = [&](int number, std::uint64_t sequence, TimePoint now) {
        pending.add({.upstream = {.identity = identityOf(number)}, .sequence = sequence}, now);
    };
    CHECK_FALSE(pending.next(start));
    for (int number = 0; number < 3; ++number) {
        add(number, 1, start + Milliseconds(number));
    }

    SECTION("Each identity has its turn")
    {
        // Guards against an upstream that is never asked about because another identity does not get an answer.
        for (const int number : {0, 1, 2, 0, 1}) {
            CHECK(pending.next(start)->upstream.identity == identityOf(number));
        }
    }
    SECTION("The newest announcement of an identity is kept")
    {
        add(1, 4, start);
        add(1, 2, start);
        CHECK(pending.take(identityOf(1))->sequence == 4);
        CHECK_FALSE(pending.take(identityOf(1)));
    }
    SECTION("Beyond the limit the one that was announced longest ago makes room")
    {
        // Guards against growth by a program that invents identities.
        add(0, 2, start + Seconds(1));
        add(3, 1, start + Seconds(1));
        CHECK_FALSE(pending.take(identityOf(1)));
        CHECK(pending.take(identityOf(0)));
        CHECK(pending.take(identityOf(3)));
    }
    SECTION("Those that are not announced again are dropped")
    {
        add(2, 2, start + Seconds(4));
        CHECK(pending.next(start + Seconds(6))->upstream.identity == identityOf(2));
        CHECK_FALSE(pending.take(identityOf(0)));
        CHECK_FALSE(pending.next(start + Seconds(10)));
    }
}

} // namespace Carobflow::Scheduling
