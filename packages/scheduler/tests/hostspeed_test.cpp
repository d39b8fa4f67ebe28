#include "carobflow/scheduler/hostspeed.h"
#include "loadsimulator.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("A host is rated by how long its tasks take compared with their siblings", "[hostspeed]")
{
    HostSpeed speed(HostSpeed::Options{});
    const TimePoint now{Seconds(100)};
    const auto end = [&](double ratio, int times) {
        for (int count = 0; count < times; ++count) {
            speed.onEnd("host", ratio, now);
        }
    };

    SECTION("It is normal until there is evidence")
    {
        CHECK(speed.factor("host", now) == 1);
        end(2, 7);
        CHECK(speed.factor("host", now) == 1);
        end(2, 1);
        CHECK(speed.factor("host", now) == 2);
        CHECK(speed.factor("another", now) == 1);
    }
    SECTION("A few long tasks and small differences do not make it slow")
    {
        // Guards against hosts that are avoided because of tasks that take seven times as long anywhere.
        end(1.1, 10);
        end(7, 3);
        CHECK(speed.factor("host", now) == 1);
        end(1.3, 15);
        CHECK(speed.factor("host", now) == 1);
    }
    SECTION("It is normal again after several normal runs, or when its upstream has been replaced")
    {
        end(3, 15);
        REQUIRE(speed.factor("host", now) == 3);
        end(1, 7);
        CHECK(speed.factor("host", now) == 3);
        end(1, 1);
        CHECK(speed.factor("host", now) == 1);
        end(3, 15);
        speed.forget("host");
        CHECK(speed.factor("host", now) == 1);
    }
    SECTION("It gets tasks from time to time while none end there")
    {
        // Guards against hosts that are avoided for ever, because nothing shows that they have recovered.
        end(3, 15);
        CHECK(speed.factor("host", now + Milliseconds(4900)) == 3);
        CHECK(speed.factor("host", now + Milliseconds(5100)) == 1);
        CHECK(speed.factor("host", now + Milliseconds(5300)) == 3);
        CHECK(speed.factor("host", now + Milliseconds(10100)) == 1);
    }
    SECTION("The tasks of a step are compared with their median, without those whose times are not known")
    {
        const Task normal{.fullSpeedTime = Seconds(2), .fullSpeedHost = "normal"};
        const Task slow{.fullSpeedTime = Seconds(5), .fullSpeedHost = "host"};
        for (int step = 0; step < 8; ++step) {
            speed.onStepEnd(std::vector<Task>{normal, normal, slow, normal, Task{}}, now);
        }
        CHECK(speed.factor("host", now) == 2.5);
        CHECK(speed.factor("normal", now) == 1);
    }
}

TEST_CASE("Jobs end in time beside slow hosts when the leader learns the speed of hosts", "[hostspeed][load]")
{
    struct InTime {
        double quick = 0;
        double batch = 0;
    };
    const auto simulate = [](std::size_t slowHosts, double workSpread, bool learns) {
        std::map<std::string, std::size_t> submitted;
        std::map<std::string, std::size_t> inTime;
        for (const std::uint64_t seed : {1, 2, 3}) {
            LoadSimulator simulator({.hosts = 60,
                                     .quickPerSecond = 11.7,
                                     .quickWidth = 10,
                                     .batchPerSecond = 3.48,
                                     .batchWidth = 20,
                                     .workSpread = workSpread,
                                     .slowHosts = slowHosts,
                                     .services = 10,
                                     .serviceWidth = 14,
                                     .seed = seed,
                                     .features = {.hostSpeed = learns}});
            simulator.simulate(Seconds(40));
            CHECK(simulator.violations().empty());
            for (const auto &[kind, outcome] : simulator.outcomes()) {
                submitted[kind] += outcome.submitted;
                inTime[kind] += outcome.inTime;
            }
        }
        const auto share = [&](const std::string &kind) {
            return static_cast<double>(inTime[kind]) / static_cast<double>(submitted[kind]);
        };
        return InTime{.quick = share("quick"), .batch = share("batch")};
    };

    SECTION("Other hosts are preferred while they have room")
    {
        const InTime without = simulate(10, 0.1, false);
        const InTime with = simulate(10, 0.1, true);
        CAPTURE(without.quick, with.quick, without.batch, with.batch);
        CHECK(with.quick > without.quick + 0.05);
        CHECK(with.batch > without.batch + 0.05);
    }
    SECTION("Nothing is lost when all hosts are alike")
    {
        // Guards against hosts that are avoided because of chance. Run times differ as in the deployments.
        const InTime without = simulate(0, 0.5, false);
        const InTime with = simulate(0, 0.5, true);
        CAPTURE(without.quick, with.quick, without.batch, with.batch);
        CHECK(with.quick > without.quick - 0.01);
        CHECK(with.batch > without.batch - 0.01);
    }
}

} // namespace Carobflow::Scheduling
