#include "carobflow/daemon/protocolconversion.h"

#include <array>
#include <utility>

namespace Carobflow
{
namespace
{

constexpr std::array ReportedStateNames{
    std::pair{ReportedState::Running, std::string_view("running")},
    std::pair{ReportedState::Stopping, std::string_view("stopping")},
    std::pair{ReportedState::Stopped, std::string_view("stopped")},
    std::pair{ReportedState::Finished, std::string_view("finished")},
    std::pair{ReportedState::Failed, std::string_view("failed")},
    std::pair{ReportedState::Lost, std::string_view("lost")},
    std::pair{ReportedState::Refused, std::string_view("refused")},
};

std::string_view reportedStateName(ReportedState state)
{
    for (const auto &[value, name] : ReportedStateNames) {
        if (value == state) {
            return name;
        }
    }
    return "running";
}

ReportedState reportedStateOf(std::string_view text)
{
    for (const auto &[value, name] : ReportedStateNames) {
        if (name == text) {
            return value;
        }
    }
    // A state that only a newer version knows must not count as ended.
    return ReportedState::Running;
}

carobflow::TaskReport toMessage(const TaskReport &task)
{
    carobflow::TaskReport message;
    message.set_job(task.job);
    message.set_fence(task.fence);
    message.set_state(std::string(reportedStateName(task.state)));
    message.set_reason(task.reason);
    *message.mutable_usage() = toMessage(task.usage);
    message.set_checkpoint(task.checkpoint);
    message.set_progress(task.progress);
    message.set_result(task.result);
    message.set_run_ms(static_cast<std::uint64_t>(task.runTime.count()));
    return message;
}

TaskReport fromMessage(const carobflow::TaskReport &message)
{
    return {.job = message.job(),
            .fence = message.fence(),
            .state = reportedStateOf(message.state()),
            .reason = message.reason(),
            .usage = Carobflow::fromMessage(message.usage()),
            .checkpoint = message.checkpoint(),
            .progress = message.progress(),
            .result = message.result(),
            .runTime = Milliseconds(message.run_ms())};
}

carobflow::ServiceWindow toMessage(const ServiceWindow &window)
{
    carobflow::ServiceWindow message;
    message.set_service(window.service);
    message.set_completed(window.completed);
    message.set_p99_ms(window.p99Milliseconds);
    message.set_load(window.load);
    message.set_window_ms(static_cast<std::uint32_t>(window.length.count()));
    for (const std::string &jobClass : window.jobClasses) {
        message.add_job_classes(jobClass);
    }
    return message;
}

ServiceWindow fromMessage(const carobflow::ServiceWindow &message)
{
    return {.service = message.service(),
            .completed = message.completed(),
            .p99Milliseconds = message.p99_ms(),
            .load = message.load(),
            .length = Milliseconds(message.window_ms()),
            .jobClasses = {message.job_classes().begin(), message.job_classes().end()}};
}

carobflow::StartOrder toMessage(const StartOrder &order)
{
    carobflow::StartOrder message;
    message.set_job(order.job);
    message.set_fence(order.fence);
    message.set_job_class(order.jobClass);
    *message.mutable_reserved() = toMessage(order.reserved);
    message.set_checkpoint(order.checkpoint);
    message.set_age_ms(static_cast<std::uint64_t>(order.age.count()));
    message.set_run_seconds(static_cast<std::uint64_t>(order.runSeconds));
    return message;
}

StartOrder fromMessage(const carobflow::StartOrder &message)
{
    return {.job = message.job(),
            .fence = message.fence(),
            .jobClass = message.job_class(),
            .reserved = Carobflow::fromMessage(message.reserved()),
            .checkpoint = message.checkpoint(),
            .age = Milliseconds(message.age_ms()),
            .runSeconds = static_cast<std::int64_t>(message.run_seconds())};
}

} // namespace

carobflow::Resources toMessage(const Resources &resources)
{
    carobflow::Resources message;
    message.set_cpu_millis(resources.cpuMillis);
    message.set_memory_mib(resources.memoryMiB);
    message.set_accelerators(resources.accelerators);
    return message;
}

Resources fromMessage(const carobflow::Resources &message)
{
    return {
        .cpuMillis = message.cpu_millis(), .memoryMiB = message.memory_mib(), .accelerators = message.accelerators()};
}

carobflow::SyncRequest toMessage(const HostReport &report)
{
    carobflow::SyncRequest message;
    message.mutable_host()->set_name(report.host.name);
    message.mutable_host()->set_data_centre(report.host.dataCentre);
    message.mutable_host()->set_rack(report.host.rack);
    *message.mutable_host()->mutable_capacity() = toMessage(report.host.capacity);
    message.set_boot_id(report.bootId);
    message.set_sequence(report.sequence);
    message.set_epoch(report.epoch);
    message.set_sheet_version(report.sheetVersion);
    message.set_full(report.full);
    message.set_leaving(report.leaving);
    for (const TaskReport &task : report.tasks) {
        *message.add_tasks() = toMessage(task);
    }
    for (const ServiceWindow &window : report.windows) {
        *message.add_windows() = toMessage(window);
    }
    return message;
}

HostReport fromMessage(const carobflow::SyncRequest &message)
{
    HostReport report{.host = {.name = message.host().name(),
                               .dataCentre = message.host().data_centre(),
                               .rack = message.host().rack(),
                               .capacity = fromMessage(message.host().capacity())},
                      .bootId = message.boot_id(),
                      .sequence = message.sequence(),
                      .epoch = message.epoch(),
                      .sheetVersion = message.sheet_version(),
                      .full = message.full(),
                      .tasks = {},
                      .windows = {},
                      .leaving = message.leaving()};
    for (const auto &task : message.tasks()) {
        report.tasks.push_back(fromMessage(task));
    }
    for (const auto &window : message.windows()) {
        report.windows.push_back(fromMessage(window));
    }
    return report;
}

carobflow::SyncReply toMessage(const HostOrders &orders)
{
    carobflow::SyncReply message;
    message.set_leading(orders.leading);
    message.set_epoch(orders.epoch);
    message.set_sheet_version(orders.sheetVersion);
    message.set_grant_ms(static_cast<std::uint32_t>(orders.grant.count()));
    message.set_want_full(orders.wantFull);
    for (const StartOrder &start : orders.starts) {
        *message.add_starts() = toMessage(start);
    }
    for (const StopOrder &stop : orders.stops) {
        auto *added = message.add_stops();
        added->set_job(stop.job);
        added->set_fence(stop.fence);
        added->set_checkpoint(stop.checkpoint);
    }
    for (const ThrottleOrder &throttle : orders.throttles) {
        auto *added = message.add_throttles();
        added->set_job(throttle.job);
        added->set_fence(throttle.fence);
        added->set_percent(throttle.percent);
    }
    for (const TaskRef &task : orders.acknowledged) {
        auto *added = message.add_acknowledged();
        added->set_job(task.job);
        added->set_fence(task.fence);
    }
    return message;
}

HostOrders fromMessage(const carobflow::SyncReply &message)
{
    HostOrders orders{.leading = message.leading(),
                      .epoch = message.epoch(),
                      .sheetVersion = message.sheet_version(),
                      .grant = Milliseconds(message.grant_ms()),
                      .starts = {},
                      .stops = {},
                      .throttles = {},
                      .acknowledged = {},
                      .wantFull = message.want_full()};
    for (const auto &start : message.starts()) {
        orders.starts.push_back(fromMessage(start));
    }
    for (const auto &stop : message.stops()) {
        orders.stops.push_back({.job = stop.job(), .fence = stop.fence(), .checkpoint = stop.checkpoint()});
    }
    for (const auto &throttle : message.throttles()) {
        orders.throttles.push_back({.job = throttle.job(), .fence = throttle.fence(), .percent = throttle.percent()});
    }
    for (const auto &task : message.acknowledged()) {
        orders.acknowledged.push_back({.job = task.job(), .fence = task.fence()});
    }
    return orders;
}

carobflow::Job toMessage(const JobSpec &spec)
{
    carobflow::Job message;
    message.set_id(spec.id);
    message.set_team(spec.team);
    message.set_job_class(spec.jobClass);
    message.set_kind(spec.kind == JobKind::Check ? "check" : "batch");
    message.set_urgency(spec.urgency == Urgency::Urgent ? "urgent" : "normal");
    *message.mutable_declared() = toMessage(spec.declared);
    message.set_run_seconds(spec.runSeconds);
    message.set_deadline_unix_seconds(spec.deadlineUnixSeconds);
    return message;
}

JobSpec fromMessage(const carobflow::Job &message)
{
    return {.id = message.id(),
            .team = message.team(),
            .jobClass = message.job_class(),
            .kind = message.kind() == "check" ? JobKind::Check : JobKind::Batch,
            .urgency = message.urgency() == "urgent" ? Urgency::Urgent : Urgency::Normal,
            .declared = fromMessage(message.declared()),
            .runSeconds = message.run_seconds(),
            .deadlineUnixSeconds = message.deadline_unix_seconds(),
            .fromSheet = false};
}

carobflow::JobStatus toMessage(const JobView &view)
{
    carobflow::JobStatus message;
    *message.mutable_job() = toMessage(view.spec);
    message.set_state(std::string(jobStateName(view.state)));
    message.set_host(view.host);
    message.set_fence(view.fence);
    message.set_reason(view.reason);
    message.set_result(view.result);
    message.set_evictions(view.evictions);
    message.set_progress(view.progress);
    message.set_slack_seconds(view.slackSeconds);
    return message;
}

Announcement fromMessage(const carobflow::AnnounceRequest &message)
{
    Announcement announcement{.host = message.host(),
                              .dataCentre = message.data_centre(),
                              .agentAddress = message.agent_address(),
                              .bootId = message.boot_id(),
                              .sequence = message.sequence(),
                              .services = {}};
    for (const auto &upstream : message.upstreams()) {
        announcement.services.push_back({.name = upstream.service(),
                                         .slots = upstream.slots(),
                                         .connections = upstream.connections(),
                                         .leaving = upstream.leaving()});
    }
    return announcement;
}

AttemptOutcome takeOutcome(carobflow::ForwardReply &&message)
{
    switch (message.outcome_case()) {
    case carobflow::ForwardReply::kAnswer: {
        UpstreamAnswer answer{.status = message.answer().status(),
                              .headers = {},
                              .body = std::move(*message.mutable_answer()->mutable_body())};
        for (const auto &header : message.answer().headers()) {
            answer.headers.emplace_back(header.name(), header.value());
        }
        return answer;
    }
    case carobflow::ForwardReply::kNotRun:
        return NotRunOutcome{.reason = message.not_run().reason(),
                             .retryAfter = Milliseconds(message.not_run().retry_after_ms())};
    case carobflow::ForwardReply::kUnknown:
        return UnknownOutcome{.reason = message.unknown().reason()};
    case carobflow::ForwardReply::OUTCOME_NOT_SET:
        break;
    }
    return UnknownOutcome{.reason = "the agent's reply has no outcome"};
}

void setOutcome(carobflow::ForwardReply &message, AttemptOutcome &&outcome)
{
    if (auto *answer = std::get_if<UpstreamAnswer>(&outcome)) {
        message.mutable_answer()->set_status(answer->status);
        message.mutable_answer()->set_body(std::move(answer->body));
        for (auto &[name, value] : answer->headers) {
            auto *header = message.mutable_answer()->add_headers();
            header->set_name(std::move(name));
            header->set_value(std::move(value));
        }
    } else if (const auto *notRun = std::get_if<NotRunOutcome>(&outcome)) {
        message.mutable_not_run()->set_reason(notRun->reason);
        message.mutable_not_run()->set_retry_after_ms(static_cast<std::uint32_t>(notRun->retryAfter.count()));
    } else {
        message.mutable_unknown()->set_reason(std::get<UnknownOutcome>(outcome).reason);
    }
}

std::string_view outcomeName(JobReply::Outcome outcome)
{
    switch (outcome) {
    case JobReply::Outcome::Accepted:
        return "accepted";
    case JobReply::Outcome::Exists:
        return "exists";
    case JobReply::Outcome::Conflict:
        return "conflict";
    case JobReply::Outcome::Cancelled:
        return "cancelled";
    case JobReply::Outcome::NotFound:
        return "not-found";
    case JobReply::Outcome::Ended:
        return "ended";
    case JobReply::Outcome::NotLeader:
        return "not-leader";
    case JobReply::Outcome::Unavailable:
        return "unavailable";
    case JobReply::Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Carobflow
