#include "carobflow/daemon/agentprocess.h"

#include "carobflow/connectors/httpobjectstore.h"
#include "carobflow/connectors/httptableservice.h"
#include "carobflow/connectors/httpworkerruntime.h"
#include "carobflow/daemon/agentservice.h"
#include "carobflow/daemon/announcer.h"
#include "carobflow/daemon/httpserver.h"
#include "carobflow/daemon/internal/apijson.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/grpclistener.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/daemon/internal/localannouncement.h"
#include "carobflow/daemon/internal/statuspages.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/daemon/requestexecutor.h"
#include "carobflow/daemon/rpc.h"
#include "carobflow/daemon/shardcountcheck.h"
#include "carobflow/daemon/shardrunner.h"
#include "carobflow/daemon/taskrunner.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <optional>

namespace Carobflow
{

namespace asio = boost::asio;

namespace
{

template<typename Function>
asio::awaitable<std::invoke_result_t<Function>> invokeAsCoroutine(Function function)
{
    co_return function();
}

/// Runs a function on another strand and returns its result on the caller's.
template<typename Function>
asio::awaitable<std::invoke_result_t<Function>> runOn(asio::any_io_executor strand, Function function)
{
    co_return co_await asio::co_spawn(strand, invokeAsCoroutine(std::move(function)), asio::use_awaitable);
}

class AgentProcess final : public Process
{
public:
    AgentProcess(asio::io_context &context, Settings settings)
        : m_settings(std::move(settings))
        , m_bootId(randomNumber())
        , m_shard(shardOf(m_settings.name, static_cast<std::uint32_t>(m_settings.shards)))
        , m_executor(context.get_executor())
        , m_platformClient(std::make_shared<HttpClient>(m_executor))
        , m_upstreamClient(std::make_shared<HttpClient>(m_executor, HttpClient::Options{.maxIdlePerEndpoint = 8}))
        , m_table(m_platformClient,
                  {.endpoint = {.host = m_settings.table.address, .port = m_settings.table.port},
                   .timeout = m_settings.platformTimeout})
        , m_objects(m_platformClient,
                    {.endpoint = {.host = m_settings.objects.address, .port = m_settings.objects.port},
                     .timeout = m_settings.platformTimeout})
        , m_worker(m_platformClient,
                   {.endpoint = {.host = m_settings.worker.address, .port = m_settings.worker.port},
                    // A start or renewal takes effect within this timeout, which the reassignment margin must cover.
                    .timeout = std::min(m_settings.platformTimeout, m_settings.reassignMargin / 2)})
        , m_shardCount({.shards = static_cast<std::uint32_t>(m_settings.shards), .settingsPath = m_settings.path},
                       m_table)
        , m_requests(m_executor,
                     {.queueLimit = static_cast<std::uint32_t>(m_settings.queueLimit),
                      .adaptivePolicy = m_settings.adaptivePolicy},
                     m_upstreamClient,
                     m_metrics)
        , m_http(m_executor,
                 {.endpoint = m_settings.http,
                  .limits = m_settings.limits,
                  .onLimit = [this](std::string_view limit) { m_metrics.countClientLimit(limit); }},
                 [this](HttpServerRequest request) { return serve(std::move(request)); })
    {
    }

    Status start() override
    {
        if (Status status = m_http.start(); !isOk(status)) {
            return status;
        }
        m_listener.emplace(m_settings.grpc);
        const auto port = m_listener->reserve();
        if (!isOk(port)) {
            return errorOf(port);
        }
        const Endpoint grpc{.address = m_settings.grpc.address, .port = valueOf(port)};
        m_address = m_settings.advertise.empty() ? grpc.toString() : m_settings.advertise;
        createRunners();
        const auto recordRemoteVersion = [this](SheetVersion version) {
            asio::post(m_announcer->strand(), [this, version] { m_announcer->recordRemoteVersion(version); });
        };
        m_agentService.emplace(m_requests, recordRemoteVersion);
        m_shardService.emplace(*m_shardRunner, recordRemoteVersion);
        if (Status status = m_listener->start({&*m_agentService, &*m_shardService}); !isOk(status)) {
            return status;
        }
        spawnLoop(m_announcer->strand(), m_announcer->run());
        spawnLoop(m_requests.strand(), m_requests.run());
        spawnLoop(m_executor, joinShard());
        m_started = true;
        logInfo("ready").with("role", "agent").with("http", m_http.port()).with("grpc", valueOf(port));
        return std::monostate{};
    }

    asio::awaitable<void> stop() override
    {
        m_stopping = true;
        // Tasks move to other hosts while requests finish, so this deadline starts now. If it started after the
        // longest request, the stop could exceed its timeout.
        const TimePoint deadline = std::chrono::steady_clock::now() + m_settings.stopTimeout / 2;
        // Notify the entries first, so that no new requests arrive while the remaining ones finish. Tasks move to other
        // hosts in the meantime.
        m_announceLeaving = true;
        co_await runOn(m_tasks->strand(), [this] {
            m_tasks->setLeaving();
            return true;
        });
        const bool allNotified = co_await asio::co_spawn(
            m_announcer->strand(), m_announcer->announceOnce(), asio::use_awaitable);
        co_await sleepFor(allNotified ? m_settings.announceInterval : m_settings.drainDelay);
        co_await runOn(m_requests.strand(), [this] {
            m_requests.close();
            return true;
        });
        while (m_requests.inProgress() > 0) {
            co_await sleepFor(Milliseconds(10));
        }
        bool tasksSettled = false;
        while (!tasksSettled && std::chrono::steady_clock::now() < deadline) {
            co_await sleepFor(Milliseconds(50));
            tasksSettled = co_await runOn(m_tasks->strand(), [this] { return m_tasks->isSettled(); });
        }
        co_await asio::co_spawn(
            m_shardRunner->strand(), m_shardRunner->release(m_settings.leaderLease), asio::use_awaitable);
        co_await m_http.drain();
        m_listener->shutdown();
    }

private:
    /// Starts leader election and task execution once the table has confirmed the number of shards. Requests are served
    /// without waiting for this.
    asio::awaitable<void> joinShard()
    {
        co_await m_shardCount.waitUntilVerified();
        spawnLoop(m_shardRunner->strand(), m_shardRunner->run());
        m_tasks->start();
    }

    void createRunners()
    {
        std::vector<std::string> knownEntries;
        for (const Endpoint &entry : m_settings.knownEntries) {
            knownEntries.push_back(entry.toString());
        }
        m_announcer.emplace(m_executor,
                            Announcer::Options{.host = m_settings.name,
                                               .dataCentre = m_settings.dataCentre,
                                               .agentAddress = m_address,
                                               .shard = m_shard,
                                               .bootId = m_bootId,
                                               .interval = m_settings.announceInterval,
                                               .knownEntries = std::move(knownEntries)},
                            Announcer::Callbacks{
                                .upstreams = [this] { return announcedUpstreams(); },
                                .onSheet = [this](const FollowedSheet &sheet) { setSheet(sheet); },
                                .onConfirmed = [this](TimePoint confirmedAt,
                                                      const FollowedSheet &sheet) { confirmSheet(confirmedAt, sheet); },
                                .onDrain = [this](bool drained) { return setDrained(drained); }},
                            m_table,
                            m_channels);
        // Each candidate uses a different delay, so that they do not all attempt a takeover at once.
        const Milliseconds delay(stableHash(m_settings.name + "/" + std::to_string(m_shard))
                                 % static_cast<std::uint64_t>(m_settings.leaderLease.count()));
        m_shardRunner.emplace(
            m_executor,
            ShardRunner::Options{
                .leader = {.shard = m_shard,
                           .shardCount = static_cast<std::uint32_t>(m_settings.shards),
                           .host = m_settings.name,
                           .address = m_address,
                           .lease = m_settings.leaderLease,
                           .leaseMargin = m_settings.leaderLease / 4,
                           .candidacyDelay = delay,
                           .renewInterval = m_settings.leaderLease / 4,
                           .hostGrant = m_settings.hostGrant,
                           .workerLease = m_settings.workerLease,
                           .reassignMargin = m_settings.reassignMargin,
                           .outageGrace = m_settings.outageGrace,
                           .adaptivePolicy = m_settings.adaptivePolicy,
                           .seed = m_bootId},
                .hasLeaderContact =
                    [this](TimePoint now) { return m_tasks->hasLeaderContact(now, m_settings.leaderLease); }},
            m_table,
            m_objects,
            m_metrics);
        m_tasks.emplace(
            m_executor,
            TaskRunner::Options{.supervisor = {.host = {.name = m_settings.name,
                                                        .dataCentre = m_settings.dataCentre,
                                                        .rack = m_settings.rack,
                                                        .capacity = {.cpuMillis = m_settings.cpuMillis,
                                                                     .memoryMiB = m_settings.memoryMiB,
                                                                     .accelerators = m_settings.accelerators}},
                                               .bootId = m_bootId,
                                               .workerLease = m_settings.workerLease,
                                               .renewInterval = m_settings.workerLease / 5,
                                               .maxSheetAge = m_settings.maxSheetAge},
                                .shard = m_shard},
            TaskRunner::Callbacks{.leader = [this] { return currentLeader(); },
                                  .windows =
                                      [this](std::vector<std::string> classes) {
                                          return runOn(m_requests.strand(), [this, classes = std::move(classes)] {
                                              return m_requests.takeWindows(classes);
                                          });
                                      },
                                  .recordRemoteVersion =
                                      [this](SheetVersion version) {
                                          asio::post(m_announcer->strand(),
                                                     [this, version] { m_announcer->recordRemoteVersion(version); });
                                      }},
            m_worker,
            m_table,
            m_channels,
            m_metrics);
    }

    asio::awaitable<std::vector<carobflow::UpstreamInfo>> announcedUpstreams()
    {
        auto upstreams = co_await runOn(m_requests.strand(), [this] { return m_requests.upstreams(); });
        for (auto &upstream : upstreams) {
            upstream.set_leaving(upstream.leaving() || m_announceLeaving);
        }
        co_return upstreams;
    }

    asio::awaitable<void> setDrained(bool drained)
    {
        co_await runOn(m_requests.strand(), [this, drained] {
            m_requests.setDrained(drained);
            return true;
        });
    }

    asio::awaitable<std::optional<ShardLeaderRow>> currentLeader()
    {
        const auto leading = co_await runOn(m_shardRunner->strand(), [this] {
            const ShardLeader &leader = m_shardRunner->leader();
            return leader.isLeading(std::chrono::steady_clock::now()) ? std::optional(leader.epoch()) : std::nullopt;
        });
        if (leading) {
            co_return ShardLeaderRow{.shard = m_shard, .epoch = *leading, .address = m_address};
        }
        co_return co_await runOn(m_announcer->strand(), [this] { return m_announcer->leader(m_shard); });
    }

    void setSheet(const FollowedSheet &sheet)
    {
        asio::post(m_shardRunner->strand(),
                   [this, sheet] { m_shardRunner->setSheet(sheet.version, sheet.rowVersion, sheet.sheet); });
        const bool inService = sheet.sheet->isInService(m_settings.dataCentre);
        asio::post(m_requests.strand(),
                   [this, version = sheet.version, inService] { m_requests.setSheet(version, inService); });
    }

    void confirmSheet(TimePoint confirmedAt, const FollowedSheet &sheet)
    {
        const bool inService = !sheet.sheet || sheet.sheet->isInService(m_settings.dataCentre);
        asio::post(m_tasks->strand(), [this, confirmedAt, version = sheet.version, inService] {
            m_tasks->onSheet(confirmedAt, version, inService);
        });
        m_metrics.setSheetVersion(static_cast<double>(sheet.version));
    }

    asio::awaitable<HttpServerResponse> serve(HttpServerRequest request)
    {
        if (request.target != "/v1/announce") {
            co_return statusPage(request.target, m_metrics, m_started && !m_stopping && m_shardCount.isVerified());
        }
        auto announcement = parseLocalAnnouncement(request.body, request.method == "DELETE");
        if (!isOk(announcement)) {
            co_return errorResponse(errorOf(announcement));
        }
        const bool leave = request.method == "DELETE";
        const LocalAnnouncement &parsed = valueOf(announcement);
        co_await runOn(m_requests.strand(), [this, leave, &parsed] {
            if (leave) {
                m_requests.leave(parsed.service);
            } else {
                m_requests.announce(parsed);
            }
            return true;
        });
        if (leave) {
            // Notify the entries immediately instead of with the next periodic announcement.
            co_await asio::co_spawn(m_announcer->strand(), m_announcer->announceOnce(), asio::use_awaitable);
        }
        co_return jsonResponse(200, {});
    }

    Settings m_settings;
    std::uint64_t m_bootId;
    ShardId m_shard;
    std::string m_address;
    asio::any_io_executor m_executor;
    Metrics m_metrics;
    std::shared_ptr<HttpClient> m_platformClient;
    std::shared_ptr<HttpClient> m_upstreamClient;
    HttpTableService m_table;
    HttpObjectStore m_objects;
    HttpWorkerRuntime m_worker;
    ShardCountCheck m_shardCount;
    ChannelPool m_channels;
    RequestExecutor m_requests;
    HttpServer m_http;
    std::optional<Announcer> m_announcer;
    std::optional<ShardRunner> m_shardRunner;
    std::optional<TaskRunner> m_tasks;
    std::optional<AgentService> m_agentService;
    std::optional<ShardService> m_shardService;
    std::optional<GrpcListener> m_listener;
    std::atomic<bool> m_announceLeaving{false};
    std::atomic<bool> m_started{false};
    std::atomic<bool> m_stopping{false};
};

} // namespace

std::unique_ptr<Process> makeAgentProcess(asio::io_context &context, Settings settings)
{
    return std::make_unique<AgentProcess>(context, std::move(settings));
}

} // namespace Carobflow
