#include "loadsimulator.h"

#include "carobflow/scheduler/jobadmission.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace Carobflow::Scheduling
{
namespace
{

const Queue BatchQueue{.name = "batch",
                       .service = "desk",
                       .priority = 2,
                       .maxAttempts = 2,
                       .stretch = 2,
                       .latencyAllowance = Milliseconds(1000)};

/// Jobs of one task of 1 s on one core: an objective of 3 s, of which 9 s are useful.
class AdmissionFixture
{
public:
    explicit AdmissionFixture(Queue queue = BatchQueue)
        : m_queue(std::move(queue))
    {
    }

    Job jobOf(const std::string &id, TimePoint acceptedAt) const
    {
        return jobOf(id, acceptedAt, m_queue);
    }

    static Job jobOf(const std::string &id, TimePoint acceptedAt, const Queue &queue)
    {
        JobSpec spec{.id = id, .queue = queue.name};
        spec.steps = {{.count = 1, .request = {.cpuMillis = 1000}, .estimate = Milliseconds(1000)}};
        return {spec, queue, acceptedAt};
    }

    /// Lets ten tasks end per second, with this many jobs waiting all the time, for some seconds.
    void play(Seconds length, std::size_t waiting)
    {
        const TimePoint end = now + length;
        for (; now < end; now += Milliseconds(100)) {
            fill(waiting);
            Job done = jobOf("done", now);
            const double before = done.remainingWork();
            done.recordSuccess({.job = "done"});
            admission.onTaskDone(done, done.spec().steps.front(), before, Milliseconds(1000), now);
            // Asked for a job of the queue whose client does not return, so that the state is observed.
            admission.decide(jobOf("observer", now), jobs(), 0, JobOrder::Rule::Value, now);
        }
    }

    /// Fills the queue with jobs that have just arrived.
    void fill(std::size_t waiting)
    {
        m_jobs.clear();
        for (std::size_t index = 0; index < waiting; ++index) {
            m_jobs.push_back(std::make_unique<Job>(jobOf("waiting" + std::to_string(index), now - Milliseconds(1))));
        }
    }

    std::vector<const Job *> jobs() const
    {
        std::vector<const Job *> all;
        std::ranges::transform(m_jobs, std::back_inserter(all), &std::unique_ptr<Job>::get);
        return all;
    }

    JobAdmission::Decision submit(const std::string &id)
    {
        return admission.decide(jobOf(id, now), jobs(), 0, JobOrder::Rule::Value, now);
    }

    TimePoint now{Seconds(1000)};
    JobAdmission admission{JobAdmission::Options{}};

private:
    Queue m_queue;
    std::vector<std::unique_ptr<Job>> m_jobs;
};

/// The batch jobs of ninety seconds on fifty hosts of which services reserve most, with a burst of six seconds.
LoadSimulator::Outcome batchOutcome(SchedulingFeatures features, double batchPerSecond, std::uint64_t seed)
{
    LoadSimulator simulator({.hosts = 50,
                             .hostCpuMillis = 18600,
                             .quickPerSecond = 11.8,
                             .quickWidth = 10,
                             .batchPerSecond = batchPerSecond,
                             .batchWidth = 20,
                             .batchCpuMillis = 2500,
                             .workSpread = 0.5,
                             .batchBurst = 2.5,
                             .services = 17,
                             .serviceWidth = 14,
                             .serviceCpuMillis = 3200,
                             .seed = seed,
                             .features = features});
    simulator.simulate(Seconds(90));
    return simulator.outcomes().at("batch");
}

void add(LoadSimulator::Outcome &sum, const LoadSimulator::Outcome &outcome)
{
    sum.submitted += outcome.submitted;
    sum.accepted += outcome.accepted;
    sum.rejections += outcome.rejections;
    sum.inTime += outcome.inTime;
    sum.late += outcome.late;
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

} // namespace

TEST_CASE("A job that could only end when its result is worthless is rejected", "[admission]")
{
    // Ten tasks end per second. 200 waiting jobs are more than the 9 s in which a result is useful, also when half of
    // the work again is done; 20 are not.
    AdmissionFixture fixture;

    SECTION("Not before there is evidence of the rate")
    {
        fixture.fill(200);
        CHECK(fixture.submit("first").accepted);
        fixture.play(Seconds(7), 200);
        CHECK(fixture.submit("soon").accepted);
    }
    SECTION("Not when the queue has been short a moment ago")
    {
        // Guards against a rate that is low because there was little to do before a burst.
        fixture.play(Seconds(20), 0);
        fixture.fill(200);
        CHECK(fixture.submit("burst").accepted);
    }
    SECTION("Not when it ends late, but while it is useful")
    {
        fixture.play(Seconds(10), 20);
        CHECK(fixture.submit("fits").accepted);
    }
    SECTION("Not when those who wait are late and stay behind")
    {
        // Guards against a decision by the length of the whole queue.
        fixture.play(Seconds(10), 200);
        fixture.now += Seconds(4);
        CHECK(fixture.submit("fresh").accepted);
    }
    SECTION("Not when those who wait have expired")
    {
        // Guards against jobs that no host can run, which wait for ever.
        fixture.play(Seconds(10), 200);
        CHECK_FALSE(fixture.submit("before").accepted);
        fixture.now += Seconds(4);
        fixture.submit("observer");
        fixture.now += Seconds(4);
        fixture.submit("observer");
        fixture.now += Seconds(2);
        CHECK(fixture.submit("after").accepted);
    }
    SECTION("When work has waited throughout")
    {
        fixture.play(Seconds(10), 200);
        const JobAdmission::Decision decision = fixture.submit("late");
        REQUIRE_FALSE(decision.accepted);
        CHECK(decision.predicted > 3 * decision.objective);

        SECTION("It gets a time in whole seconds at which the result is still useful")
        {
            CHECK(decision.retryAfter >= Seconds(1));
            CHECK(decision.retryAfter % Seconds(1) == Milliseconds(0));
            CHECK(decision.retryAfter + Seconds(1) <= 3 * decision.objective);
        }
        SECTION("It is accepted at its time although newer jobs are rejected")
        {
            const TimePoint first = fixture.now;
            fixture.now += decision.retryAfter;
            fixture.play(Seconds(0), 200);
            fixture.fill(200);
            const JobAdmission::Decision again = fixture.submit("late");
            CHECK(again.accepted);
            CHECK(again.submittedAt == first);
        }
        SECTION("It gets the rest of its time when it returns too early")
        {
            const JobAdmission::Decision early = fixture.submit("late");
            CHECK_FALSE(early.accepted);
            CHECK(early.retryAfter == decision.retryAfter);
        }
        SECTION("Its objective counts from its first submission")
        {
            // The queue is observed meanwhile, so that it counts as long at the end.
            fixture.play(Seconds(9), 200);
            CHECK_FALSE(fixture.submit("late").accepted);
        }
        SECTION("It is accepted when the queue has become short")
        {
            fixture.fill(0);
            CHECK(fixture.submit("late").accepted);
        }
    }
}

TEST_CASE("Clients of rejected jobs return at different times", "[admission]")
{
    // Guards against a wave of submissions that comes back as a whole.
    Queue patient = BatchQueue;
    patient.stretch = 10;
    AdmissionFixture fixture(patient);
    fixture.play(Seconds(10), 600);
    std::set<Milliseconds> times;
    for (std::size_t job = 0; job < 40; ++job) {
        times.insert(fixture.submit("job" + std::to_string(job)).retryAfter);
    }
    CHECK(times.size() >= 4);
}

TEST_CASE("The memory for rejected jobs is bounded", "[admission]")
{
    AdmissionFixture fixture;
    fixture.admission = JobAdmission({.maxReturns = 100});
    fixture.play(Seconds(10), 200);
    for (std::size_t job = 0; job < 1000; ++job) {
        fixture.submit("job" + std::to_string(job));
    }
    CHECK(fixture.admission.takeSummary().remembered == 100);
    fixture.now += Seconds(200);
    fixture.submit("much-later");
    CHECK(fixture.admission.takeSummary().remembered == 0);
}

TEST_CASE("Services, scheduled jobs and jobs of the highest priorities are never rejected", "[admission]")
{
    JobSpec spec = AdmissionFixture::jobOf("job", {}, BatchQueue).spec();
    Queue queue = BatchQueue;
    CHECK(JobAdmission::mayReject(spec, queue, 0));
    // The highest priority of the configuration need not be 0.
    CHECK_FALSE(JobAdmission::mayReject(spec, queue, 2));
    queue.priority = 0;
    CHECK_FALSE(JobAdmission::mayReject(spec, queue, 0));
    queue.priority = 2;
    spec.scheduled = true;
    CHECK_FALSE(JobAdmission::mayReject(spec, queue, 0));
    spec.scheduled = false;
    spec.steps.front().longRunning = true;
    CHECK_FALSE(JobAdmission::mayReject(spec, queue, 0));
}

TEST_CASE("Predictions are compared with the actual ends", "[admission]")
{
    AdmissionFixture fixture;
    fixture.play(Seconds(10), 20);
    fixture.admission.takeSummary();
    Job job = fixture.jobOf("job", fixture.now);
    REQUIRE(fixture.submit("job").accepted);
    const double before = job.remainingWork();
    job.recordSuccess({.job = "job"});
    // Two seconds for the twenty jobs before it, and one for itself.
    fixture.now += Milliseconds(3500);
    fixture.admission.onTaskDone(job, job.spec().steps.front(), before, Milliseconds(1000), fixture.now);
    const JobAdmission::Summary summary = fixture.admission.takeSummary();
    CHECK(summary.compared == 1);
    CHECK(std::chrono::abs(summary.meanError - Milliseconds(500)) < Milliseconds(300));
}

TEST_CASE("Jobs that are accepted end in time more often with admission", "[load][admission]")
{
    // Guards against admission that only delays work: all clients return, and the same jobs end late. Work arrives for
    // about 2.7 times the free processor time.
    LoadSimulator::Outcome plain;
    LoadSimulator::Outcome admitted;
    for (const std::uint64_t seed : {1, 2, 3}) {
        add(plain, batchOutcome({.orderByValue = true}, 4, seed));
        add(admitted, batchOutcome({.orderByValue = true, .admission = true}, 4, seed));
    }
    CAPTURE(plain.submitted, plain.accepted, plain.inTime, plain.late);
    CAPTURE(admitted.submitted, admitted.accepted, admitted.inTime, admitted.late, admitted.rejections);
    CHECK(share(admitted.inTime, admitted.accepted) > 1.2 * share(plain.inTime, plain.accepted));
    // The jobs that end in time are not fewer.
    CHECK(share(admitted.inTime, admitted.submitted) > 0.95 * share(plain.inTime, plain.submitted));
}

TEST_CASE("No job is rejected that a calm deployment serves", "[load][admission]")
{
    // Guards against rejections in bursts of some seconds, after a quiet time and by either order. 1.5 jobs per second
    // need about the free processor time.
    const double batchPerSecond = GENERATE(0.3, 1.0, 1.5);
    const bool orderByValue = GENERATE(false, true);
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(batchPerSecond, orderByValue, seed);
        const LoadSimulator::Outcome outcome = batchOutcome(
            {.orderByValue = orderByValue, .admission = true}, batchPerSecond, seed);
        CHECK(outcome.rejections == 0);
    }
}

} // namespace Carobflow::Scheduling
