#include "schedulerfixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{

namespace
{

/// Hosts whose upstreams crash when they start a task of certain jobs, list all other runs, and answer stop orders.
class CrashingHosts
{
public:
    explicit CrashingHosts(SchedulerFixture &fixture)
        : m_fixture(fixture)
    {
    }

    /// Executes the starts of one plan: upstreams that start a task of a deadly job crash and are back at once.
    void execute(const std::vector<StartOrder> &starts)
    {
        std::set<std::string> crashed;
        for (const StartOrder &start : starts) {
            m_fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Started, m_fixture.now);
            m_running[start.host].emplace_back(start.run, m_fixture.now);
            if (deadly.contains(start.run.task.job)) {
                ++deadlyStarts[start.run.task];
                crashed.insert(start.host);
            }
        }
        m_fixture.advance(Milliseconds(100));
        for (const std::string &host : crashed) {
            crash(host);
        }
        reportAll();
        answerStops();
    }

    /// Confirms that runs which their host does not list will never run.
    void answerStops()
    {
        for (const StopOrder &stop : m_fixture.stops()) {
            const auto &running = m_running[stop.host];
            const bool isAbsent = std::ranges::none_of(running,
                                                       [&](const auto &entry) { return entry.first == stop.run; });
            m_fixture.scheduler->onStopOutcome(
                stop.host, stop.run, isAbsent ? StopOutcome::Absent : StopOutcome::Ending, m_fixture.now);
        }
    }

    /// Replaces an upstream by its next incarnation, which runs nothing.
    void crash(const std::string &host)
    {
        ++m_incarnations[host];
        m_running[host].clear();
        m_fixture.scheduler->onReport(report(host), m_fixture.now);
    }

    [[nodiscard]] HostReport report(const std::string &host)
    {
        HostReport report = m_fixture.reportOf(host);
        report.upstream->identity.incarnation += m_incarnations[host];
        for (const auto &[run, startedAt] : m_running[host]) {
            report.running.push_back(
                {.run = run,
                 .percent = 10,
                 .listedFor = std::chrono::duration_cast<Milliseconds>(m_fixture.now - startedAt)});
        }
        return report;
    }

    void reportAll()
    {
        for (const std::string &host : m_fixture.hostNames) {
            m_fixture.scheduler->onReport(report(host), m_fixture.now);
        }
    }

    /// Plans and executes for a time, 0.1 s at once.
    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            execute(m_fixture.step());
        }
    }

    [[nodiscard]] JobPhase phase(const std::string &job) const
    {
        return m_fixture.scheduler->find(job)->phase();
    }

    std::set<std::string> deadly;
    std::map<TaskId, int> deadlyStarts;

private:
    SchedulerFixture &m_fixture;
    std::map<std::string, int> m_incarnations;
    std::map<std::string, std::vector<std::pair<RunId, TimePoint>>> m_running;
};

} // namespace

TEST_CASE("A task that crashes the upstreams that start it is given up", "[scheduler][crash]")
{
    // Guards against BUDGET: one task crashes upstream after upstream, and all work there is lost each time.
    SchedulerFixture fixture;
    CrashingHosts hosts(fixture);
    hosts.deadly = {"deadly"};

    SECTION("Alone, after its second crash")
    {
        fixture.scheduler->submit(SchedulerFixture::quickJob("deadly"), fixture.now);
        hosts.run(10);
        CHECK(hosts.phase("deadly") == JobPhase::Failed);
        CHECK(hosts.deadlyStarts.begin()->second == 2);
    }
    SECTION("Also when it is listed right before the crash")
    {
        fixture.scheduler->submit(SchedulerFixture::quickJob("deadly"), fixture.now);
        int starts = 0;
        for (int round = 0; round < 10; ++round) {
            for (const StartOrder &start : fixture.step(Milliseconds(100))) {
                ++starts;
                fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Started, fixture.now);
                HostReport report = hosts.report(start.host);
                report.running.push_back({.run = start.run, .listedFor = Milliseconds(25)});
                fixture.scheduler->onReport(report, fixture.now);
                hosts.crash(start.host);
            }
        }
        CHECK(hosts.phase("deadly") == JobPhase::Failed);
        CHECK(starts == 2);
    }
    SECTION("Beside others, which go on")
    {
        fixture.scheduler->submit(SchedulerFixture::quickJob("healthy-1", 3), fixture.now);
        fixture.scheduler->submit(SchedulerFixture::quickJob("deadly"), fixture.now);
        fixture.scheduler->submit(SchedulerFixture::quickJob("healthy-2", 3), fixture.now);
        hosts.run(30);
        CHECK(hosts.phase("deadly") == JobPhase::Failed);
        CHECK(hosts.deadlyStarts.begin()->second <= 3);
        CHECK(hosts.phase("healthy-1") == JobPhase::Running);
        CHECK(hosts.phase("healthy-2") == JobPhase::Running);
        for (const std::string job : {"healthy-1", "healthy-2"}) {
            for (const Task &task : fixture.scheduler->find(job)->stepTasks(0, 0)) {
                CHECK(task.attempts.size() == 1);
                CHECK_FALSE(task.suspected);
            }
        }
    }
    SECTION("Beside another that does the same")
    {
        hosts.deadly = {"deadly", "deadly-too"};
        fixture.scheduler->submit(SchedulerFixture::quickJob("deadly", 2), fixture.now);
        fixture.scheduler->submit(SchedulerFixture::quickJob("deadly-too", 2), fixture.now);
        fixture.scheduler->submit(SchedulerFixture::quickJob("healthy", 4), fixture.now);
        hosts.run(60);
        CHECK(hosts.phase("deadly") == JobPhase::Failed);
        CHECK(hosts.phase("deadly-too") == JobPhase::Failed);
        CHECK(hosts.phase("healthy") == JobPhase::Running);
        for (const auto &[task, starts] : hosts.deadlyStarts) {
            CHECK(starts <= 5);
        }
    }
    SECTION("Whatever the kind of its step")
    {
        JobSpec job = SchedulerFixture::quickJob("deadly", 2);
        SECTION("A service")
        {
            job.steps[0].longRunning = true;
        }
        SECTION("A gang")
        {
            job.steps[0].gang = true;
        }
        SECTION("With copies")
        {
            job.steps[0].speculative = true;
        }
        SECTION("With due times")
        {
            job.scheduled = true;
            job.occurrences = 3;
            job.firstDueUnixMs = fixture.unixMs;
        }
        fixture.scheduler->submit(job, fixture.now);
        hosts.run(30);
        CHECK(hosts.phase("deadly") == JobPhase::Failed);
        for (const auto &[task, starts] : hosts.deadlyStarts) {
            CHECK(starts <= 3);
        }
    }
    SECTION("Across changes of leader after each crash")
    {
        fixture.scheduler->submit(SchedulerFixture::quickJob("deadly"), fixture.now);
        for (int term = 0; term < 5 && hosts.phase("deadly") != JobPhase::Failed; ++term) {
            hosts.run(1);
            const JobProgress stored = fixture.scheduler->find("deadly")->progress();
            ++fixture.epoch;
            fixture.scheduler = std::make_unique<Scheduler>(Scheduler::Options{.epoch = fixture.epoch});
            fixture.scheduler->setOperatorView(fixture.view);
            fixture.scheduler->restore(SchedulerFixture::quickJob("deadly"), stored, fixture.now, fixture.now);
            hosts.reportAll();
        }
        CHECK(hosts.phase("deadly") == JobPhase::Failed);
        CHECK(hosts.deadlyStarts.begin()->second == 2);
    }
}

TEST_CASE("Upstreams that crash for reasons of their own cost no job", "[scheduler][crash]")
{
    SchedulerFixture fixture;
    CrashingHosts hosts(fixture);
    fixture.scheduler->submit(SchedulerFixture::quickJob("job", 3), fixture.now);
    const auto crashAll = [&] {
        for (const std::string &host : fixture.hostNames) {
            hosts.crash(host);
        }
        fixture.advance(Milliseconds(500));
    };

    SECTION("When they have survived the starts there")
    {
        for (int crash = 0; crash < 10; ++crash) {
            hosts.run(4);
            crashAll();
        }
        CHECK_FALSE(fixture.scheduler->find("job")->isOver());
    }
    SECTION("When it happens twice right after a start while other upstreams crash without one")
    {
        for (int crash = 0; crash < 2; ++crash) {
            hosts.crash("host-1");
            for (const StartOrder &start : fixture.step()) {
                fixture.scheduler->onStartOutcome(start.host, start.run, StartOutcome::Started, fixture.now);
            }
            crashAll();
        }
        CHECK_FALSE(fixture.scheduler->find("job")->isOver());
    }
    SECTION("When starts were ordered there after the crash, and their agents were frozen and did not reply")
    {
        // Guards against LOST: a job was shown as failed although its task had crashed no upstream.
        fixture.scheduler->submit(SchedulerFixture::quickJob("single"), fixture.now);
        for (int freeze = 0; freeze < 4; ++freeze) {
            for (const StartOrder &start : fixture.step()) {
                fixture.scheduler->onNoReply(start.host, start.run, fixture.now);
            }
            crashAll();
            hosts.reportAll();
            hosts.answerStops();
        }
        CHECK_FALSE(fixture.scheduler->find("job")->isOver());
        CHECK_FALSE(fixture.scheduler->find("single")->isOver());
    }
    SECTION("When the upstreams leave and are replaced")
    {
        for (int release = 0; release < 10; ++release) {
            fixture.step();
            for (const std::string &host : fixture.hostNames) {
                HostReport leaving = hosts.report(host);
                leaving.upstream->draining = true;
                fixture.scheduler->onReport(leaving, fixture.now);
            }
            crashAll();
        }
        CHECK_FALSE(fixture.scheduler->find("job")->isOver());
    }
}

} // namespace Carobflow::Scheduling
