#include "carobflow/logging/internal/boundedlines.h"

#include <array>
#include <ostream>
#include <string>

#include <catch2/catch.hpp>
#include <unistd.h>

namespace Carobflow
{

namespace
{

std::string drain(int descriptor)
{
    std::string text(1 << 20, '\0');
    const ssize_t count = ::read(descriptor, text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
}

} // namespace

TEST_CASE("A full pipe costs lines and never blocks", "[logging]")
{
    // Guards against requests that wait for the reader of the log.
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    BoundedLines lines({.descriptor = ends[1], .linesPerSecond = 1e9, .burst = 1e9});
    std::ostream stream(&lines);
    const std::string line(200, 'x');
    for (int count = 0; count < 5000; ++count) {
        stream << line << '\n' << std::flush;
    }
    CHECK(lines.leftOut() > 4000);
    CHECK(drain(ends[0]).starts_with(line));

    SECTION("The next line tells how many were left out")
    {
        const auto leftOut = lines.leftOut();
        stream << "again\n" << std::flush;
        CHECK(drain(ends[0]) == "event=log-lines-left-out count=" + std::to_string(leftOut) + "\nagain\n");
    }
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("More lines than the rate allows are left out", "[logging]")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    BoundedLines lines({.descriptor = ends[1], .linesPerSecond = 0.001, .burst = 10});
    std::ostream stream(&lines);
    for (int count = 0; count < 30; ++count) {
        stream << "line\n" << std::flush;
    }
    CHECK(lines.leftOut() == 20);
    ::close(ends[0]);
    ::close(ends[1]);
}

} // namespace Carobflow
