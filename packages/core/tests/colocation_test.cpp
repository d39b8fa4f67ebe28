#include "carobflow/core/colocation.h"
#include "seedrange.h"
#include "simulatedslowdowns.h"

#include <deque>
#include <map>

#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace std::chrono_literals;

namespace
{

using Kind = ColocationDecision::Kind;

const TimePoint Start{1h};

std::vector<ServiceEntry> services(Objective objective = Objective::Latency)
{
    return {{.name = "desk", .deadline = 100ms, .targetRatio = 0.99, .idempotent = true, .objective = objective}};
}

ServiceWindow window(double tail, std::vector<std::string> classes = {"print", "watch"})
{
    return {.service = "desk",
            .completed = 1000,
            .p99Milliseconds = tail,
            .load = 0.5,
            .length = 1s,
            .jobClasses = std::move(classes)};
}

const std::vector<ColocatedTask> Tasks{{{"p", 1}, "print"}, {{"w", 1}, "watch"}};

/// Feeds the controller one window per second until it makes a decision or the limit is reached.
std::vector<ColocationDecision>
runUntilDecision(ColocationController &controller, TimePoint &now, double tail, Seconds limit)
{
    for (const auto end = now + limit; now < end;) {
        now += 1s;
        if (auto decisions = controller.onWindow(now, "h", window(tail), Tasks); !decisions.empty()) {
            return decisions;
        }
    }
    return {};
}

/// Trains the model with tails that print raises by half and watch by a tenth.
void train(InterferenceModel &model)
{
    for (int i = 0; i < 200; ++i) {
        model.observe(window(50, {}));
        model.observe(window(75, {"print"}));
        model.observe(window(55, {"watch"}));
    }
}

} // namespace

TEST_CASE("The neighbour that explains most of a high tail latency is throttled and then evicted", "[colocation]")
{
    InterferenceModel model({});
    train(model);
    ColocationController controller({}, model);
    controller.setServices(services());
    TimePoint now = Start;

    SECTION("a tail below the target leads to no decision")
    {
        CHECK(runUntilDecision(controller, now, 70, 60s).empty());
    }
    SECTION("one window above the target leads to no decision")
    {
        CHECK(controller.onWindow(now, "h", window(300), Tasks).empty());
        CHECK(controller.onWindow(now + 1s, "h", window(50), Tasks).empty());
        CHECK(controller.onWindow(now + 2s, "h", window(300), Tasks).empty());
    }
    SECTION("a service that the sheet does not list leads to no decision")
    {
        controller.setServices({});
        CHECK(runUntilDecision(controller, now, 300, 60s).empty());
    }
    SECTION("a tail that no neighbour explains leads to no decision")
    {
        InterferenceModel harmless({});
        for (int i = 0; i < 500; ++i) {
            harmless.observe(window(50, {}));
            harmless.observe(window(50, {"print"}));
            harmless.observe(window(50, {"watch"}));
        }
        ColocationController other({}, harmless);
        other.setServices(services());
        CHECK(other.onWindow(now, "h", window(95, {}), Tasks).empty());
        CHECK(other.onWindow(now + 1s, "h", window(95, {}), Tasks).empty());
    }
    SECTION("a tail above the target throttles the worst neighbour")
    {
        const auto first = runUntilDecision(controller, now, 95, 5s);
        REQUIRE(first.size() == 1);
        CHECK(first[0].kind == Kind::Throttle);
        CHECK(first[0].task == TaskRef{"p", 1});
        CHECK(controller.throttlePercent("h", {"p", 1}) == first[0].percent);
        CHECK(controller.throttlePercent("h", {"w", 1}) == 100);
        const auto actedAt = now;

        SECTION("no further decision is made before the effect can be measured")
        {
            CHECK(runUntilDecision(controller, now, 400, 3s).empty());
        }
        SECTION("a tail that stays far above the target evicts the neighbour once")
        {
            auto decisions = runUntilDecision(controller, now, 400, 60s);
            CHECK(now - actedAt >= 4s);
            while (decisions.size() == 1 && decisions[0].kind == Kind::Throttle) {
                decisions = runUntilDecision(controller, now, 400, 60s);
            }
            REQUIRE(decisions.size() == 1);
            CHECK(decisions[0].task == TaskRef{"p", 1});
            CHECK(controller.isCoolingDown(now, "h", "print"));
            CHECK_FALSE(controller.isCoolingDown(now, "h", "watch"));
            CHECK_FALSE(controller.isCoolingDown(now + 60s, "h", "print"));
            for (int i = 0; i < 5; ++i) {
                for (const auto &next : runUntilDecision(controller, now, 400, 20s)) {
                    CHECK_FALSE(next.task == TaskRef{"p", 1});
                }
            }
        }
        SECTION("throttles are raised step by step when there is headroom")
        {
            std::uint32_t percent = first[0].percent;
            while (percent < 100) {
                const auto raised = runUntilDecision(controller, now, 45, 60s);
                REQUIRE(raised.size() == 1);
                CHECK(raised[0].task == TaskRef{"p", 1});
                CHECK(raised[0].percent == percent + 25);
                percent = raised[0].percent;
            }
            CHECK(controller.throttlePercent("h", {"p", 1}) == 100);
        }
        SECTION("throttles are not raised when the model predicts a violation")
        {
            CHECK(runUntilDecision(controller, now, 69, 300s).empty());
        }
        SECTION("a task that has ended is forgotten")
        {
            controller.onWindow(now + 1s, "h", window(50), {});
            CHECK(controller.throttlePercent("h", {"p", 1}) == 100);
        }
    }
    SECTION("a service with the throughput objective tolerates a tail just below its deadline")
    {
        controller.setServices(services(Objective::Throughput));
        CHECK(runUntilDecision(controller, now, 98, 60s).empty());
        CHECK_FALSE(runUntilDecision(controller, now, 110, 60s).empty());
    }
}

TEST_CASE("Evictions in a shard are limited per minute", "[colocation]")
{
    InterferenceModel model({});
    train(model);
    ColocationController controller({.evictionsPerMinute = 2}, model);
    controller.setServices(services());
    std::deque<TimePoint> evictions;
    for (auto now = Start; now < Start + 300s; now += 1s) {
        for (int host = 0; host < 10; ++host) {
            for (const auto &decision : controller.onWindow(now, "h" + std::to_string(host), window(500), Tasks)) {
                if (decision.kind == Kind::Evict) {
                    evictions.push_back(now);
                }
            }
        }
        const auto recent = std::ranges::count_if(evictions, [now](TimePoint at) { return now - at < 60s; });
        REQUIRE(recent <= 2);
    }
    CHECK(evictions.size() >= 8);
}

namespace
{

struct SimulatedHost {
    struct Task {
        ColocatedTask task;
        double share = 1;
    };

    std::vector<Task> tasks;
    double load = 0;
    /// Windows that have not reached the controller yet.
    std::deque<ServiceWindow> windows;
    int actions = 0;
    int evictions = 0;
    /// In the last third of the run.
    int lateReversals = 0;
    bool raisedLast = false;
    int lateViolations = 0;
};

/// Runs 8 hosts with 1 to 4 tasks each for 15 minutes; windows reach the controller 2 s late.
std::vector<SimulatedHost> simulate(std::uint64_t seed, bool controlled)
{
    constexpr int length = 900;
    SimulatedSlowdowns slowdowns(seed);
    InterferenceModel model({});
    ColocationController controller({}, model);
    controller.setServices(services());
    std::vector<SimulatedHost> hosts(8);
    int id = 0;
    for (auto &host : hosts) {
        host.load = slowdowns.uniform(0.2, 0.8);
        const auto count = 1 + slowdowns.below(4);
        for (std::size_t i = 0; i < count; ++i) {
            host.tasks.push_back({{{"job" + std::to_string(++id), 1}, slowdowns.classes()[slowdowns.below(6)]}});
        }
    }
    for (int second = 0; second < length; ++second) {
        const auto now = Start + Seconds(second);
        const bool isLate = second >= length * 2 / 3;
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            SimulatedHost &host = hosts[index];
            std::vector<std::pair<std::string, double>> neighbours;
            std::vector<ColocatedTask> tasks;
            for (const auto &task : host.tasks) {
                neighbours.emplace_back(task.task.jobClass, task.share);
                tasks.push_back(task.task);
            }
            host.windows.push_back(slowdowns.window(host.load, neighbours));
            host.lateViolations += isLate && host.windows.back().p99Milliseconds > 100 ? 1 : 0;
            if (!controlled || host.windows.size() < 3) {
                continue;
            }
            const ServiceWindow seen = host.windows.front();
            host.windows.pop_front();
            for (const auto &decision : controller.onWindow(now, "h" + std::to_string(index), seen, tasks)) {
                ++host.actions;
                const auto task = std::ranges::find(
                    host.tasks, decision.task, [](const auto &item) { return item.task.task; });
                REQUIRE(task != host.tasks.end());
                const bool isReduction = decision.kind == Kind::Evict || decision.percent / 100.0 < task->share;
                host.lateReversals += isLate && isReduction && host.raisedLast ? 1 : 0;
                host.raisedLast = !isReduction;
                if (decision.kind == Kind::Evict) {
                    ++host.evictions;
                    host.tasks.erase(task);
                } else {
                    task->share = decision.percent / 100.0;
                }
            }
        }
    }
    return hosts;
}

} // namespace

// Guards against tails that stay above the target, and against throttles and evictions that oscillate without end.
TEST_CASE("The controller brings tail latencies under the target and settles", "[colocation][random]")
{
    int violations = 0;
    int violationsWithout = 0;
    forEachSeed(20, [&](std::uint64_t seed) {
        INFO("seed " << seed);
        for (const SimulatedHost &host : simulate(seed, true)) {
            CAPTURE(host.load, host.tasks.size(), host.actions, host.lateReversals, host.lateViolations);
            CHECK(host.lateViolations <= 15);
            CHECK(host.actions <= 12);
            // Every cycle of an oscillation contains a reduction after a raise.
            CHECK(host.lateReversals <= 1);
            violations += host.lateViolations;
        }
        for (const SimulatedHost &host : simulate(seed, false)) {
            violationsWithout += host.lateViolations;
        }
    });
    CHECK(violations * 50 < violationsWithout);
}

TEST_CASE("Violations and actions with and without the controller are measured", "[.][measurement]")
{
    for (const bool controlled : {false, true}) {
        int hosts = 0;
        int violations = 0;
        int actions = 0;
        int evictions = 0;
        int mostActions = 0;
        double work = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            for (const SimulatedHost &host : simulate(seed, controlled)) {
                ++hosts;
                violations += host.lateViolations;
                actions += host.actions;
                evictions += host.evictions;
                mostActions = std::max(mostActions, host.actions);
                for (const auto &task : host.tasks) {
                    work += task.share;
                }
            }
        }
        WARN("controlled " << controlled << ": hosts " << hosts << ", late windows over target "
                           << violations / (hosts * 300.0) << ", actions " << actions << " (most on a host "
                           << mostActions << "), evictions " << evictions << ", batch share at the end " << work);
    }
}
