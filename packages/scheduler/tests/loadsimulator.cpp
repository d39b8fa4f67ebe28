#include "loadsimulator.h"

#include "carobflow/scheduler/jobvalue.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <iterator>
#include <utility>

namespace Carobflow::Scheduling
{
namespace
{

constexpr Milliseconds Tick{5};
constexpr Milliseconds ReportInterval{400};
constexpr Milliseconds CommitTime{10};
constexpr std::size_t JobsPerCommit = 20;
constexpr std::int64_t UnixMs = 1'000'000;
constexpr Milliseconds QuickWork{1000};
constexpr Milliseconds BatchWork{1700};
constexpr Milliseconds CheckpointInterval{1000};
/// Longer than it takes to send three start orders for a run and the stop order that follows them.
constexpr Milliseconds LateStartDelay{2500};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

LoadSimulator::LoadSimulator(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_arrivals(options.seed)
    , m_scheduler(std::make_unique<Scheduler>(Scheduler::Options{
          .epoch = 1,
          .features = m_options.features,
          .onCopy =
              [this](const CopyChange &change) {
                  const bool started = change.event == "started";
                  m_copies.started += started ? 1 : 0;
                  m_copies.won += change.event == "won" ? 1 : 0;
                  m_copies.whileTasksWaited += started && m_scheduler->waitingTasks().unplaced > 0 ? 1 : 0;
              }}))
    , m_nextQuick(m_now)
    , m_nextBatch(m_now)
{
    auto view = std::make_shared<OperatorView>();
    view->queues["quick"] = {.name = "quick",
                             .service = "desk",
                             .priority = 0,
                             .maxAttempts = 3,
                             .stretch = 1.5,
                             .latencyAllowance = Milliseconds(250)};
    view->queues["batch"] = {.name = "batch",
                             .service = "desk",
                             .priority = 2,
                             .maxAttempts = 2,
                             .stretch = 2,
                             .latencyAllowance = Milliseconds(1000)};
    view->queues["service"] = {.name = "service", .service = "desk", .priority = 0, .maxAttempts = 4};
    m_scheduler->setOperatorView(view);
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        HostModel host;
        host.name = "host-" + std::to_string(index);
        host.upstream = {.identity = {.id = "upstream-" + std::to_string(index), .incarnation = 1},
                         .service = "desk",
                         .dataCentre = "dc-" + std::to_string(index % 3),
                         .capacity = {.cpuMillis = m_options.hostCpuMillis, .memoryMiB = 128000},
                         .rack = "rack-" + std::to_string(index / 3),
                         .labels = {}};
        host.reportAt = m_now + Milliseconds(static_cast<std::int64_t>(index * 400 / m_options.hosts));
        m_hostIndex[host.name] = index;
        m_hosts.push_back(std::move(host));
    }
    for (HostModel &host : m_hosts) {
        report(host);
    }
    for (std::size_t service = 0; service < m_options.services; ++service) {
        submit("service", m_options.serviceWidth);
    }
}

void LoadSimulator::submit(const std::string &kind, std::uint32_t width)
{
    StepSpec step{.count = width};
    if (kind == "quick") {
        step.request = {.cpuMillis = 600, .memoryMiB = 960};
        step.estimate = QuickWork;
        step.speculative = m_options.speculativeJobs > 0
            && std::bernoulli_distribution(m_options.speculativeJobs)(m_random);
    } else if (kind == "batch") {
        step.request = {.cpuMillis = m_options.batchCpuMillis, .memoryMiB = 6400};
        step.estimate = BatchWork;
        step.fillsLeftover = true;
        step.checkpointing = true;
        step.image = "image-" + std::to_string(m_submitted % 9);
    } else {
        step.request = {.cpuMillis = m_options.serviceCpuMillis, .memoryMiB = 13000};
        step.longRunning = true;
        step.image = "service-" + std::to_string(m_submitted % 5);
        step.tailTarget = Milliseconds(150);
    }
    JobSpec job{.id = kind + std::to_string(m_submitted++), .queue = kind, .payload = "payload", .steps = {step}};
    JobRecord record{.kind = kind, .submittedAt = m_now};
    if (kind != "service") {
        job.steps.push_back(step);
        job.steps.back().after = {0};
        const std::uint32_t mean = kind == "quick" ? m_options.quickWidth : m_options.batchWidth;
        record.isLarge = width * 10 > mean * 13;
        ++m_outcomes[kind].submitted;
        m_outcomes[kind].large += record.isLarge ? 1 : 0;
        m_outcomes[kind].work += width;
    }
    offer(std::move(job), record);
}

void LoadSimulator::offer(JobSpec spec, const JobRecord &record)
{
    const JobAdmission::Decision decision = m_scheduler->admit(spec, m_now);
    if (!decision.accepted) {
        ++m_outcomes[record.kind].rejections;
        const TimePoint at = m_now + decision.retryAfter;
        if (at < record.submittedAt + decision.objective * 3) {
            m_returning.push_back({.spec = std::move(spec), .record = record, .at = at});
        }
        return;
    }
    if (record.kind != "service") {
        m_unfinished[spec.id] = record;
        ++m_outcomes[record.kind].accepted;
    }
    m_scheduler->submit(std::move(spec), decision.submittedAt);
}

void LoadSimulator::submitArrivals()
{
    const auto pause = [&](double perSecond) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(perSecond)(m_arrivals)));
    };
    const auto width = [&](std::uint32_t mean) {
        return std::uniform_int_distribution<std::uint32_t>(mean / 2, mean + mean / 2)(m_arrivals);
    };
    const auto isBack = [&](const Returning &returning) { return returning.at <= m_now; };
    std::vector<Returning> back;
    std::ranges::copy_if(m_returning, std::back_inserter(back), isBack);
    std::erase_if(m_returning, isBack);
    for (Returning &returning : back) {
        offer(std::move(returning.spec), returning.record);
    }
    while (m_nextQuick <= m_now) {
        submit("quick", width(m_options.quickWidth));
        m_nextQuick += pause(m_options.quickPerSecond);
    }
    while (m_nextBatch <= m_now) {
        submit("batch", width(m_options.batchWidth));
        const TimePoint begin{Seconds(1000)};
        const bool bursts = m_now >= begin + Seconds(4) && m_now < begin + Seconds(10);
        m_nextBatch += pause(m_options.batchPerSecond * (bursts ? m_options.batchBurst : 1));
    }
}

void LoadSimulator::advanceHosts()
{
    crashRandomUpstream();
    for (HostModel &host : m_hosts) {
        std::vector<Running> over;
        std::ranges::copy_if(host.running, std::back_inserter(over), [&](const Running &running) {
            return !running.serves && running.endsAt <= m_now;
        });
        for (const Running &running : over) {
            endRun(host, running.run, running.fails ? RunEnd::Failed : RunEnd::Done);
        }
        const auto isDue = [&](const LateStart &late) { return late.at <= m_now; };
        std::vector<LateStart> due;
        std::ranges::copy_if(host.late, std::back_inserter(due), isDue);
        std::erase_if(host.late, isDue);
        for (const LateStart &late : due) {
            if (host.closedRuns[late.order.run.task] < late.order.run.run) {
                startRun(host, late.order);
            }
        }
        if (host.reportDue || m_now >= host.reportAt) {
            report(host);
        }
    }
}

void LoadSimulator::report(HostModel &host)
{
    std::erase_if(host.ended, [&](const EndedRun &ended) { return ended.number <= host.acknowledgedEnd; });
    HostReport report{.host = host.name,
                      .address = host.name,
                      .dataCentre = host.upstream.dataCentre,
                      .agentIncarnation = 1,
                      .fencedEpoch = host.fenced ? Epoch{1} : Epoch{0},
                      .upstream = host.upstream,
                      .running = {},
                      .ended = host.ended};
    for (const Running &running : host.running) {
        const auto percent = running.serves ? 100
                                            : (running.doneBefore + (m_now - running.startedAt)) * 100
                / std::max<Duration>(Milliseconds(1), running.work);
        report.running.push_back({.run = running.run,
                                  .checkpoint = {},
                                  .percent = static_cast<std::uint32_t>(percent),
                                  .load = running.serves ? 50 : 1000,
                                  .listedFor = std::chrono::duration_cast<Milliseconds>(m_now - running.startedAt)});
    }
    m_scheduler->onReport(report, m_now);
    host.acknowledgedEnd = std::max(host.acknowledgedEnd,
                                    m_scheduler->acknowledgedEnd(host.name, host.upstream.identity));
    host.reportAt = m_now + ReportInterval;
    host.reportDue = !std::exchange(host.fenced, true);
}

void LoadSimulator::runScheduler()
{
    if (!m_committing.empty() && m_now >= m_commitAt) {
        for (const std::string &id : m_committing) {
            m_scheduler->commitJob(id, m_now);
        }
        m_committing.clear();
    }
    if (!m_committing.empty()) {
        return;
    }
    m_scheduler->plan(m_now, UnixMs);
    m_committing = m_scheduler->takeDirtyJobs(JobsPerCommit);
    m_commitAt = m_now + CommitTime;
    for (const StartOrder &order : m_scheduler->takeStarts()) {
        execute(order);
    }
    for (const StopOrder &order : m_scheduler->takeStops()) {
        execute(order);
    }
}

void LoadSimulator::execute(const StartOrder &order)
{
    HostModel &host = m_hosts[m_hostIndex.at(order.host)];
    if (order.upstream != host.upstream.identity) {
        m_scheduler->onStartOutcome(order.host, order.run, StartOutcome::NotAccepted, m_now);
        return;
    }
    const auto closedRuns = host.closedRuns.find(order.run.task);
    if (closedRuns != host.closedRuns.end() && closedRuns->second >= order.run.run) {
        m_scheduler->onStartOutcome(order.host, order.run, StartOutcome::Superseded, m_now);
        return;
    }
    const double draw = std::uniform_real_distribution<double>()(m_random);
    if (draw < m_options.lateStarts) {
        host.late.push_back({.order = order, .at = m_now + LateStartDelay});
        m_scheduler->onStartOutcome(order.host, order.run, StartOutcome::Unanswered, m_now);
        return;
    }
    startRun(host, order);
    const bool lost = draw < m_options.lateStarts + m_options.lostAnswers;
    m_scheduler->onStartOutcome(order.host, order.run, lost ? StartOutcome::Unanswered : StartOutcome::Started, m_now);
}

void LoadSimulator::startRun(HostModel &host, const StartOrder &order)
{
    if (std::ranges::find(host.running, order.run, &Running::run) != host.running.end()) {
        return;
    }
    const Job *job = m_scheduler->find(order.run.task.job);
    const StepSpec &step = job->step(order.run.task);
    const double spread = m_options.workSpread;
    // The length of a task is the same in each of its runs, and whatever the scheduler decides; a copy draws anew.
    const std::string drawnFor = order.run.task.toString()
        + (step.speculative ? "#" + std::to_string(order.run.run) : "");
    std::mt19937_64 random(std::hash<std::string>()(drawnFor) ^ m_options.seed);
    const bool isLong = m_options.longTasks > 0 && std::bernoulli_distribution(m_options.longTasks)(random);
    const double factor = std::lognormal_distribution<double>(-spread / 2, spread)(random) * (isLong ? 7 : 1)
        * (m_hostIndex.at(host.name) < m_options.slowHosts ? 3 : 1);
    const auto saved = m_checkpoints.find(order.run.task);
    const auto [work, doneBefore] = saved != m_checkpoints.end()
        ? saved->second
        : std::pair(std::chrono::duration_cast<Duration>(step.estimate * factor), Duration(0));
    host.running.push_back(
        {.run = order.run,
         .endsAt = m_now + work - doneBefore,
         .startedAt = m_now,
         .work = work,
         .doneBefore = doneBefore,
         .request = step.fillsLeftover ? Resources{.memoryMiB = step.request.memoryMiB} : step.request,
         .serves = step.serves(),
         .fails = std::bernoulli_distribution(m_options.failures)(m_random)});
    ++m_starts;
    if (++m_activeRuns[order.run.task] > (step.speculative ? 2U : 1U)) {
        m_violations.push_back("two runs of one task at once: " + order.run.task.toString());
    }
    const auto done = m_done.find(order.run.task);
    if (done != m_done.end() && (!step.speculative || m_now - done->second > Seconds(1))) {
        m_violations.push_back("run of a finished task: " + order.run.task.toString());
    }
    Resources used;
    for (const Running &running : host.running) {
        used += running.request;
    }
    if (!used.fitsIn(host.upstream.capacity)) {
        m_violations.push_back("host overcommitted: " + host.name);
    }
    if (const auto open = m_unfinished.find(order.run.task.job); open != m_unfinished.end() && !open->second.started) {
        open->second.started = true;
        m_outcomes[open->second.kind].firstStart.push_back(m_now - open->second.submittedAt);
    }
}

void LoadSimulator::endRun(HostModel &host, const RunId &run, RunEnd how)
{
    host.ended.push_back({.number = host.nextEnd++, .run = run, .end = how, .checkpoint = {}});
    host.closedRuns[run.task] = std::max(host.closedRuns[run.task], run.run);
    std::erase_if(host.running, [&](const Running &running) { return running.run == run; });
    host.reportDue = true;
    --m_activeRuns[run.task];
    if (how == RunEnd::Done) {
        m_done.emplace(run.task, m_now);
    }
}

void LoadSimulator::execute(const StopOrder &order)
{
    HostModel &host = m_hosts[m_hostIndex.at(order.host)];
    if (order.upstream != host.upstream.identity) {
        return;
    }
    m_preemptions += order.reason == "preempted" ? 1 : 0;
    const auto running = std::ranges::find(host.running, order.run, &Running::run);
    if (running != host.running.end()) {
        const Duration ran = m_now - running->startedAt;
        if (m_scheduler->find(order.run.task.job)->step(order.run.task).checkpointing) {
            m_checkpoints[order.run.task] = {running->work, running->doneBefore + (ran - ran % CheckpointInterval)};
        }
        endRun(host, order.run, RunEnd::Stopped);
        return;
    }
    host.closedRuns[order.run.task] = std::max(host.closedRuns[order.run.task], order.run.run);
    const bool listed = std::ranges::find(host.ended, order.run, &EndedRun::run) != host.ended.end();
    m_scheduler->onStopOutcome(order.host, order.run, listed ? StopOutcome::Ending : StopOutcome::Absent, m_now);
}

void LoadSimulator::crashRandomUpstream()
{
    const double chance = m_options.crashesPerSecond * std::chrono::duration<double>(Tick).count();
    if (!std::bernoulli_distribution(std::min(1.0, chance))(m_random)) {
        return;
    }
    HostModel &host = m_hosts[std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random)];
    for (const Running &running : host.running) {
        --m_activeRuns[running.run.task];
    }
    host.running.clear();
    host.ended.clear();
    host.late.clear();
    host.closedRuns.clear();
    host.nextEnd = 1;
    host.acknowledgedEnd = 0;
    host.fenced = false;
    ++host.upstream.identity.incarnation;
    host.reportDue = true;
}

void LoadSimulator::collectFinished()
{
    std::erase_if(m_unfinished, [&](const auto &entry) {
        const Job &job = *m_scheduler->find(entry.first);
        if (!job.isOver()) {
            return false;
        }
        // The clients' objective follows the slowest tasks of the job, of which the estimates tell nothing.
        const Duration objective = m_options.workSpread > 0.1 ? JobValue::objectiveEnd(job) - job.acceptedAt()
                                                              : job.objectiveEnd() - job.acceptedAt();
        const Duration took = m_now - entry.second.submittedAt;
        Outcome &outcome = m_outcomes[entry.second.kind];
        outcome.inTime += took <= objective ? 1 : 0;
        outcome.workInTime += took <= objective ? static_cast<double>(job.taskCount()) / 2 : 0;
        outcome.largeServed += entry.second.isLarge && took <= 3 * objective ? 1 : 0;
        outcome.late += took > objective && took <= 3 * objective ? 1 : 0;
        return true;
    });
}

double LoadSimulator::simulate(Seconds length)
{
    const double before = processorSeconds();
    const TimePoint end = m_now + length;
    for (; m_now < end; m_now += Tick) {
        submitArrivals();
        advanceHosts();
        runScheduler();
        collectFinished();
    }
    return (processorSeconds() - before) / static_cast<double>(length.count());
}

} // namespace Carobflow::Scheduling
