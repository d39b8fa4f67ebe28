#include "carobflow/core/tasksupervisor.h"
#include "randomised.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

using namespace Carobflow;
using namespace Carobflow::Testing;
using namespace std::chrono_literals;

namespace
{

constexpr Resources Capacity{.cpuMillis = 10000, .memoryMiB = 1000, .accelerators = 0};
constexpr Milliseconds Tick{100};

bool isActive(TaskState state)
{
    return state == TaskState::Running || state == TaskState::Stopping;
}

/// A worker with leases and fencing that checks the calls it receives.
class FakeWorker
{
public:
    explicit FakeWorker(Random &random)
        : m_random(random)
    {
    }

    struct Entry {
        TaskInfo info;
        TimePoint leaseUntil;
        TimePoint stopsAt = TimePoint::max();
        Resources usage;
    };

    Status start(TimePoint now, const TaskStart &start)
    {
        if (start.fence <= fences[start.job]) {
            return Error{.kind = ErrorKind::Conflict, .message = "fence"};
        }
        fences[start.job] = start.fence;
        Entry entry;
        entry.info.job = start.job;
        entry.info.fence = start.fence;
        entry.info.jobClass = start.jobClass;
        entry.info.reserved = start.reserved;
        entry.leaseUntil = now + start.lease;
        entry.usage = start.reserved;
        entry.usage.cpuMillis = start.reserved.cpuMillis * m_random.between(30, 140) / 100;
        tasks[{start.job, start.fence}] = entry;
        Resources sum;
        for (const auto &[ref, task] : tasks) {
            CHECK_FALSE((isActive(task.info.state) && ref.job == start.job && ref.fence != start.fence));
            if (isActive(task.info.state)) {
                sum += task.info.reserved;
            }
        }
        CHECK(sum.fitsIn(Capacity));
        return std::monostate{};
    }

    void advance(TimePoint now)
    {
        for (auto &[ref, task] : tasks) {
            if (task.info.state == TaskState::Running) {
                task.info.usage = m_random.chance(5) ? task.usage : task.info.usage;
                if (now >= task.leaseUntil) {
                    stop(now, task);
                } else if (m_random.chance(1)) {
                    task.info.state = m_random.chance(70) ? TaskState::Finished : TaskState::Failed;
                    task.info.result = "result of " + ref.job;
                } else if (m_random.chance(1)) {
                    checkpoint(task);
                }
            } else if (task.info.state == TaskState::Stopping && now >= task.stopsAt) {
                task.info.state = TaskState::Stopped;
            }
        }
    }

    void stop(TimePoint now, Entry &task)
    {
        task.info.state = TaskState::Stopping;
        task.stopsAt = now + Milliseconds(m_random.between(0, 2000));
    }

    void checkpoint(Entry &task)
    {
        task.info.checkpoint = "cp" + std::to_string(++m_checkpoints);
    }

    std::vector<TaskInfo> list() const
    {
        std::vector<TaskInfo> infos;
        for (const auto &[ref, task] : tasks) {
            infos.push_back(task.info);
        }
        return infos;
    }

    std::map<TaskRef, Entry> tasks;
    std::map<std::string, Fence> fences;

private:
    Random &m_random;
    int m_checkpoints = 0;
};

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
        , m_worker(m_random)
    {
        restart();
    }

    void run()
    {
        for (int tick = 0; tick < 1200; ++tick) {
            advance();
            if (m_random.chance(1)) {
                // The supervisor process pauses, often for longer than the lease.
                for (std::int64_t paused = m_random.between(0, 80); paused > 0; --paused) {
                    advance();
                }
            }
            if (m_random.between(1, 400) == 1) {
                restart();
            }
            step();
        }
        m_faultFree = true;
        for (int tick = 0; tick < 600; ++tick) {
            advance();
            step();
        }
        for (const TaskRef &ref : m_started) {
            INFO(ref.job << " fence " << ref.fence);
            CHECK(m_ended.contains(ref));
        }
        CHECK(m_worker.tasks.empty());
        CHECK(m_supervisor->reserved() == Resources{});
    }

private:
    struct Event {
        TimePoint due;
        std::function<void()> deliver;
    };

    bool injectFault(std::int64_t percent)
    {
        return !m_faultFree && m_random.chance(percent);
    }

    void advance()
    {
        m_now += Tick;
        m_worker.advance(m_now);
        // The worker keeps processing calls while the supervisor is paused.
        deliver(m_callsInFlight);
    }

    void deliver(std::list<Event> &events)
    {
        for (auto event = events.begin(); event != events.end();) {
            if (event->due <= m_now) {
                const auto call = std::move(event->deliver);
                event = events.erase(event);
                call();
            } else {
                ++event;
            }
        }
    }

    void restart()
    {
        // A start call of the dead process that is still in flight is indistinguishable from one of the new process,
        // and its delay is unbounded; the test delivers it immediately.
        for (const Event &event : m_callsInFlight) {
            event.deliver();
        }
        m_callsInFlight.clear();
        m_repliesInFlight.clear();
        m_startCalls.clear();
        m_unacknowledgedEnds.clear();
        m_grantUntil = TimePoint::min();
        m_confirmedAt = TimePoint::min();
        m_deliveredVersion = 0;
        m_listInFlight = m_syncInFlight = false;
        m_acceptedEpoch = m_epoch;
        m_supervisor = std::make_unique<TaskSupervisor>(TaskSupervisor::Options{
            .host = {.name = "h", .dataCentre = "d", .rack = "r", .capacity = Capacity}, .bootId = ++m_bootId});
        m_supervisor->setMinimumEpoch(m_epoch);
    }

    void step()
    {
        deliver(m_repliesInFlight);
        if (injectFault(1)) {
            ++m_epoch;
        }
        if (injectFault(1)) {
            ++m_sheetVersion;
            m_dataCentreInService = m_random.chance(80);
        }
        if (m_faultFree || m_random.chance(20)) {
            m_deliveredVersion = m_sheetVersion;
            m_confirmedAt = m_now - (m_faultFree ? 0ms : Milliseconds(m_random.between(0, 1500)));
            m_confirmedInService = m_dataCentreInService;
            m_supervisor->onSheet(m_confirmedAt, m_deliveredVersion, m_confirmedInService);
            // The supervisor keeps the latest confirmation of a version.
            m_latestConfirmation = m_latestVersion == m_deliveredVersion && m_latestBoot == m_bootId
                ? std::max(m_latestConfirmation, m_confirmedAt)
                : m_confirmedAt;
            m_latestVersion = m_deliveredVersion;
            m_latestBoot = m_bootId;
        }
        if (!m_listInFlight && m_random.chance(30)) {
            requestList();
        }
        for (const WorkerAction &action : m_supervisor->takeActions(m_now)) {
            sendCall(action);
        }
        if (!m_syncInFlight) {
            sync();
        }
    }

    void requestList()
    {
        m_listInFlight = true;
        const bool lost = injectFault(10);
        const TimePoint requestedAt = m_now;
        m_repliesInFlight.push_back(
            {m_now + Milliseconds(m_random.between(0, 800)), [this, lost, requestedAt, tasks = m_worker.list()] {
                 m_listInFlight = false;
                 if (!lost) {
                     m_supervisor->onWorkerList(requestedAt, m_now, tasks);
                 }
             }});
    }

    /// Sends a call to the worker, which may delay the call, drop it or lose its reply.
    void sendCall(const WorkerAction &action)
    {
        if (action.kind == WorkerAction::Kind::Start) {
            checkStart(action);
        } else if (action.kind == WorkerAction::Kind::Renew) {
            CHECK(m_now < m_grantUntil);
            CHECK(action.lease <= 5s);
        }
        const TimePoint sentAt = m_now;
        const auto reply = [this, sentAt, id = action.id](const Status &status, Milliseconds delay) {
            m_repliesInFlight.push_back({m_now + delay, [this, sentAt, id, status] {
                                             m_supervisor->onActionResult(sentAt, m_now, id, status);
                                         }});
        };
        const Milliseconds delay{m_faultFree ? 0 : m_random.between(0, 500)};
        if (injectFault(10)) {
            reply(Error{.kind = ErrorKind::Unavailable, .message = "down"}, delay);
        } else if (injectFault(10)) {
            // The supervisor gives up waiting for the reply before the call takes effect.
            m_callsInFlight.push_back({m_now + delay + 800ms, [this, action] { executeAtWorker(action); }});
            reply(Error{.kind = ErrorKind::Unknown, .message = "late"}, delay);
        } else {
            Status status = executeAtWorker(action);
            reply(injectFault(10) ? Status(Error{.kind = ErrorKind::Timeout, .message = "lost"}) : status, delay);
        }
    }

    void checkStart(const WorkerAction &action)
    {
        const TaskRef ref = action.task;
        INFO("start of " << ref.job << " fence " << ref.fence);
        CHECK(m_startCalls.insert(ref).second);
        CHECK(m_now - m_decidedAt.at(ref) <= 2000ms);
        CHECK(m_now - m_latestConfirmation <= 2000ms);
        CHECK(m_decidedSheet.at(ref) == m_latestVersion);
        CHECK(m_confirmedInService);
        CHECK(m_now < m_grantUntil);
        CHECK(action.sendBefore >= m_now);
    }

    Status executeAtWorker(const WorkerAction &action)
    {
        if (action.kind == WorkerAction::Kind::Start) {
            Status status = m_worker.start(m_now, action.start);
            if (isOk(status)) {
                m_started.insert(action.task);
            }
            return status;
        }
        const auto found = m_worker.tasks.find(action.task);
        if (found == m_worker.tasks.end()) {
            return Error{.kind = ErrorKind::NotFound, .message = "no task"};
        }
        FakeWorker::Entry &task = found->second;
        const bool runs = task.info.state == TaskState::Running;
        if (action.kind == WorkerAction::Kind::Renew && runs) {
            task.leaseUntil = std::max(task.leaseUntil, m_now + action.lease);
        } else if (action.kind == WorkerAction::Kind::Checkpoint && runs) {
            m_worker.checkpoint(task);
        } else if (action.kind == WorkerAction::Kind::Stop && runs) {
            m_worker.stop(m_now, task);
        } else if (action.kind == WorkerAction::Kind::Remove) {
            // Removing a task deletes its result.
            CHECK(m_acknowledged.contains(action.task));
            CHECK_FALSE(isActive(task.info.state));
            m_worker.tasks.erase(found);
        } else if (!runs && action.kind != WorkerAction::Kind::Stop) {
            return Error{.kind = ErrorKind::NotFound, .message = "ended"};
        }
        return std::monostate{};
    }

    void sync()
    {
        const HostReport report = m_supervisor->makeReport(m_now);
        checkReport(report);
        const TimePoint sentAt = m_now;
        m_syncInFlight = true;
        const Milliseconds delay{m_faultFree              ? 200
                                     : m_random.chance(5) ? m_random.between(0, 4000)
                                                          : m_random.between(0, 600)};
        if (injectFault(10)) {
            m_repliesInFlight.push_back({m_now + delay, [this] {
                                             m_syncInFlight = false;
                                             m_supervisor->onReportLost();
                                         }});
            return;
        }
        const HostOrders orders = answerReport(report);
        m_repliesInFlight.push_back({m_now + delay, [this, sentAt, orders] {
                                         m_syncInFlight = false;
                                         if (orders.leading && orders.epoch >= m_acceptedEpoch) {
                                             m_acceptedEpoch = orders.epoch;
                                             m_grantUntil = std::max(m_grantUntil, sentAt + orders.grant);
                                             for (const TaskRef &ref : orders.acknowledged) {
                                                 m_unacknowledgedEnds.erase(ref);
                                             }
                                         }
                                         m_supervisor->onOrders(sentAt, m_now, orders);
                                     }});
    }

    void checkReport(const HostReport &report)
    {
        std::set<TaskRef> reported;
        for (const TaskReport &task : report.tasks) {
            const TaskRef ref{.job = task.job, .fence = task.fence};
            INFO("report of " << ref.job << " fence " << ref.fence << " state " << static_cast<int>(task.state));
            reported.insert(ref);
            if (task.state == ReportedState::Running || task.state == ReportedState::Stopping) {
                continue;
            }
            m_unacknowledgedEnds.insert(ref);
            const auto found = m_worker.tasks.find(ref);
            const bool runs = found != m_worker.tasks.end() && isActive(found->second.info.state);
            CHECK_FALSE(runs);
            if (task.state == ReportedState::Refused) {
                CHECK_FALSE(m_started.contains(ref));
            }
            if (found != m_worker.tasks.end() && found->second.info.state == TaskState::Finished) {
                CHECK(task.state == ReportedState::Finished);
                CHECK(task.result == "result of " + ref.job);
            }
        }
        CHECK(
            std::includes(reported.begin(), reported.end(), m_unacknowledgedEnds.begin(), m_unacknowledgedEnds.end()));
    }

    /// Acts as the leader: keeps at most one assignment of a job at a time, and may acknowledge an end only at a later
    /// report.
    HostOrders answerReport(const HostReport &report)
    {
        HostOrders orders;
        if (injectFault(3)) {
            return orders;
        }
        orders.leading = true;
        // Occasionally a former leader answers.
        orders.epoch = injectFault(5) && m_epoch > 1 ? m_epoch - 1 : m_epoch;
        orders.sheetVersion = m_sheetVersion;
        orders.grant = injectFault(5) ? 0ms : 10000ms;
        orders.wantFull = injectFault(5);
        for (const TaskReport &task : report.tasks) {
            const TaskRef ref{.job = task.job, .fence = task.fence};
            if (task.state != ReportedState::Running && task.state != ReportedState::Stopping) {
                m_ended.insert(ref);
                m_openAssignments.erase(ref);
                if (m_faultFree || m_random.chance(60)) {
                    orders.acknowledged.push_back(ref);
                    m_acknowledged.insert(ref);
                }
            } else if (m_faultFree || m_random.chance(5)) {
                orders.stops.push_back({.job = ref.job, .fence = ref.fence, .checkpoint = m_random.chance(60)});
            }
        }
        for (const auto &[ref, order] : m_openAssignments) {
            if (m_random.chance(30)) {
                addStartOrder(orders, order);
            }
            if (m_faultFree) {
                orders.stops.push_back({.job = ref.job, .fence = ref.fence, .checkpoint = false});
            }
        }
        for (int job = 0; job < 6 && !m_faultFree; ++job) {
            const std::string name = "job" + std::to_string(job);
            const bool assigned = std::any_of(m_openAssignments.begin(),
                                              m_openAssignments.end(),
                                              [&name](const auto &entry) { return entry.first.job == name; });
            if (!assigned && m_random.chance(15)) {
                StartOrder order;
                order.job = name;
                order.fence = ++m_fences[name];
                order.reserved = {.cpuMillis = m_random.between(1000, 6000), .memoryMiB = m_random.between(1, 400)};
                const TaskRef ref{.job = name, .fence = order.fence};
                m_decidedAt[ref] = m_now;
                m_openAssignments[ref] = order;
                addStartOrder(orders, order);
            }
        }
        return orders;
    }

    void addStartOrder(HostOrders &orders, StartOrder order)
    {
        const TaskRef ref{.job = order.job, .fence = order.fence};
        order.age = std::chrono::duration_cast<Milliseconds>(m_now - m_decidedAt.at(ref));
        m_decidedSheet[ref] = orders.sheetVersion;
        orders.starts.push_back(order);
    }

    Random m_random;
    TimePoint m_now = TimePoint() + 1h;
    FakeWorker m_worker;
    std::unique_ptr<TaskSupervisor> m_supervisor;
    std::list<Event> m_repliesInFlight;
    std::list<Event> m_callsInFlight;
    bool m_faultFree = false;
    bool m_listInFlight = false;
    bool m_syncInFlight = false;
    std::uint64_t m_bootId = 0;
    Epoch m_epoch = 1;
    Epoch m_acceptedEpoch = 0;
    SheetVersion m_sheetVersion = 1;
    SheetVersion m_deliveredVersion = 0;
    bool m_dataCentreInService = true;
    bool m_confirmedInService = false;
    TimePoint m_confirmedAt;
    TimePoint m_latestConfirmation;
    SheetVersion m_latestVersion = 0;
    std::uint64_t m_latestBoot = 0;
    TimePoint m_grantUntil = TimePoint::min();
    std::map<std::string, Fence> m_fences;
    std::map<TaskRef, StartOrder> m_openAssignments;
    std::map<TaskRef, TimePoint> m_decidedAt;
    std::map<TaskRef, SheetVersion> m_decidedSheet;
    std::set<TaskRef> m_startCalls;
    std::set<TaskRef> m_started;
    std::set<TaskRef> m_ended;
    std::set<TaskRef> m_acknowledged;
    std::set<TaskRef> m_unacknowledgedEnds;
};

} // namespace

// Guards against overbooking, leases renewed without a grant, late starts, duplicate starts, and ends that are not
// reported until acknowledged. The faults are lost and late calls, pauses longer than the lease, restarts and changes
// of leader.
TEST_CASE("The supervisor keeps its invariants when calls are lost or late and processes restart",
          "[tasksupervisor][randomised]")
{
    forEachSeed(300, [](std::uint64_t seed) { Simulation(seed).run(); });
}
