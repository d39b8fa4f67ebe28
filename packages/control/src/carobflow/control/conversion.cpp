#include "carobflow/control/conversion.h"

#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>

namespace Carobflow
{

namespace wire = carobflow::control;
namespace model = Scheduling;

namespace
{

constexpr std::uint32_t FullShare = 100;

void fill(wire::Size &message, const Resources &resources)
{
    message.set_cpu_millis(resources.cpuMillis);
    message.set_memory_mib(resources.memoryMiB);
    message.set_accelerators(resources.accelerators);
}

Resources resourcesOf(const wire::Size &message)
{
    return {
        .cpuMillis = message.cpu_millis(), .memoryMiB = message.memory_mib(), .accelerators = message.accelerators()};
}

void fill(wire::Step &message, const model::StepSpec &step)
{
    message.set_count(step.count);
    fill(*message.mutable_request(), step.request);
    message.set_estimate_ms(step.estimate.count());
    message.mutable_after()->Assign(step.after.begin(), step.after.end());
    message.set_checkpointing(step.checkpointing);
    message.set_gang(step.gang);
    message.set_tightly_coupled(step.tightlyCoupled);
    message.set_required_label(step.requiredLabel);
    message.set_data_rack(step.dataRack);
    message.set_max_per_upstream(step.maxPerUpstream);
    message.set_speculative(step.speculative);
    message.set_long_running(step.longRunning);
    message.set_image(step.image);
    message.set_tail_target_ms(step.tailTarget.count());
    message.set_fills_leftover(step.fillsLeftover);
    message.set_max_unavailable(step.maxUnavailable);
}

model::StepSpec stepOf(const wire::Step &message)
{
    return {.count = message.count(),
            .request = resourcesOf(message.request()),
            .estimate = Milliseconds(message.estimate_ms()),
            .after = {message.after().begin(), message.after().end()},
            .checkpointing = message.checkpointing(),
            .gang = message.gang(),
            .tightlyCoupled = message.tightly_coupled(),
            .requiredLabel = message.required_label(),
            .dataRack = message.data_rack(),
            .maxPerUpstream = message.max_per_upstream(),
            .speculative = message.speculative(),
            .longRunning = message.long_running(),
            .image = message.image(),
            .tailTarget = Milliseconds(message.tail_target_ms()),
            .fillsLeftover = message.fills_leftover(),
            .maxUnavailable = message.max_unavailable()};
}

void fill(wire::Upstream &message, const model::UpstreamDescription &upstream)
{
    message.set_id(upstream.identity.id);
    message.set_incarnation(upstream.identity.incarnation);
    message.set_service(upstream.service);
    message.set_data_centre(upstream.dataCentre);
    fill(*message.mutable_capacity(), upstream.capacity);
    message.set_rack(upstream.rack);
    message.mutable_labels()->Assign(upstream.labels.begin(), upstream.labels.end());
    message.set_draining(upstream.draining);
}

model::RunEnd endOf(std::uint32_t number)
{
    return number < static_cast<std::uint32_t>(model::RunEnd::Unknown) ? static_cast<model::RunEnd>(number)
                                                                       : model::RunEnd::Unknown;
}

model::UpstreamDescription upstreamOf(const wire::Upstream &message)
{
    return {.identity = {.id = message.id(), .incarnation = message.incarnation()},
            .service = message.service(),
            .dataCentre = message.data_centre(),
            .capacity = resourcesOf(message.capacity()),
            .rack = message.rack(),
            .labels = {message.labels().begin(), message.labels().end()},
            .draining = message.draining()};
}

} // namespace

wire::QueueSettings toMessage(const model::Queue &queue)
{
    wire::QueueSettings message;
    message.set_service(queue.service);
    message.set_priority(queue.priority);
    message.set_max_attempts(queue.maxAttempts);
    message.set_stretch(queue.stretch);
    message.set_latency_allowance_ms(queue.latencyAllowance.count());
    message.set_needs_permit(queue.needsPermit);
    return message;
}

model::Queue fromMessage(const wire::QueueSettings &message)
{
    return {.name = {},
            .service = message.service(),
            .priority = message.priority(),
            .maxAttempts = std::max(1U, message.max_attempts()),
            .stretch = message.stretch() >= 0 && message.stretch() <= model::JobLimits::Stretch ? message.stretch() : 1,
            .latencyAllowance = Milliseconds(
                std::clamp<std::int64_t>(message.latency_allowance_ms(), 0, model::JobLimits::Estimate.count())),
            .needsPermit = message.needs_permit()};
}

wire::Job toMessage(const model::JobSpec &job)
{
    wire::Job message;
    message.set_id(job.id);
    message.set_queue(job.queue);
    message.set_payload(job.payload);
    for (const model::StepSpec &step : job.steps) {
        fill(*message.add_steps(), step);
    }
    message.set_occurrences(job.occurrences);
    message.set_scheduled(job.scheduled);
    message.set_first_due_unix_ms(job.firstDueUnixMs);
    message.set_interval_ms(job.interval.count());
    return message;
}

model::JobSpec fromMessage(const wire::Job &message)
{
    model::JobSpec job{.id = message.id(),
                       .queue = message.queue(),
                       .payload = message.payload(),
                       .steps = {},
                       .occurrences = message.occurrences(),
                       .scheduled = message.scheduled(),
                       .firstDueUnixMs = message.first_due_unix_ms(),
                       .interval = Milliseconds(message.interval_ms())};
    for (const wire::Step &step : message.steps()) {
        job.steps.push_back(stepOf(step));
    }
    return job;
}

wire::JobProgress toMessage(const model::JobProgress &progress)
{
    wire::JobProgress message;
    message.set_cancelled(progress.cancelled);
    message.set_failed(progress.failed);
    message.set_started(progress.started);
    message.set_completed(progress.completed);
    if (progress.queue) {
        *message.mutable_queue() = toMessage(*progress.queue);
    }
    for (const model::TaskProgress &task : progress.tasks) {
        wire::TaskProgress &entry = *message.add_tasks();
        entry.set_occurrence(task.id.occurrence);
        entry.set_step(task.id.step);
        entry.set_index(task.id.index);
        entry.set_last_run(task.lastRun);
        entry.set_failures(task.failures);
        entry.set_failed_run(task.failedRun);
        entry.set_done(task.succeeded);
        entry.set_checkpoint(task.checkpoint);
        entry.mutable_crashed_on()->Assign(task.crashedOn.begin(), task.crashedOn.end());
        entry.set_suspected(task.suspected);
        for (const auto &[host, run] : task.placements) {
            wire::Placement &placement = *entry.add_placements();
            placement.set_host(host);
            placement.set_run(run);
        }
    }
    return message;
}

model::JobProgress fromMessage(const wire::JobProgress &message, const std::string &job)
{
    model::JobProgress progress{.cancelled = message.cancelled(),
                                .failed = message.failed(),
                                .started = message.started(),
                                .completed = message.completed(),
                                .queue = message.has_queue() ? std::optional(fromMessage(message.queue()))
                                                             : std::nullopt,
                                .tasks = {}};
    for (const wire::TaskProgress &entry : message.tasks()) {
        model::TaskProgress task{
            .id = {.job = job, .occurrence = entry.occurrence(), .step = entry.step(), .index = entry.index()},
            .lastRun = entry.last_run(),
            .failures = entry.failures(),
            .failedRun = entry.failed_run(),
            .succeeded = entry.done(),
            .checkpoint = entry.checkpoint(),
            .crashedOn = {entry.crashed_on().begin(), entry.crashed_on().end()},
            .suspected = entry.suspected(),
            .placements = {}};
        for (const wire::Placement &placement : entry.placements()) {
            task.placements.emplace_back(placement.host(), placement.run());
        }
        progress.tasks.push_back(std::move(task));
    }
    return progress;
}

wire::ReportRequest toMessage(const model::HostReport &report)
{
    wire::ReportRequest message;
    message.set_host(report.host);
    message.set_address(report.address);
    message.set_data_centre(report.dataCentre);
    message.set_agent_incarnation(report.agentIncarnation);
    message.set_fenced_epoch(report.fencedEpoch);
    if (report.upstream) {
        fill(*message.mutable_upstream(), *report.upstream);
    }
    message.set_silence_ms(report.silence.count());
    message.set_lease_left_ms(report.leaseLeft.count());
    message.set_tail_pressure(report.tailPressure);
    for (const model::RunningRun &run : report.running) {
        wire::RunningRun &entry = *message.add_running();
        entry.set_task(run.run.task.toString());
        entry.set_run(run.run.run);
        entry.set_checkpoint(run.checkpoint);
        entry.set_percent(run.percent);
        entry.set_load(run.load);
        entry.set_withheld_percent(FullShare - std::min(run.share, FullShare));
        entry.set_listed_ms(run.listedFor.count());
    }
    for (const model::EndedRun &run : report.ended) {
        wire::EndedRun &entry = *message.add_ended();
        entry.set_number(run.number);
        entry.set_task(run.run.task.toString());
        entry.set_run(run.run.run);
        entry.set_end(static_cast<std::uint32_t>(run.end));
        entry.set_checkpoint(run.checkpoint);
    }
    message.set_more_ends(report.moreEnds);
    message.set_former_lease_left_ms(report.formerLeaseLeft.count());
    return message;
}

model::RunId runOf(const std::string &task, std::uint32_t run)
{
    return {.task = model::parseTaskId(task).value_or(model::TaskId{}), .run = run};
}

model::HostReport fromMessage(const wire::ReportRequest &message)
{
    model::HostReport report{.host = message.host(),
                             .address = message.address(),
                             .dataCentre = message.data_centre(),
                             .agentIncarnation = message.agent_incarnation(),
                             .fencedEpoch = message.fenced_epoch(),
                             .upstream = std::nullopt,
                             .silence = Milliseconds(message.silence_ms()),
                             .leaseLeft = Milliseconds(message.lease_left_ms()),
                             .formerLeaseLeft = Milliseconds(message.former_lease_left_ms()),
                             .tailPressure = message.tail_pressure(),
                             .running = {},
                             .ended = {},
                             .moreEnds = message.more_ends()};
    if (message.has_upstream()) {
        report.upstream = upstreamOf(message.upstream());
    }
    for (const wire::RunningRun &entry : message.running()) {
        report.running.push_back({.run = runOf(entry.task(), entry.run()),
                                  .checkpoint = entry.checkpoint(),
                                  .percent = entry.percent(),
                                  .load = entry.load(),
                                  .share = FullShare - std::min(entry.withheld_percent(), FullShare),
                                  .listedFor = Milliseconds(entry.listed_ms())});
    }
    for (const wire::EndedRun &entry : message.ended()) {
        report.ended.push_back({.number = entry.number(),
                                .run = runOf(entry.task(), entry.run()),
                                .end = endOf(entry.end()),
                                .checkpoint = entry.checkpoint()});
    }
    return report;
}

wire::StartOrder toMessage(const model::StartOrder &order)
{
    wire::StartOrder message;
    message.set_task(order.run.task.toString());
    message.set_run(order.run.run);
    message.set_payload(order.payload);
    message.set_checkpoint(order.checkpoint);
    message.set_permit(order.permit);
    message.set_image(order.image);
    message.set_tail_target_ms(order.tailTarget.count());
    message.set_fills_leftover(order.fillsLeftover);
    message.set_upstream_id(order.upstream.id);
    message.set_upstream_incarnation(order.upstream.incarnation);
    return message;
}

model::StartOrder fromMessage(const wire::StartOrder &message, std::string_view host)
{
    return {.run = runOf(message.task(), message.run()),
            .host = std::string(host),
            .upstream = {.id = message.upstream_id(), .incarnation = message.upstream_incarnation()},
            .payload = message.payload(),
            .checkpoint = message.checkpoint(),
            .permit = message.permit(),
            .image = message.image(),
            .tailTarget = Milliseconds(message.tail_target_ms()),
            .fillsLeftover = message.fills_leftover()};
}

wire::StopOrder toMessage(const model::StopOrder &order)
{
    wire::StopOrder message;
    message.set_task(order.run.task.toString());
    message.set_run(order.run.run);
    message.set_upstream_id(order.upstream.id);
    message.set_upstream_incarnation(order.upstream.incarnation);
    return message;
}

model::StopOrder fromMessage(const wire::StopOrder &message, std::string_view host)
{
    return {.run = runOf(message.task(), message.run()),
            .host = std::string(host),
            .upstream = {.id = message.upstream_id(), .incarnation = message.upstream_incarnation()},
            .reason = {}};
}

model::StartOutcome startOutcomeOf(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(model::StartOutcome::Unanswered)
        ? static_cast<model::StartOutcome>(number)
        : model::StartOutcome::Unanswered;
}

model::StopOutcome stopOutcomeOf(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(model::StopOutcome::Unanswered)
        ? static_cast<model::StopOutcome>(number)
        : model::StopOutcome::Unanswered;
}

std::optional<model::JobPhase> phaseOf(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(model::JobPhase::Cancelled)
        ? std::optional(static_cast<model::JobPhase>(number))
        : std::nullopt;
}

} // namespace Carobflow
