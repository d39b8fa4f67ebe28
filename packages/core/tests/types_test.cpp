#include "carobflow/core/types.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

// Guards against a hash that differs between builds: processes would then disagree on the shard of a job.
TEST_CASE("The shard of a name is the same in every build", "[types]")
{
    CHECK(stableHash("") == 0xda39a3ee5e6b4b0dULL);
    CHECK(shardOf("anything", 1) == 0);
    CHECK(shardOf("reseam-1", 72) == shardOf("reseam-1", 72));
}

TEST_CASE("Resources fit only when each amount fits", "[types]")
{
    const Resources capacity{.cpuMillis = 32000, .memoryMiB = 128000, .accelerators = 1};

    SECTION("an equal amount fits")
    {
        CHECK(capacity.fitsIn(capacity));
    }
    SECTION("one amount too large does not fit")
    {
        CHECK_FALSE((capacity + Resources{.accelerators = 1}).fitsIn(capacity));
    }
}
