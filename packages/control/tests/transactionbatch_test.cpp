#include "carobflow/control/transactionbatch.h"

#include <catch2/catch.hpp>

namespace Carobflow
{

TEST_CASE("A batch stays within the limits of the table", "[transactionbatch]")
{
    TransactionBatch batch({.entries = 3, .bytes = 20});
    REQUIRE(batch.add({{.key = "a", .value = "1"}, {.key = "b", .value = std::nullopt}}));

    SECTION("A group beyond the number of entries is left out as a whole")
    {
        CHECK_FALSE(batch.add({{.key = "c", .value = "3"}, {.key = "d", .value = "4"}}));
        CHECK(batch.take().size() == 2);
    }
    SECTION("A group beyond the number of bytes is left out, and a smaller one still fits")
    {
        CHECK_FALSE(batch.add({{.key = "c", .value = std::string(17, 'x')}}));
        CHECK(batch.add({{.key = "c", .value = std::string(16, 'x')}}));
    }
    SECTION("After its mutations were taken it has its full capacity again")
    {
        CHECK(batch.take().size() == 2);
        CHECK(batch.isEmpty());
        CHECK(batch.add({{.key = "c", .value = std::string(19, 'x')}}));
    }
}

} // namespace Carobflow
