#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>
#include <bit>

namespace Carobflow::Scheduling
{
namespace
{

/// Bytes around a step in its row, and of one reference to another step.
constexpr std::size_t StepBytes = 8;
constexpr std::size_t ReferenceBytes = 2;
constexpr std::size_t FlagBytes = 3;

/// Upper bound of the size of a number in a row; the encoding has 7 bits of it in each byte.
std::size_t sizeOf(std::int64_t number)
{
    return number == 0 ? 0 : 2 + (std::bit_width(static_cast<std::uint64_t>(number)) + 6) / 7;
}

bool isWithin(std::int64_t number, std::int64_t highest)
{
    return number >= 0 && number <= highest;
}

std::size_t sizeOf(const StepSpec &step)
{
    std::size_t bytes = StepBytes + step.after.size() * ReferenceBytes + step.requiredLabel.size()
        + step.dataRack.size() + step.image.size();
    for (const std::int64_t number : {static_cast<std::int64_t>(step.count),
                                      step.request.cpuMillis,
                                      step.request.memoryMiB,
                                      step.request.accelerators,
                                      step.estimate.count(),
                                      static_cast<std::int64_t>(step.maxPerUpstream),
                                      step.tailTarget.count(),
                                      static_cast<std::int64_t>(step.maxUnavailable)}) {
        bytes += sizeOf(number);
    }
    for (const bool flag :
         {step.checkpointing, step.gang, step.tightlyCoupled, step.speculative, step.longRunning, step.fillsLeftover}) {
        bytes += flag ? FlagBytes : 0;
    }
    return bytes;
}

std::string_view findFault(const StepSpec &step, std::size_t index)
{
    if (step.count == 0) {
        return "a step has no tasks";
    }
    if (!std::ranges::all_of(step.after, [&](std::uint32_t earlier) { return earlier < index; })) {
        return "a step depends on a step that does not precede it";
    }
    const Resources &request = step.request;
    if (!isWithin(request.cpuMillis, JobLimits::Amount) || !isWithin(request.memoryMiB, JobLimits::Amount)
        || !isWithin(request.accelerators, JobLimits::Amount)) {
        return "the resources of a step are out of range";
    }
    if (!isWithin(step.estimate.count(), JobLimits::Estimate.count())
        || !isWithin(step.tailTarget.count(), JobLimits::Estimate.count())) {
        return "a duration of a step is out of range";
    }
    return {};
}

} // namespace

std::string_view findFault(const JobSpec &job)
{
    if (job.id.empty() || job.id.size() > JobLimits::IdBytes) {
        return "the id is empty or too long";
    }
    if (job.steps.empty() || job.steps.size() > JobLimits::Tasks) {
        return "it has no steps or too many";
    }
    if (job.occurrences == 0 || job.occurrences > JobLimits::Tasks) {
        return "the number of occurrences is out of range";
    }
    if (!isWithin(job.firstDueUnixMs, JobLimits::UnixMs)
        || !isWithin(job.interval.count(), JobLimits::Interval.count())) {
        return "the times of the occurrences are out of range";
    }
    std::uint64_t tasks = 0;
    std::size_t bytes = job.id.size() + job.queue.size() + job.payload.size();
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        const StepSpec &step = job.steps[index];
        if (const std::string_view fault = findFault(step, index); !fault.empty()) {
            return fault;
        }
        tasks += step.count;
        bytes += sizeOf(step);
    }
    if (tasks > JobLimits::Tasks || tasks * job.occurrences > JobLimits::Tasks) {
        return "it has more than 1000 tasks";
    }
    if (bytes > JobLimits::Bytes) {
        return "it is too large for a row of the store";
    }
    return {};
}

} // namespace Carobflow::Scheduling
