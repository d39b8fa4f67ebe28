#include "carobflow/scheduler/candidacy.h"
#include "carobflow/scheduler/filleradmission.h"
#include "carobflow/scheduler/joborder.h"
#include "carobflow/scheduler/pacer.h"
#include "schedulerfixture.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

TEST_CASE("Fillers are throttled before a service misses its target and released afterwards", "[pacer]")
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

    // Guards against a tail latency over its target for longer than the four seconds that the deployments allow.
    SECTION("A tail latency over its target stops fillers within 3.5 s")
    {
        for (int step = 0; step < 5; ++step) {
            update(150);
        }
        CHECK(pacer.share("batch") == 0);
        SECTION("And a low one restores their full share")
        {
            for (int step = 0; step < 8; ++step) {
                update(20);
            }
            CHECK(pacer.share("batch") == 100);
        }
    }
    SECTION("A tail latency between the thresholds changes nothing")
    {
        CHECK(update(66).empty());
        CHECK(pacer.share("batch") == 100);
    }
    SECTION("A limit that was not delivered is sent again")
    {
        REQUIRE(update(90).size() == 1);
        CHECK(update(66).empty());
        pacer.forget(filler.run);
        CHECK(update(66).size() == 1);
    }
}

TEST_CASE("Only the fillers that slow a service down are throttled for it", "[pacer]")
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

    // Guards against throttling batch work beside a service that it does not slow down.
    SECTION("A tail latency near its target does not throttle the gentle image")
    {
        update(95);
        CHECK(pacer.share("heavy") < 90);
        CHECK(pacer.share("gentle") == 100);
    }
    // Guards against raising the share of a stopped image merely because it currently uses no processor time.
    SECTION("The share of a stopped image is raised only when the tail latency is low")
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
    // Guards against wrong estimates that keep a service over its target for longer than the deployments allow.
    SECTION("A tail latency that stays over its target stops the gentle image too")
    {
        for (int step = 0; step < 6; ++step) {
            update(150);
        }
        CHECK(pacer.share("gentle") == 0);
    }
}

TEST_CASE("A host takes no filler of an image that it limits", "[fillerguide]")
{
    // Guards against long jobs that end late because their tasks were added to an image that the host had stopped.
    FillerAdmission fillerAdmission{FillerAdmission::Options{}};
    const TimePoint now{Seconds(100)};
    const auto observe = [&](std::uint32_t share) {
        fillerAdmission.observe("host",
                                {{.run = {.task = {.job = "service"}, .run = 1},
                                  .image = "web",
                                  .tailTarget = Milliseconds(150),
                                  .tailMs = 20}},
                                std::vector<HeadroomModel::Filler>{{.image = "limited", .cores = 1, .share = share},
                                                                   {.image = "free", .cores = 1}},
                                now);
    };
    // So little processor time that it costs the service nothing.
    constexpr double cores = 0.5;
    observe(100);
    REQUIRE(fillerAdmission.expectedLoss("host", "limited", cores, now));

    SECTION("While the limit is low")
    {
        observe(20);
        CHECK_FALSE(fillerAdmission.expectedLoss("host", "limited", cores, now));
        SECTION("Fillers of other images are taken")
        {
            CHECK(fillerAdmission.expectedLoss("host", "free", cores, now));
        }
        SECTION("Other hosts take the image")
        {
            CHECK(fillerAdmission.expectedLoss("other", "limited", cores, now));
        }
        SECTION("It is taken again when the limit has been raised")
        {
            observe(85);
            CHECK(fillerAdmission.expectedLoss("host", "limited", cores, now));
        }
    }
}

TEST_CASE("The effect of a filler image on a service is learned from changes of headroom", "[fillerguide]")
{
    FillerAdmission fillerAdmission{FillerAdmission::Options{}};
    TimePoint now{Seconds(100)};
    constexpr double cores = 4;
    const auto observe = [&](std::int64_t tailMs, const std::vector<HeadroomModel::Filler> &fillers) {
        now += Milliseconds(400);
        fillerAdmission.observe("host",
                                {{.run = {.task = {.job = "service"}, .run = 1},
                                  .image = "web",
                                  .tailTarget = Milliseconds(150),
                                  .tailMs = tailMs}},
                                fillers,
                                now);
    };
    const auto observeRepeatedly = [&](std::int64_t tailMs, const std::vector<HeadroomModel::Filler> &fillers) {
        for (int report = 0; report < 3; ++report) {
            observe(tailMs, fillers);
        }
    };
    for (int window = 0; window < 30; ++window) {
        // The load of the service itself varies slowly.
        const std::int64_t swing = window % 10;
        observeRepeatedly(40 + swing, {});
        observeRepeatedly(150 + swing, {{.image = "heavy", .cores = cores}});
        observeRepeatedly(40 + swing, {});
        observeRepeatedly(41 + swing, {{.image = "gentle", .cores = cores}});
    }
    observe(40, {});
    // Guards against batch work that is placed where it pushes a service over its target.
    CHECK(fillerAdmission.effect("web", "heavy") > 5 * fillerAdmission.effect("web", "gentle"));
    CHECK(fillerAdmission.expectedLoss("host", "gentle", cores, now));
    CHECK_FALSE(fillerAdmission.expectedLoss("host", "heavy", cores, now));

    SECTION("Fillers that no measurement shows yet are taken into account")
    {
        CHECK(fillerAdmission.expectedLoss("host", "heavy", 1, now));
        fillerAdmission.onPlaced("host", "heavy", cores, now);
        CHECK_FALSE(fillerAdmission.expectedLoss("host", "heavy", 1, now));
        CHECK(fillerAdmission.expectedLoss("host", "heavy", 1, now + Seconds(2)));
    }
    SECTION("A tail latency near its target keeps out only fillers that slow the service down")
    {
        observeRepeatedly(140, {});
        CHECK_FALSE(fillerAdmission.expectedLoss("host", "heavy", cores, now));
        CHECK(fillerAdmission.expectedLoss("host", "gentle", cores, now));
    }
    SECTION("A host without services accepts any filler")
    {
        CHECK(fillerAdmission.expectedLoss("other", "heavy", cores, now));
    }
}

TEST_CASE("A process takes over only when the store shows that there is no leader", "[candidacy]")
{
    Candidacy candidacy({.delay = Milliseconds(100)});
    TimePoint now{Seconds(100)};
    const auto read = [&](std::uint64_t version, bool resigned, Milliseconds later) {
        now += later;
        candidacy.onRow(version, resigned ? Vacancy::Vacant : Vacancy::None, now);
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
        SECTION("But when it has not been renewed for the timeout")
        {
            read(9, false, Milliseconds(1000));
            read(9, false, Milliseconds(1000));
            CHECK(candidacy.shouldTakeOver(now));
        }
        SECTION("Not right after an outage of the store, during which no leader could renew it")
        {
            // Guards against a change of leader after each outage of the store.
            candidacy.onStoreUnavailable();
            read(9, false, Milliseconds(5000));
            CHECK_FALSE(candidacy.shouldTakeOver(now));
        }
        SECTION("At once when the leader has resigned")
        {
            read(10, true, Milliseconds(300));
            CHECK(candidacy.shouldTakeOver(now + Milliseconds(150)));
        }
        SECTION("After others when a leader without contact to most hosts has resigned and is heard here")
        {
            // Guards against a series of leaders that are all cut off from most hosts, while leases there end.
            now += Milliseconds(300);
            candidacy.onRow(10, Vacancy::LeftToOthers, now);
            CHECK_FALSE(candidacy.shouldTakeOver(now + Milliseconds(900)));
            now += Milliseconds(1000);
            candidacy.onRow(10, Vacancy::LeftToOthers, now);
            CHECK(candidacy.shouldTakeOver(now + Milliseconds(150)));
        }
    }
    SECTION("Not from a row that was read too long ago")
    {
        read(0, false, Milliseconds(0));
        CHECK_FALSE(candidacy.shouldTakeOver(now + Seconds(3)));
    }
}

TEST_CASE("Jobs that can still meet their objective come before those that cannot", "[joborder]")
{
    const TimePoint now{Seconds(100)};
    const auto job = [&](const std::string &id, std::uint32_t priority, Milliseconds age, Milliseconds work) {
        return Job({.id = id, .queue = "q", .steps = {{.count = 1, .estimate = work}}},
                   {.name = "q", .priority = priority, .stretch = 2, .latencyAllowance = Milliseconds(1000)},
                   now - age);
    };
    // Guards against spending resources under overload on results that are worthless by then.
    Job fresh = job("fresh", 2, Milliseconds(100), Milliseconds(2000));
    Job tight = job("tight", 2, Milliseconds(2000), Milliseconds(2000));
    Job late = job("late", 2, Milliseconds(6000), Milliseconds(2000));
    Job worthless = job("worthless", 2, Milliseconds(30000), Milliseconds(2000));
    Job urgent = job("urgent", 0, Milliseconds(0), Milliseconds(1000));
    std::vector<Job *> jobs{&worthless, &late, &fresh, &tight, &urgent};
    JobOrder(JobOrder::Rule::LeastSlack, now).sort(jobs);
    CHECK(jobs == std::vector<Job *>{&urgent, &tight, &fresh, &late, &worthless});

    SECTION("A service that was accepted long ago is never late, and comes before quick jobs of its priority")
    {
        // Guards against a service that stays down after a crash because quick jobs keep taking the free resources.
        Job service({.id = "service",
                     .queue = "q",
                     .steps = {{.count = 6, .estimate = Milliseconds(500), .longRunning = true}}},
                    {.name = "q", .priority = 0, .stretch = 2, .latencyAllowance = Milliseconds(1000)},
                    now - Seconds(300));
        jobs.push_back(&service);
        JobOrder(JobOrder::Rule::LeastSlack, now).sort(jobs);
        CHECK(jobs == std::vector<Job *>{&service, &urgent, &tight, &fresh, &late, &worthless});
    }
}

TEST_CASE("Jobs are ordered by the value that their remaining work earns", "[joborder]")
{
    const TimePoint now{Seconds(100)};
    const auto job = [&](const std::string &id, std::uint32_t priority, Milliseconds age, std::uint32_t width = 4) {
        const StepSpec step{
            .count = width, .request = {.cpuMillis = 2000}, .estimate = Milliseconds(2000), .fillsLeftover = true};
        return Job({.id = id, .queue = "q", .steps = {step}},
                   {.name = "q", .priority = priority, .stretch = 2, .latencyAllowance = Milliseconds(1000)},
                   now - age);
    };
    const auto finish = [](Job &job, std::uint32_t tasks) {
        for (std::uint32_t index = 0; index < tasks; ++index) {
            job.recordSuccess({.job = job.spec().id, .index = index});
        }
    };
    const auto sorted = [&](std::vector<Job *> jobs) {
        JobOrder(JobOrder::Rule::Value, now).sort(jobs);
        return jobs;
    };
    Job fresh = job("fresh", 2, Milliseconds(100));
    Job tight = job("tight", 2, Milliseconds(2000));
    Job late = job("late", 2, Milliseconds(8000));

    SECTION("Among jobs that have not begun, the one with less slack comes first, and late ones wait")
    {
        CHECK(sorted({&late, &fresh, &tight}) == std::vector<Job *>{&tight, &fresh, &late});
    }
    SECTION("A job that is half done comes before one that has to begin soon")
    {
        // Guards against spreading resources over many jobs, all of which end late.
        Job half = job("half", 2, Milliseconds(500));
        finish(half, 2);
        CHECK(sorted({&fresh, &tight, &half}) == std::vector<Job *>{&half, &tight, &fresh});
    }
    SECTION("The size of a job does not decide")
    {
        Job large = job("large", 2, Milliseconds(2000), 40);
        CHECK(sorted({&fresh, &large}) == std::vector<Job *>{&large, &fresh});
    }
    SECTION("Priority comes before value")
    {
        Job urgent = job("urgent", 0, Milliseconds(60000));
        CHECK(sorted({&fresh, &tight, &urgent}).front() == &urgent);
    }
    SECTION("A late job that is nearly done is finished before others begin")
    {
        finish(late, 3);
        Job lateToo = job("late-too", 2, Milliseconds(8000), 40);
        finish(lateToo, 39);
        CHECK(sorted({&fresh, &lateToo}) == std::vector<Job *>{&lateToo, &fresh});
    }
}

TEST_CASE("Services of the same image share hosts", "[placement]")
{
    SchedulerFixture fixture;
    const bool grouped = GENERATE(true, false);
    fixture.scheduler = std::make_unique<Scheduler>(
        Scheduler::Options{.epoch = fixture.epoch, .features = {.groupServices = grouped}});
    fixture.scheduler->setOperatorView(fixture.view);
    fixture.reportAll();
    const auto service = [](const std::string &id, const std::string &image) {
        return JobSpec{.id = id,
                       .queue = "quick",
                       .steps = {{.count = 2,
                                  .request = {.cpuMillis = 1000, .memoryMiB = 500},
                                  .estimate = Milliseconds(100),
                                  .longRunning = true,
                                  .image = image,
                                  .tailTarget = Milliseconds(100)}}};
    };
    std::map<std::string, std::set<std::string>> imagesOnHost;
    const auto submit = [&](const std::string &id, const std::string &image) {
        fixture.scheduler->submit(service(id, image), fixture.now);
        for (const StartOrder &start : fixture.step()) {
            imagesOnHost[start.host].insert(image);
        }
    };
    submit("a1", "a");
    submit("b1", "b");
    submit("c1", "c");
    submit("a2", "a");
    submit("b2", "b");
    submit("c2", "c");
    const auto mixed = std::ranges::count_if(imagesOnHost, [](const auto &host) { return host.second.size() > 1; });
    // Guards against hosts on which every filler slows down some service.
    CHECK((mixed == 0) == grouped);
}

} // namespace Carobflow::Scheduling
