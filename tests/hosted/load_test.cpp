#include "hostedsystem.h"

#include <catch2/catch.hpp>

namespace Carobflow::Bench
{

// Hidden, because it loads a whole machine. Run it with "hosted-tests [load]" and watch the leading agent's processor
// time, or attach a profiler to it.
TEST_CASE("A leader of sixty hosts keeps up with 300 starts a second", "[.][load]")
{
    constexpr std::size_t hosts = 60;
    constexpr unsigned jobs = 450;
    constexpr std::size_t tasksPerJob = 20;
    constexpr Milliseconds work{1000};
    constexpr Milliseconds betweenJobs{66};
    HostedSystem system({.entries = 2, .agents = hosts});
    system.waitUntilReady();
    std::this_thread::sleep_for(Seconds(2));
    for (unsigned job = 0; job < jobs; ++job) {
        std::string id = std::to_string(job);
        id.insert(0, 16 - id.size(), 'b');
        CHECK(system.submit(id, tasksPerJob, work, job % 2) == 200);
        std::this_thread::sleep_for(betweenJobs);
    }
    std::string last = std::to_string(jobs - 1);
    last.insert(0, 16 - last.size(), 'b');
    CHECK(system.waitForState(last, "completed", Milliseconds(10000)));
    CHECK(system.runs().size() == jobs * tasksPerJob);
    CHECK(system.violations().empty());
}

} // namespace Carobflow::Bench
