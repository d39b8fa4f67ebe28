#include "connectorfixture.h"

#include "carobflow/connectors/httpobjectstore.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

TEST_CASE_METHOD(ConnectorFixture, "Objects are stored and read over HTTP", "[objects]")
{
    StandIn::PlatformStandIn platform(io, {});
    HttpObjectStore store(client, {.endpoint = {.host = "127.0.0.1", .port = platform.port()}});

    SECTION("bytes of any value and keys with any character come back unchanged")
    {
        const std::string bytes("\0\r\n\xff{}", 6);
        for (const auto *key : {"sheet/3-ab", "checkpoint/đơn hàng?#%2F/1-0"}) {
            CHECK(isOk(run(store.put(key, bytes))));
            CHECK(valueOf(run(store.get(key))) == bytes);
        }
        CHECK(errorOf(run(store.get("checkpoint/đơn hàng?#%2f/1-0"))).kind == ErrorKind::NotFound);
    }
    SECTION("an unknown key is NotFound")
    {
        CHECK(errorOf(run(store.get("sheet/1"))).kind == ErrorKind::NotFound);
    }
    SECTION("a refused put is Unavailable, one without a response is Unknown")
    {
        control(platform.controlPort(), R"({"mode":"down","downReply":"503"})");
        CHECK(errorOf(run(store.put("a", "b"))).kind == ErrorKind::Unavailable);
        control(platform.controlPort(), R"({"downReply":"close"})");
        CHECK(errorOf(run(store.put("a", "b"))).kind == ErrorKind::Unknown);
        CHECK(errorOf(run(store.get("a"))).kind == ErrorKind::Unavailable);
    }
}
