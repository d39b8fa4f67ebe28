#include "carobflow/logging/internal/nonblockinglinebuffer.h"

#include <array>
#include <ostream>
#include <string>

#include <catch2/catch.hpp>
#include <unistd.h>

namespace Carobflow
{

namespace
{

std::string readAvailable(int descriptor)
{
    std::string text(1 << 20, '\0');
    const ssize_t count = ::read(descriptor, text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
}

} // namespace

TEST_CASE("Lines are dropped without blocking when the pipe is full", "[logging]")
{
    // Guards against requests that block while the reader of the log is slow.
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    NonBlockingLineBuffer lines({.descriptor = ends[1], .linesPerSecond = 1e9, .burst = 1e9});
    std::ostream stream(&lines);
    const std::string line(200, 'x');
    for (int count = 0; count < 5000; ++count) {
        stream << line << '\n' << std::flush;
    }
    CHECK(lines.droppedLines() > 4000);
    CHECK(readAvailable(ends[0]).starts_with(line));

    SECTION("the next line is preceded by the number of dropped lines")
    {
        const auto droppedLines = lines.droppedLines();
        stream << "again\n" << std::flush;
        CHECK(readAvailable(ends[0]) == "event=log-lines-left-out count=" + std::to_string(droppedLines) + "\nagain\n");
    }
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("Lines above the rate limit are dropped", "[logging]")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    NonBlockingLineBuffer lines({.descriptor = ends[1], .linesPerSecond = 0.001, .burst = 10});
    std::ostream stream(&lines);
    for (int count = 0; count < 30; ++count) {
        stream << "line\n" << std::flush;
    }
    CHECK(lines.droppedLines() == 20);
    ::close(ends[0]);
    ::close(ends[1]);
}

} // namespace Carobflow
