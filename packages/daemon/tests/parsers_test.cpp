#include "carobflow/daemon/internal/apijson.h"
#include "carobflow/daemon/internal/localannouncement.h"
#include "carobflow/daemon/internal/windowrecorder.h"

#include <catch2/catch.hpp>

namespace Carobflow
{

TEST_CASE("A local announcement is parsed completely or rejected with the name of the invalid field", "[announcement]")
{
    const auto good = parseLocalAnnouncement(
        R"({"service":"repair-desk","address":"127.0.0.1:8000","slots":8,"connections":64})", false);
    REQUIRE(isOk(good));
    CHECK(valueOf(good).service == "repair-desk");
    CHECK(valueOf(good).address.port == 8000);
    CHECK(valueOf(good).slots == 8);
    CHECK(valueOf(good).connections == 64);
    CHECK(isOk(parseLocalAnnouncement(R"({"service":"repair-desk"})", true)));

    const std::pair<const char *, const char *> bad[] = {
        {"", "not a JSON object"},
        {"[]", "not a JSON object"},
        {R"({"address":"127.0.0.1:8000","slots":8,"connections":64})", "'service'"},
        {R"({"service":"d","slots":8,"connections":64})", "'address'"},
        {R"({"service":"d","address":"desk:8000","slots":8,"connections":64})", "'address'"},
        {R"({"service":"d","address":"127.0.0.1:8000","slots":0,"connections":64})", "'slots'"},
        {R"({"service":"d","address":"127.0.0.1:8000","slots":8,"connections":"64"})", "'connections'"},
        {R"({"service":"d","address":"127.0.0.1:8000","slots":1e9,"connections":64})", "'slots'"},
    };
    for (const auto &[body, field] : bad) {
        const auto announcement = parseLocalAnnouncement(body, false);
        INFO(body);
        REQUIRE(!isOk(announcement));
        CHECK(errorOf(announcement).kind == ErrorKind::InvalidArgument);
        CHECK(errorOf(announcement).message.find(field) != std::string::npos);
    }
}

TEST_CASE("A job is parsed completely or rejected with the name of the invalid field", "[api]")
{
    const auto body = [](const std::string &more) {
        return R"({"id":"j","team":"t","jobClass":"c","cpuMillis":1000,"memoryMiB":1,"runSeconds":5)" + more + "}";
    };
    const auto job = parseJobSpec(body(R"(,"kind":"check","urgency":"urgent","deadlineUnixSeconds":9)"));
    REQUIRE(isOk(job));
    CHECK(valueOf(job).kind == JobKind::Check);
    CHECK(valueOf(job).urgency == Urgency::Urgent);
    CHECK(valueOf(job).declared == Resources{.cpuMillis = 1000, .memoryMiB = 1, .accelerators = 0});
    CHECK(valueOf(job).deadlineUnixSeconds == 9);

    const std::pair<std::string, const char *> bad[] = {
        {"[1]", "not a JSON object"},
        {"{", "not a JSON object"},
        {R"({"id":"j"})", "'team'"},
        {body(R"(,"id":"a b")"), "'id'"},
        {body(R"(,"id":"a/b")"), "'id'"},
        {body(R"(,"id":")" + std::string(201, 'x') + "\""), "'id'"},
        {body(R"(,"kind":"loop")"), "'kind'"},
        {body(R"(,"urgency":"soon")"), "'urgency'"},
        {body(R"(,"cpuMillis":0)"), "'cpuMillis'"},
        {body(R"(,"memoryMiB":1.5)"), "'memoryMiB'"},
        {body(R"(,"runSeconds":2000000000000)"), "'runSeconds'"},
        {body(R"(,"accelerators":-1)"), "'accelerators'"},
    };
    for (const auto &[text, field] : bad) {
        const auto refused = parseJobSpec(text);
        INFO(text);
        REQUIRE(!isOk(refused));
        CHECK(errorOf(refused).message.find(field) != std::string::npos);
    }
}

TEST_CASE("Errors map to the documented HTTP status and outcome", "[api]")
{
    const auto statusOf = [](ErrorKind kind) {
        const auto response = errorResponse({kind, "message"});
        return std::pair(response.status, std::string(findHeader(response.headers, "Carobflow-Outcome")));
    };
    // Guards against reporting `not-run` for a request that may have run.
    CHECK(statusOf(ErrorKind::Unavailable) == std::pair(503U, std::string("not-run")));
    CHECK(statusOf(ErrorKind::Unknown) == std::pair(504U, std::string("unknown")));
    CHECK(statusOf(ErrorKind::Timeout) == std::pair(504U, std::string("unknown")));
    CHECK(statusOf(ErrorKind::Conflict).first == 409);
    CHECK(statusOf(ErrorKind::NotFound).first == 404);
    CHECK(statusOf(ErrorKind::Internal).first == 500);
}

TEST_CASE("Paths are matched segment by segment", "[api]")
{
    using Segments = std::vector<std::string_view>;
    CHECK(splitPath("/v1/datacentres/hanoi/out?x=1") == Segments{"datacentres", "hanoi", "out"});
    CHECK(splitPath("/v1/").empty());
    CHECK(matchesPath(Segments{"jobs", "*"}, Segments{"jobs", "a"}));
    CHECK_FALSE(matchesPath(Segments{"jobs", "*"}, Segments{"jobs", ""}));
    CHECK_FALSE(matchesPath(Segments{"jobs", "*"}, Segments{"jobs", "a", "b"}));
    CHECK_FALSE(matchesPath(Segments{"jobs"}, Segments{"sheet"}));
}

TEST_CASE("A window contains only the tail latency and load of its own period", "[window]")
{
    const TimePoint start(std::chrono::seconds(100));
    WindowRecorder recorder("desk", start);
    recorder.setInUse(start, 4, 8);
    recorder.setInUse(start + Milliseconds(500), 8, 8);
    for (int index = 1; index <= 101; ++index) {
        recorder.onCompleted(Milliseconds(index));
    }
    const auto first = recorder.take(start + Milliseconds(1000), {"reseam"});
    REQUIRE(first);
    CHECK(first->service == "desk");
    CHECK(first->completed == 101);
    CHECK(first->p99Milliseconds == Approx(100));
    CHECK(first->load == Approx(0.75));
    CHECK(first->length == Milliseconds(1000));
    CHECK(first->jobClasses == std::vector<std::string>{"reseam"});

    // Guards against values that leak into the next window; only the slot usage carries over. A window with too few
    // requests lasts five seconds and lists only the job classes that ran throughout.
    CHECK_FALSE(recorder.take(start + Milliseconds(3000), {"reseam", "proof"}));
    const auto second = recorder.take(start + Milliseconds(6000), {"proof"});
    REQUIRE(second);
    CHECK(second->completed == 0);
    CHECK(second->p99Milliseconds == 0);
    CHECK(second->load == Approx(1));
    CHECK(second->length == Milliseconds(5000));
    CHECK(second->jobClasses == std::vector<std::string>{"proof"});

    recorder.setInUse(start + Milliseconds(6000), 0, 0);
    const auto third = recorder.take(start + Milliseconds(11000), {});
    REQUIRE(third);
    CHECK(third->load == 0);
}

} // namespace Carobflow
