#include "carobflow/scheduler/termhistory.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("The history of terms tells when a host last got a grant", "[termhistory]")
{
    // Guards against a wait that each change of leader starts anew, and against one that ends before the leases do.
    TermHistory history;
    CHECK(!history.lastGrant(1));
    history.add({.epoch = 1, .lastWrite = Milliseconds(1000)}, Milliseconds(0));
    history.add({.epoch = 2, .lastWrite = Milliseconds(4000)}, Milliseconds(0));
    history.add({.epoch = 5, .lastWrite = Milliseconds(9000)}, Milliseconds(0));

    SECTION("A host keeps the time of the last leader that heard it")
    {
        CHECK(history.lastGrant(1) == Milliseconds(1000));
        CHECK(history.lastGrant(2) == Milliseconds(4000));
        CHECK(history.lastGrant(5) == Milliseconds(9000));
    }
    SECTION("A host whose last leader is not known may have been heard by any")
    {
        CHECK(history.lastGrant(0) == Milliseconds(9000));
    }
    SECTION("A term that has been removed counts as the next one")
    {
        CHECK(history.lastGrant(3) == Milliseconds(9000));
        history.add({.epoch = 6, .lastWrite = Milliseconds(70000)}, Milliseconds(10000));
        CHECK(history.terms().size() == 1);
        CHECK(history.lastGrant(1) == Milliseconds(70000));
    }
    SECTION("The number of terms is bounded, and the newest are kept")
    {
        for (Epoch epoch = 6; epoch < 100; ++epoch) {
            history.add({.epoch = epoch, .lastWrite = Milliseconds(10000)}, Milliseconds(0));
        }
        CHECK(history.terms().size() < 20);
        CHECK(history.terms().back().epoch == 99);
    }
}

} // namespace Carobflow::Scheduling
