#include "carobflow/core/retrybudget.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

// Guards against retries that multiply the load of a service that is already failing.
TEST_CASE("Retries are limited to a share of the requests of each service", "[retrybudget]")
{
    RetryBudget budget({.ratio = 0.5, .burst = 2});
    REQUIRE(budget.tryTake("desk"));
    REQUIRE(budget.tryTake("desk"));

    SECTION("an exhausted budget allows no retry")
    {
        CHECK_FALSE(budget.tryTake("desk"));
    }
    SECTION("two requests earn one retry")
    {
        budget.onRequest("desk");
        CHECK_FALSE(budget.tryTake("desk"));
        budget.onRequest("desk");
        CHECK(budget.tryTake("desk"));
        CHECK_FALSE(budget.tryTake("desk"));
    }
    SECTION("the budget never exceeds the burst")
    {
        for (int i = 0; i < 100; ++i) {
            budget.onRequest("desk");
        }
        CHECK(budget.tryTake("desk"));
        CHECK(budget.tryTake("desk"));
        CHECK_FALSE(budget.tryTake("desk"));
    }
    SECTION("another service has its own budget")
    {
        CHECK(budget.tryTake("proofs"));
    }
}
