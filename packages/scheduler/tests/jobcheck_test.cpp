#include "carobflow/scheduler/jobcheck.h"

#include "carobflow/scheduler/job.h"

#include <algorithm>
#include <limits>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace Carobflow::Scheduling
{

namespace
{

constexpr std::int64_t Highest = std::numeric_limits<std::int64_t>::max();

template<typename Number>
rc::Gen<Number> oddNumber()
{
    return rc::gen::weightedOneOf<Number>({{60, rc::gen::inRange<Number>(1, 6)},
                                           {1, rc::gen::arbitrary<Number>()},
                                           {1, rc::gen::just(std::numeric_limits<Number>::max())},
                                           {1, rc::gen::just(std::numeric_limits<Number>::min())}});
}

StepSpec oddStep(std::uint32_t index)
{
    const auto references = rc::gen::resize(
        2, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, std::max(1U, index))));
    return {.count = *oddNumber<std::uint32_t>(),
            .request = {.cpuMillis = *oddNumber<std::int64_t>(), .memoryMiB = *oddNumber<std::int64_t>()},
            .estimate = Milliseconds(*oddNumber<std::int64_t>()),
            .after = index > 0 || *rc::gen::weightedElement<bool>({{1, true}, {30, false}})
                ? *references
                : std::vector<std::uint32_t>()};
}

JobSpec oddJob()
{
    JobSpec job{.id = "a",
                .occurrences = *oddNumber<std::uint32_t>(),
                .scheduled = true,
                .firstDueUnixMs = *oddNumber<std::int64_t>(),
                .interval = Milliseconds(*oddNumber<std::int64_t>())};
    const auto steps = *rc::gen::inRange(1U, 4U);
    for (std::uint32_t step = 0; step < steps; ++step) {
        job.steps.push_back(oddStep(step));
    }
    return job;
}

JobSpec smallJob()
{
    return {.id = "a", .steps = {{.count = 2}, {.count = 3, .after = {0}}}, .occurrences = 2};
}

} // namespace

TEST_CASE("A job without a fault can be run", "[jobcheck]")
{
    SECTION("Whatever its numbers are")
    {
        // Guards against a process that ends because of a job that another writer left in the store.
        CHECK(rc::check([] {
            const JobSpec spec = oddJob();
            RC_PRE(findFault(spec).empty());
            Job job(spec, {.stretch = 1'000'000}, TimePoint(Seconds(1000)));
            std::uint64_t tasks = 0;
            job.forEachTask([&](const TaskId &id, const Task &task) {
                ++tasks;
                RC_ASSERT(job.findTask(id) == &task);
                RC_ASSERT(!job.isStepReady(id.occurrence, id.step, spec.firstDueUnixMs - 1));
            });
            RC_ASSERT(tasks > 0U);
            RC_ASSERT(tasks <= JobLimits::Tasks);
            RC_ASSERT(job.objectiveEnd() >= job.acceptedAt());
        }));
    }
    SECTION("As long as it stays within the limits")
    {
        CHECK(findFault(smallJob()).empty());
        JobSpec largest = smallJob();
        largest.steps = {{.count = 1000}};
        largest.occurrences = 1;
        largest.payload = std::string(44'900, 'x');
        CHECK(findFault(largest).empty());
    }
}

TEST_CASE("A job that cannot be run has a fault", "[jobcheck]")
{
    JobSpec job = smallJob();

    SECTION("When the product of its counts overflows")
    {
        // Guards against a request for 2^64 tasks that passes for a small one.
        job.steps = {{.count = 4'294'967'295}};
        job.occurrences = 4'294'967'295;
        CHECK_FALSE(findFault(job).empty());
        job.steps = {{.count = 1000}};
        job.occurrences = 2;
        CHECK_FALSE(findFault(job).empty());
    }
    SECTION("When a step depends on itself or on a missing step")
    {
        job.steps[1].after = {1};
        CHECK_FALSE(findFault(job).empty());
        job.steps[1].after = {7};
        CHECK_FALSE(findFault(job).empty());
    }
    SECTION("When it has no tasks, occurrences, steps or id")
    {
        // Guards against a job that counts as completed before anything has run.
        CHECK_FALSE(findFault({}).empty());
        job.occurrences = 0;
        CHECK_FALSE(findFault(job).empty());
        job = smallJob();
        job.steps[0].count = 0;
        CHECK_FALSE(findFault(job).empty());
        job = smallJob();
        job.id.clear();
        CHECK_FALSE(findFault(job).empty());
    }
    SECTION("When an amount is negative or overflows in sums")
    {
        for (const std::int64_t amount : {std::int64_t(-1), Highest, std::numeric_limits<std::int64_t>::min()}) {
            job = smallJob();
            job.steps[0].request.cpuMillis = amount;
            CHECK_FALSE(findFault(job).empty());
            job = smallJob();
            job.steps[0].estimate = Milliseconds(amount);
            CHECK_FALSE(findFault(job).empty());
            job = smallJob();
            job.interval = Milliseconds(amount);
            CHECK_FALSE(findFault(job).empty());
            job = smallJob();
            job.firstDueUnixMs = amount;
            CHECK_FALSE(findFault(job).empty());
        }
    }
    SECTION("When its row is too large for the store")
    {
        job.payload = std::string(45'001, 'x');
        CHECK_FALSE(findFault(job).empty());
    }
}

} // namespace Carobflow::Scheduling
