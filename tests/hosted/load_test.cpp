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

// Hidden like the one above. Run it beside a program that stops and continues the leading agent, to see what a leader
// does that has too little processor time.
TEST_CASE("A leader of eighty hosts serves jobs of several kinds", "[.][load]")
{
    constexpr std::size_t hosts = 80;
    constexpr unsigned standingJobs = 10;
    constexpr unsigned quickJobs = 340;
    constexpr Milliseconds betweenJobs{88};
    const std::string standing = R"({"task-spec":"90000","steps":[{"count":40,"cpu":4000,"memory-limit-mb":100,)"
                                 R"("estimated-ms":90000}]})";
    const std::string quick = R"({"task-spec":"1000","steps":[{"count":8,"cpu":830,"memory-limit-mb":100,)"
                              R"("estimated-ms":1000},{"count":8,"cpu":830,"memory-limit-mb":100,)"
                              R"("estimated-ms":1000,"after":[0]}]})";
    const std::string batch
        = R"({"task-spec":"1700","steps":[{"count":27,"cpu":3500,"memory-limit-mb":100,"fills":true,)"
          R"("image":"b","estimated-ms":1700},{"count":27,"cpu":3500,"memory-limit-mb":100,)"
          R"("fills":true,"image":"b","estimated-ms":1700,"after":[0]}]})";
    HostedSystem system({.entries = 2, .agents = hosts, .workerCpuMillis = 32000});
    system.waitUntilReady();
    std::this_thread::sleep_for(Seconds(2));
    unsigned submitted = 0;
    const auto submit = [&](const std::string &body) {
        std::string id = std::to_string(submitted);
        id.insert(0, 16 - id.size(), 'c');
        system.submitBody(id, body, submitted++ % 2);
    };
    for (unsigned job = 0; job < standingJobs; ++job) {
        submit(standing);
    }
    for (unsigned job = 0; job < quickJobs; ++job) {
        submit(quick);
        if (job % 10 < 3) {
            submit(batch);
        }
        std::this_thread::sleep_for(betweenJobs);
    }
    WARN("runs: " << system.runs().size());
    CHECK(system.violations().empty());
}

} // namespace Carobflow::Bench
