#include "carobflow/daemon/taskrunner.h"

#include "carobflow/connectors/tableservice.h"
#include "carobflow/connectors/workerruntime.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/daemon/protocolconversion.h"
#include "carobflow/daemon/rpc.h"
#include "carobflow/logging/log.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{
namespace
{

constexpr Milliseconds ActionInterval{50};
constexpr Milliseconds RetryInterval{200};
constexpr std::array<std::string_view, 6> ActionNames{"start", "renew", "checkpoint", "throttle", "stop", "remove"};

std::string_view actionName(WorkerAction::Kind kind)
{
    return ActionNames.at(static_cast<std::size_t>(kind));
}

} // namespace

TaskRunner::TaskRunner(const boost::asio::any_io_executor &executor,
                       Options options,
                       Callbacks callbacks,
                       WorkerRuntime &worker,
                       TableService &table,
                       ChannelPool &channels,
                       Metrics &metrics)
    : m_strand(boost::asio::make_strand(executor))
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_worker(worker)
    , m_table(table)
    , m_channels(channels)
    , m_metrics(metrics)
    , m_supervisor(m_options.supervisor)
    , m_changed(std::make_unique<Notifier>(m_strand))
{
}

TaskRunner::~TaskRunner() = default;

const boost::asio::any_io_executor &TaskRunner::strand() const
{
    return m_strand;
}

void TaskRunner::start()
{
    spawnLoop(m_strand, listLoop());
    spawnLoop(m_strand, actionLoop());
    spawnLoop(m_strand, syncLoop());
}

void TaskRunner::onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreIn)
{
    m_supervisor.onSheet(confirmedAt, version, dataCentreIn);
}

void TaskRunner::setLeaving()
{
    m_supervisor.setLeaving();
}

bool TaskRunner::isSettled() const
{
    return m_supervisor.isSettled();
}

bool TaskRunner::hasLeaderContact(TimePoint now, Milliseconds within) const
{
    const TimePoint last{TimePoint::duration(m_lastContact.load())};
    return last != TimePoint{} && now - last < within;
}

boost::asio::awaitable<void> TaskRunner::listLoop()
{
    for (;;) {
        const TimePoint requestedAt = std::chrono::steady_clock::now();
        const auto tasks = co_await m_worker.list();
        if (isOk(tasks)) {
            m_supervisor.onWorkerList(requestedAt, std::chrono::steady_clock::now(), valueOf(tasks));
            m_workerListed = true;
        }
        m_changed->notify();
        co_await sleepFor(m_options.listInterval);
    }
}

boost::asio::awaitable<void> TaskRunner::actionLoop()
{
    for (;;) {
        const TimePoint now = std::chrono::steady_clock::now();
        for (WorkerAction &action : m_supervisor.takeActions(now)) {
            boost::asio::co_spawn(m_strand, executeAction(std::move(action)), boost::asio::detached);
        }
        co_await m_changed->waitUntil(now + ActionInterval);
    }
}

boost::asio::awaitable<void> TaskRunner::executeAction(WorkerAction action)
{
    const TimePoint sentAt = std::chrono::steady_clock::now();
    if (sentAt > action.sendBefore) {
        // The process was suspended between the decision and the call.
        m_supervisor.onActionResult(
            sentAt, sentAt, action.id, Error{ErrorKind::Unavailable, "not sent: it was too late"});
        co_return;
    }
    Status status;
    switch (action.kind) {
    case WorkerAction::Kind::Start:
        status = co_await m_worker.start(action.start);
        break;
    case WorkerAction::Kind::Renew:
        status = co_await m_worker.renew(action.task.job, action.task.fence, action.lease);
        break;
    case WorkerAction::Kind::Checkpoint:
        status = co_await m_worker.checkpoint(action.task.job, action.task.fence);
        break;
    case WorkerAction::Kind::Throttle:
        status = co_await m_worker.throttle(action.task.job, action.task.fence, action.percent);
        break;
    case WorkerAction::Kind::Stop:
        status = co_await m_worker.stop(action.task.job, action.task.fence);
        break;
    case WorkerAction::Kind::Remove:
        status = co_await m_worker.remove(action.task.job, action.task.fence);
        break;
    }
    m_metrics.countTaskEvent(actionName(action.kind));
    if (action.kind != WorkerAction::Kind::Renew) {
        logInfo("task-action")
            .with("action", actionName(action.kind))
            .with("job", action.task.job)
            .with("fence", action.task.fence)
            .with("outcome", isOk(status) ? "ok" : errorKindName(errorOf(status).kind));
    }
    m_supervisor.onActionResult(sentAt, std::chrono::steady_clock::now(), action.id, status);
    m_changed->notify();
}

boost::asio::awaitable<void> TaskRunner::readMinimumEpoch()
{
    const std::array keys{"shard/" + std::to_string(m_options.shard)};
    for (;;) {
        const auto rows = co_await m_table.read(keys);
        if (isOk(rows)) {
            for (const Row &row : valueOf(rows)) {
                if (const auto leader = parseShardRow(row.key, row.value)) {
                    m_supervisor.setMinimumEpoch(leader->epoch);
                }
            }
            co_return;
        }
        co_await sleepFor(RetryInterval);
    }
}

boost::asio::awaitable<void> TaskRunner::syncLoop()
{
    // Before the first report: a grant of an epoch that is older than the one in the table must not be taken, and the
    // tasks that a previous process left must be known.
    co_await readMinimumEpoch();
    while (!m_workerListed) {
        co_await sleepFor(RetryInterval / 4);
    }
    m_windowStart = std::chrono::steady_clock::now();
    m_windowTasks = m_supervisor.runningTasks();
    for (;;) {
        const auto leader = co_await m_callbacks.leader();
        if (!leader || !co_await syncOnce(*leader)) {
            co_await sleepFor(RetryInterval);
        }
    }
}

boost::asio::awaitable<bool> TaskRunner::syncOnce(const ShardLeaderRow &leader)
{
    if (!co_await m_channels.waitReady(leader.address, RetryInterval)) {
        co_return false;
    }
    const TimePoint sentAt = std::chrono::steady_clock::now();
    HostReport report = m_supervisor.makeReport(sentAt);
    if (sentAt - m_windowStart >= m_options.windowLength) {
        m_windowStart = sentAt;
        std::vector<std::string> jobClasses = takeClassesSinceWindowStart();
        report.windows = co_await m_callbacks.windows(std::move(jobClasses));
    }
    std::shared_ptr<carobflow::ShardService::Stub> stub = carobflow::ShardService::NewStub(
        m_channels.channel(leader.address));
    const auto [status, reply]
        = co_await callUnary<carobflow::ShardService::Stub, carobflow::SyncRequest, carobflow::SyncReply>(
            std::move(stub), &carobflow::ShardService::Stub::async::Sync, toMessage(report), m_options.syncTimeout);
    if (!status.ok() || !reply.leading()) {
        if (status.ok()) {
            // The leader has stepped down: a candidate reads the row now and does not wait for the contact to expire.
            m_lastContact = 0;
        }
        m_supervisor.onReportLost();
        co_return false;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    m_callbacks.recordRemoteVersion(reply.sheet_version());
    m_supervisor.onOrders(sentAt, now, fromMessage(reply));
    m_lastContact = now.time_since_epoch().count();
    m_changed->notify();
    co_return true;
}

std::vector<std::string> TaskRunner::takeClassesSinceWindowStart()
{
    std::map<TaskRef, std::string> running = m_supervisor.runningTasks();
    std::vector<std::string> jobClasses;
    for (const auto &[ref, jobClass] : running) {
        if (m_windowTasks.contains(ref)) {
            jobClasses.push_back(jobClass);
        }
    }
    m_windowTasks = std::move(running);
    return jobClasses;
}

} // namespace Carobflow
