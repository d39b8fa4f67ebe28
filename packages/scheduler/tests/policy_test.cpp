#include "carobflow/scheduler/candidacy.h"
#include "carobflow/scheduler/fillerguide.h"
#include "carobflow/scheduler/joborder.h"
#include "carobflow/scheduler/pacer.h"

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("Fillers are held back before a service misses its target and get their share back", "[pacer]")
{
    Pacer pacer{Pacer::Options{}};
    TimePoint now{Seconds(100)};
    PacedTask service{.run = {.task = {.job = "service"}, .run = 1}, .image = "web", .tailTarget = Milliseconds(100)};
    const PacedTask filler{
        .run = {.task = {.job = "filler"}, .run = 1}, .image = "batch", .fillsLeftover = true, .load = 4000};
    const auto update = [&](std::int64_t tailMs) {
        now += Milliseconds(700);
        service.load = tailMs;
        return pacer.update(std::vector{service, filler}, now);
    };
    CHECK(update(50).empty());

    // Guards against a tail over its target for longer than the four seconds that the sites allow.
    SECTION("A tail over its target stops fillers within 3.5 s")
    {
        for (int step = 0; step < 5; ++step) {
            update(150);
        }
        CHECK(pacer.share("batch") == 0);
        SECTION("And a low one gives everything back")
        {
            for (int step = 0; step < 8; ++step) {
                update(20);
            }
            CHECK(pacer.share("batch") == 100);
        }
    }
    SECTION("A tail between the bounds changes nothing")
    {
        CHECK(update(66).empty());
        CHECK(pacer.share("batch") == 100);
    }
    SECTION("A command that did not arrive is sent again")
    {
        REQUIRE(update(90).size() == 1);
        CHECK(update(66).empty());
        pacer.forget(filler.run);
        CHECK(update(66).size() == 1);
    }
}

TEST_CASE("Only the fillers that slow a service down are held back for it", "[pacer]")
{
    Pacer pacer{Pacer::Options{}};
    pacer.setEffects({{{"web", "heavy"}, 0.3}, {{"web", "gentle"}, 0.0}});
    TimePoint now{Seconds(100)};
    PacedTask service{.run = {.task = {.job = "service"}, .run = 1}, .image = "web", .tailTarget = Milliseconds(100)};
    const auto filler = [](const std::string &image) {
        return PacedTask{
            .run = {.task = {.job = image}, .run = 1}, .image = image, .fillsLeftover = true, .load = 4000};
    };
    const auto update = [&](std::int64_t tailMs) {
        now += Milliseconds(700);
        service.load = tailMs;
        pacer.update(std::vector{service, filler("heavy"), filler("gentle")}, now);
    };

    // Guards against batch work that stands still beside a service that it does not slow down.
    SECTION("A tail near its target costs the gentle image nothing")
    {
        update(95);
        CHECK(pacer.share("heavy") < 90);
        CHECK(pacer.share("gentle") == 100);
    }
    // Guards against fillers that are given share back for having none: what stands still slows nobody down.
    SECTION("An image that was stopped comes back only when the tail is low")
    {
        PacedTask heavy = filler("heavy");
        const auto next = [&](std::int64_t tailMs, std::int64_t used) {
            now += Milliseconds(700);
            service.load = tailMs;
            heavy.load = used;
            pacer.update(std::vector{service, heavy}, now);
        };
        next(50, 4000);
        for (int step = 0; step < 4; ++step) {
            next(200, 4000);
        }
        REQUIRE(pacer.share("heavy") == 0);
        next(90, 0);
        next(90, 0);
        CHECK(pacer.share("heavy") == 0);
        next(50, 0);
        CHECK(pacer.share("heavy") > 0);
    }
    // Guards against wrong effects that keep a service over its target for longer than the sites allow.
    SECTION("A tail that stays over its target stops the gentle image too")
    {
        for (int step = 0; step < 6; ++step) {
            update(150);
        }
        CHECK(pacer.share("gentle") == 0);
    }
}

TEST_CASE("The effect of a filler's image on a service is learned from changes", "[fillerguide]")
{
    FillerGuide guide{FillerGuide::Options{}};
    TimePoint now{Seconds(100)};
    constexpr double cores = 4;
    const auto figures = [&](std::int64_t tailMs, const std::vector<HeadroomModel::Filler> &fillers) {
        now += Milliseconds(400);
        guide.observe("host",
                      {{.run = {.task = {.job = "service"}, .run = 1},
                        .image = "web",
                        .tailTarget = Milliseconds(150),
                        .tailMs = tailMs}},
                      fillers,
                      now);
    };
    const auto hold = [&](std::int64_t tailMs, const std::vector<HeadroomModel::Filler> &fillers) {
        for (int report = 0; report < 3; ++report) {
            figures(tailMs, fillers);
        }
    };
    for (int window = 0; window < 30; ++window) {
        // The load of the service itself swings slowly.
        const std::int64_t swing = window % 10;
        hold(40 + swing, {});
        hold(150 + swing, {{.image = "heavy", .cores = cores}});
        hold(40 + swing, {});
        hold(41 + swing, {{.image = "gentle", .cores = cores}});
    }
    figures(40, {});
    // Guards against batch work that is placed where it pushes a service over its target.
    CHECK(guide.effect("web", "heavy") > 5 * guide.effect("web", "gentle"));
    CHECK(guide.lossOn("host", "gentle", cores, now));
    CHECK_FALSE(guide.lossOn("host", "heavy", cores, now));

    SECTION("Fillers that the figures do not show yet count")
    {
        CHECK(guide.lossOn("host", "heavy", 1, now));
        guide.onPlaced("host", "heavy", cores, now);
        CHECK_FALSE(guide.lossOn("host", "heavy", 1, now));
        CHECK(guide.lossOn("host", "heavy", 1, now + Seconds(2)));
    }
    SECTION("A tail near its target keeps out what slows the service down, and nothing else")
    {
        hold(140, {});
        CHECK_FALSE(guide.lossOn("host", "heavy", cores, now));
        CHECK(guide.lossOn("host", "gentle", cores, now));
    }
    SECTION("A host without services takes any filler")
    {
        CHECK(guide.lossOn("other", "heavy", cores, now));
    }
}

TEST_CASE("A process takes over only when the store shows that nobody leads", "[candidacy]")
{
    Candidacy candidacy({.delay = Milliseconds(100)});
    TimePoint now{Seconds(100)};
    const auto read = [&](std::uint64_t version, bool resigned, Milliseconds later) {
        now += later;
        candidacy.onRow(version, resigned, now);
    };
    CHECK_FALSE(candidacy.shouldTakeOver(now));

    SECTION("At once when there is no row, after the delay of this process")
    {
        read(0, false, Milliseconds(0));
        CHECK_FALSE(candidacy.shouldTakeOver(now));
        CHECK(candidacy.shouldTakeOver(now + Milliseconds(150)));
    }
    SECTION("Not while the row is renewed")
    {
        for (std::uint64_t version = 1; version < 10; ++version) {
            read(version, false, Milliseconds(700));
            CHECK_FALSE(candidacy.shouldTakeOver(now));
        }
        SECTION("But when it has not changed for a while")
        {
            read(9, false, Milliseconds(1000));
            read(9, false, Milliseconds(1000));
            CHECK(candidacy.shouldTakeOver(now));
        }
        SECTION("Not after an outage of the store, in which no leader could renew")
        {
            // Guards against a change of leader after each outage.
            candidacy.onStoreUnavailable();
            read(9, false, Milliseconds(5000));
            CHECK_FALSE(candidacy.shouldTakeOver(now));
        }
        SECTION("At once when the leader has resigned")
        {
            read(10, true, Milliseconds(300));
            CHECK(candidacy.shouldTakeOver(now + Milliseconds(150)));
        }
    }
    SECTION("Not from news that are old")
    {
        read(0, false, Milliseconds(0));
        CHECK_FALSE(candidacy.shouldTakeOver(now + Seconds(3)));
    }
}

TEST_CASE("Jobs that can still be in time come before those that cannot", "[joborder]")
{
    const TimePoint now{Seconds(100)};
    const auto job = [&](const std::string &id, std::uint32_t priority, Milliseconds age, Milliseconds work) {
        return Job({.id = id, .queue = "q", .steps = {{.count = 1, .estimate = work}}},
                   {.name = "q", .priority = priority, .stretch = 2, .latencyAllowance = Milliseconds(1000)},
                   now - age);
    };
    // Guards against overload in which room is spent on results that nobody waits for any more.
    Job fresh = job("fresh", 2, Milliseconds(100), Milliseconds(2000));
    Job tight = job("tight", 2, Milliseconds(2000), Milliseconds(2000));
    Job late = job("late", 2, Milliseconds(6000), Milliseconds(2000));
    Job worthless = job("worthless", 2, Milliseconds(30000), Milliseconds(2000));
    Job urgent = job("urgent", 0, Milliseconds(0), Milliseconds(1000));
    std::vector<Job *> jobs{&worthless, &late, &fresh, &tight, &urgent};
    JobOrder(now).sort(jobs);
    CHECK(jobs == std::vector<Job *>{&urgent, &tight, &fresh, &late, &worthless});

    SECTION("A service that was accepted long ago is never late, and comes before quick jobs of its priority")
    {
        // Guards against a service that stays down after a crash because quick jobs keep taking the room.
        Job service({.id = "service",
                     .queue = "q",
                     .steps = {{.count = 6, .estimate = Milliseconds(500), .longRunning = true}}},
                    {.name = "q", .priority = 0, .stretch = 2, .latencyAllowance = Milliseconds(1000)},
                    now - Seconds(300));
        jobs.push_back(&service);
        JobOrder(now).sort(jobs);
        CHECK(jobs == std::vector<Job *>{&service, &urgent, &tight, &fresh, &late, &worthless});
    }
}

} // namespace Carobflow::Scheduling
