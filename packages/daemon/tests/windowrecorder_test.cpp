#include "carobflow/daemon/internal/windowrecorder.h"

#include <catch2/catch.hpp>

using namespace Carobflow;

// Guards against windows that the leader ignores because they contain too few requests, and against attributing a
// window to a task that ran during only part of it.
TEST_CASE("A window lasts until it has enough requests and lists only the job classes that ran throughout",
          "[windowrecorder]")
{
    const TimePoint start{std::chrono::hours(1)};
    const auto at = [start](int milliseconds) { return start + Milliseconds(milliseconds); };
    WindowRecorder recorder("desk", start);
    recorder.setInUse(start, 4, 8);
    for (int request = 1; request <= 18; ++request) {
        recorder.onCompleted(Milliseconds(request));
    }
    CHECK_FALSE(recorder.take(at(1000), {"print", "watch", "print"}));

    SECTION("enough requests end the window")
    {
        for (int request = 19; request <= 101; ++request) {
            recorder.onCompleted(Milliseconds(request));
        }
        recorder.setInUse(at(1000), 0, 8);
        const auto window = recorder.take(at(2000), {"print", "laminate", "print"});
        REQUIRE(window);
        CHECK(window->completed == 101);
        CHECK(window->p99Milliseconds == 100);
        CHECK(window->load == Approx(0.25));
        CHECK(window->length == Milliseconds(2000));
        CHECK(window->jobClasses == std::vector<std::string>{"print", "print"});
        CHECK_FALSE(recorder.take(at(3000), {}));
    }
    SECTION("the maximum length ends a window with few requests")
    {
        const auto window = recorder.take(at(5000), {"watch"});
        REQUIRE(window);
        CHECK(window->completed == 18);
    }
}
