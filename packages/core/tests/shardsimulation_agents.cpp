#include "shardsimulation.h"

namespace Carobflow::Testing
{

HostReport Simulation::makeReport(int index)
{
    FakeAgent &agent = m_processes[index].agent;
    FakeWorker &worker = m_workers[index];
    worker.update(now(), m_checkpoints);
    HostReport report{.host = {.name = hostName(index),
                               .dataCentre = dataCentreOf(index),
                               .rack = {},
                               .capacity = {.cpuMillis = 4000, .memoryMiB = 4000, .accelerators = index % 2}},
                      .bootId = agent.bootId,
                      .sequence = ++agent.sequence,
                      .epoch = agent.epoch,
                      .sheetVersion = agent.sheetVersion,
                      .full = agent.full,
                      .tasks = {},
                      .windows = {},
                      .leaving = false};
    for (const auto &[ref, task] : worker.tasks) {
        TaskReport entry;
        entry.job = ref.job;
        entry.fence = ref.fence;
        entry.state = task.state;
        entry.checkpoint = task.checkpoint;
        const std::int64_t done = task.workBefore + std::min(now(), task.leaseEnd) - task.startedAt;
        entry.progress = static_cast<double>(done) / static_cast<double>(task.totalWork);
        entry.runTime = Milliseconds(task.totalWork);
        report.tasks.push_back(entry);
    }
    // Tail latencies are high at random, whichever tasks run, so that many tasks are throttled and evicted.
    ServiceWindow window{.service = "desk",
                         .completed = 100,
                         .p99Milliseconds = static_cast<double>(faultOccurs(40) ? m_random.between(80, 400) : 20),
                         .load = 0.5,
                         .length = Milliseconds(150),
                         .jobClasses = {}};
    for (const auto &[ref, task] : worker.tasks) {
        if (task.state == ReportedState::Running) {
            window.jobClasses.push_back(m_store.replica.find(ref.job)->spec.jobClass);
        }
    }
    report.windows.push_back(std::move(window));
    for (const auto &[ref, state] : agent.notStarted) {
        TaskReport entry;
        entry.job = ref.job;
        entry.fence = ref.fence;
        entry.state = state;
        report.tasks.push_back(entry);
    }
    return report;
}

void Simulation::sync(int index)
{
    Process &process = m_processes[index];
    FakeAgent &agent = process.agent;
    const HostReport report = makeReport(index);
    const TimePoint sentAt = process.clock.at(now());
    agent.syncInFlight = true;
    agent.syncSentAt = sentAt;
    agent.full = false;
    if (faultOccurs(3) || process.leadersUnreachableUntil > now()) {
        return;
    }
    const int target = agent.target;
    if (process.unreachableUntil > now() && process.unreachable.contains(target)) {
        return;
    }
    const std::uint64_t generation = process.generation;
    deliver(target, m_processes[target].generation, delay(), [=, this](Process &leading) {
        leading.leader->onReport(leading.clock.at(now()), report);
        deliver(target, leading.generation, m_random.between(1, 200), [=, this](Process &answering) {
            const HostOrders orders = answering.leader->ordersFor(answering.clock.at(now()), report.host.name);
            for (const TaskRef &ref : orders.acknowledged) {
                REQUIRE(m_store.replica.findActive(ref.job, ref.fence) == nullptr);
            }
            if (!faultOccurs(3)) {
                deliver(
                    index, generation, delay(), [=, this](Process & /*agent*/) { onOrders(index, sentAt, orders); });
            }
        });
    });
}

void Simulation::onOrders(int index, TimePoint sentAt, const HostOrders &orders)
{
    FakeAgent &agent = m_processes[index].agent;
    FakeWorker &worker = m_workers[index];
    if (agent.syncSentAt == sentAt) {
        agent.syncInFlight = false;
    }
    if (!orders.leading) {
        agent.target = (agent.target + 1) % CandidateCount;
        return;
    }
    // Replies that were overtaken by a later one, or that come from an older leader, are ignored.
    if (sentAt < agent.lastOrdersSentAt || orders.epoch < agent.epoch) {
        return;
    }
    agent.lastOrdersSentAt = sentAt;
    agent.epoch = orders.epoch;
    agent.full = agent.full || orders.wantFull;
    agent.grantEnd = std::max(agent.grantEnd, sentAt + orders.grant);
    worker.update(now(), m_checkpoints);
    for (const TaskRef &ref : orders.acknowledged) {
        agent.notStarted.erase(ref);
        worker.tasks.erase(ref);
    }
    for (const StartOrder &order : orders.starts) {
        startTask(index, sentAt, orders, order);
    }
    for (const ThrottleOrder &throttle : orders.throttles) {
        REQUIRE(throttle.percent >= 25);
        REQUIRE(throttle.percent <= 100);
    }
    for (const StopOrder &stop : orders.stops) {
        const auto task = worker.tasks.find(TaskRef{.job = stop.job, .fence = stop.fence});
        if (task != worker.tasks.end() && task->second.state == ReportedState::Running) {
            task->second.state = ReportedState::Stopping;
            task->second.stopAt = now() + m_random.between(20, 800);
            task->second.checkpointAtStop = stop.checkpoint;
        }
    }
}

void Simulation::startTask(int index, TimePoint sentAt, const HostOrders &orders, const StartOrder &order)
{
    Process &process = m_processes[index];
    FakeAgent &agent = process.agent;
    FakeWorker &worker = m_workers[index];
    const TimePoint local = process.clock.at(now());
    const TaskRef ref{.job = order.job, .fence = order.fence};
    if (worker.tasks.contains(ref) || agent.notStarted.contains(ref)) {
        return;
    }
    const auto &sheet = m_sheets[agent.sheetVersion];
    std::int64_t used = 0;
    for (const auto &[other, task] : worker.tasks) {
        used += isTerminal(m_store.replica.find(other.job)->state) ? 0 : 1000;
    }
    if (order.age + (local - sentAt) > MaxStartAge || orders.sheetVersion < agent.sheetVersion
        || local - agent.sheetConfirmedAt > MaxSheetAge || local >= agent.grantEnd || used >= 4000
        || (sheet != nullptr && !sheet->isInService(dataCentreOf(index)))) {
        agent.notStarted.emplace(ref, ReportedState::Refused);
        return;
    }
    if (worker.newestFence[order.job] >= order.fence) {
        agent.notStarted.emplace(ref, ReportedState::Lost);
        return;
    }
    checkStart(index, order);
    worker.newestFence[order.job] = order.fence;
    const bool fails = order.job.starts_with("bad") || index == m_failingHost;
    worker.tasks[ref] = {.state = ReportedState::Running,
                         .startedAt = now(),
                         .leaseEnd = now() + 5'000'000'000 / (1'000'000 + worker.ratePerMillion),
                         .stopAt = 0,
                         .workBefore = order.checkpoint.empty() ? 0 : m_checkpoints.at(order.checkpoint),
                         .totalWork = order.runSeconds * 1000,
                         .fails = fails,
                         .checkpointAtStop = false,
                         .checkpoint = {},
                         .checkpointAt = now()};
}

void Simulation::checkStart(int index, const StartOrder &order)
{
    INFO("start of " << order.job << " fence " << order.fence << " on " << hostName(index) << " at " << now());
    for (FakeWorker &worker : m_workers) {
        worker.update(now(), m_checkpoints);
        REQUIRE_FALSE(worker.runs(order.job));
    }
    REQUIRE(m_store.assignments.contains(order.fence));
    REQUIRE(m_store.assignments.at(order.fence) == order.checkpoint);
    REQUIRE(m_store.replica.find(order.job)->fence == order.fence);
    REQUIRE(m_started.insert(order.fence).second);
    const auto out = m_outSince.find(dataCentreOf(index));
    REQUIRE((out == m_outSince.end() || now() - out->second < NoStartAfter));
}

void Simulation::renew(int index)
{
    Process &process = m_processes[index];
    if (process.clock.at(now()) >= process.agent.grantEnd) {
        return;
    }
    // The reassignment margin covers a pause between the check of the grant and the renewal of the lease.
    m_events.at(now() + (faultOccurs(20) ? m_random.between(0, 1000) : 1), [this, index] {
        FakeWorker &worker = m_workers[index];
        worker.update(now(), m_checkpoints);
        for (auto &[ref, task] : worker.tasks) {
            task.leaseEnd = task.state == ReportedState::Running || task.state == ReportedState::Stopping
                ? now() + 5'000'000'000 / (1'000'000 + worker.ratePerMillion)
                : task.leaseEnd;
        }
    });
}

} // namespace Carobflow::Testing
