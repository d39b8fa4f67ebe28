#include "carobflow/daemon/entryprocess.h"

#include "carobflow/connectors/httpobjectstore.h"
#include "carobflow/connectors/httptableservice.h"
#include "carobflow/core/retrybudget.h"
#include "carobflow/core/routing.h"
#include "carobflow/daemon/burnrecorder.h"
#include "carobflow/daemon/chargeservice.h"
#include "carobflow/daemon/clusterview.h"
#include "carobflow/daemon/entryservice.h"
#include "carobflow/daemon/forwarder.h"
#include "carobflow/daemon/httpserver.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/grpclistener.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/daemon/internal/statuspages.h"
#include "carobflow/daemon/jobgateway.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/daemon/operatorapi.h"
#include "carobflow/daemon/rpc.h"
#include "carobflow/daemon/servicepipeline.h"
#include "carobflow/daemon/shardcountcheck.h"
#include "carobflow/daemon/sheetrepository.h"
#include "carobflow/logging/log.h"

#include <boost/asio/strand.hpp>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{

namespace asio = boost::asio;

namespace
{

/// A new entry to which no agent announces reports itself ready after this time, so that a system without upstreams can
/// still be operated. Agents discover a new entry within two seconds.
constexpr Milliseconds UpstreamDiscoveryTimeout{10000};

/// Short, so that an unresponsive entry leaves time to ask others.
constexpr Milliseconds SheetFetchTimeout{500};

class EntryProcess final : public Process
{
public:
    EntryProcess(asio::io_context &context, Settings settings)
        : m_settings(std::move(settings))
        , m_executor(context.get_executor())
        , m_client(std::make_shared<HttpClient>(m_executor))
        , m_table(m_client,
                  {.endpoint = {.host = m_settings.table.address, .port = m_settings.table.port},
                   .timeout = m_settings.platformTimeout})
        , m_objects(m_client,
                    {.endpoint = {.host = m_settings.objects.address, .port = m_settings.objects.port},
                     .timeout = m_settings.platformTimeout})
        , m_shardCount({.shards = static_cast<std::uint32_t>(m_settings.shards), .settingsPath = m_settings.path},
                       m_table)
        , m_routing({.dataCentre = m_settings.dataCentre,
                     .announcementTimeout = m_settings.announceTimeout,
                     .adaptivePolicy = m_settings.adaptivePolicy,
                     .seed = m_settings.seed != 0 ? static_cast<std::uint64_t>(m_settings.seed) : randomNumber()})
        , m_budget({.ratio = m_settings.retryRatio})
        , m_sheets(
              {.pollInterval = m_settings.sheetPollInterval},
              m_table,
              m_objects,
              [this](const auto &sheet) { m_routing.setSheet(sheet->sheet); },
              [this](SheetVersion version) { return fetchSheet(version); })
        , m_forwarder({.sheetVersion =
                           [this] {
                               const auto sheet = m_sheets.current();
                               return sheet ? sheet->version : SheetVersion{0};
                           }},
                      m_routing,
                      m_budget,
                      m_channels,
                      m_metrics)
        , m_charges(m_executor,
                    {.maxFlows = static_cast<std::uint32_t>(m_settings.maxChargeFlows)},
                    m_table,
                    m_forwarder,
                    m_metrics)
        , m_burn({.writer = m_settings.name + "-" + randomToken()}, m_table)
        , m_pipeline({.defaultTimeout = m_settings.defaultTimeout, .maxTimeout = m_settings.maxTimeout},
                     m_routing,
                     m_forwarder,
                     m_charges,
                     m_burn,
                     m_metrics)
        , m_http(m_executor,
                 {.endpoint = m_settings.http,
                  .maxBodyBytes = static_cast<std::uint64_t>(m_settings.maxBodyBytes),
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
        // The cluster view needs the gRPC port, which the operating system may choose, and the service needs the
        // cluster view.
        const auto port = m_listener->reserve();
        if (!isOk(port)) {
            return errorOf(port);
        }
        const Endpoint grpc{.address = m_settings.grpc.address, .port = valueOf(port)};
        const std::string address = m_settings.advertise.empty() ? grpc.toString() : m_settings.advertise;
        m_cluster.emplace(ClusterView::Options{.name = m_settings.name, .address = address},
                          m_table,
                          [this](std::vector<std::string> hosts) { m_routing.setDrainedHosts(std::move(hosts)); });
        m_jobs.emplace(JobGateway::Options{.shards = static_cast<std::uint32_t>(m_settings.shards),
                                           .participation = [this] { return m_shardCount.status(); }},
                       *m_cluster,
                       m_channels);
        m_operators.emplace(
            OperatorApi::Options{.token = m_settings.operatorToken}, m_sheets, *m_cluster, m_routing, *m_jobs, m_burn);
        m_service.emplace(m_sheets, *m_cluster, m_routing);
        if (Status status = m_listener->start({&*m_service}); !isOk(status)) {
            return status;
        }
        spawnLoop(asio::make_strand(m_executor), m_shardCount.waitUntilVerified());
        spawnLoop(asio::make_strand(m_executor), m_sheets.poll());
        spawnLoop(asio::make_strand(m_executor), m_cluster->run());
        spawnLoop(asio::make_strand(m_executor), m_burn.run());
        spawnLoop(asio::make_strand(m_executor), expireUpstreams());
        m_started = true;
        logInfo("ready").with("role", "entry").with("http", m_http.port()).with("grpc", valueOf(port));
        return std::monostate{};
    }

    asio::awaitable<void> stop() override
    {
        // The load balancer sees /readyz fail and routes new connections to other entries; until then requests are
        // served.
        m_stopping = true;
        m_http.closeAfterResponses();
        co_await m_cluster->leave();
        co_await sleepFor(m_settings.drainDelay);
        m_pipeline.close();
        co_await m_http.drain();
        while (m_charges.flows() > 0) {
            co_await sleepFor(Milliseconds(20));
        }
        co_await m_burn.flush();
        m_listener->shutdown();
    }

private:
    asio::awaitable<HttpServerResponse> serve(HttpServerRequest request)
    {
        if (request.target.starts_with("/v1/services/")) {
            co_return co_await m_pipeline.serve(std::move(request));
        }
        if (request.target.starts_with("/v1/") && m_started) {
            co_return co_await m_operators->serve(std::move(request));
        }
        updateGauges();
        const bool ready = m_started && !m_stopping && m_knowsUpstreams && m_sheets.current() != nullptr
            && m_shardCount.isVerified();
        co_return statusPage(request.target, m_metrics, ready);
    }

    void updateGauges()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        if (const auto sheet = m_sheets.current()) {
            m_metrics.setSheetVersion(static_cast<double>(sheet->version));
        }
        if (const auto confirmedAt = m_sheets.confirmedAt()) {
            m_metrics.setSheetAgeSeconds(std::chrono::duration<double>(now - *confirmedAt).count());
        }
        m_metrics.setUpstreams(static_cast<double>(m_routing.list(now).size()));
    }

    /// Asks the other entries in turn for a sheet of at least this version.
    asio::awaitable<std::shared_ptr<const AcceptedSheet>> fetchSheet(SheetVersion version)
    {
        using Stub = carobflow::EntryService::Stub;
        const auto entries = m_cluster->entries();
        for (const EntryMember &entry : entries->members) {
            if (entry.name == m_settings.name) {
                continue;
            }
            carobflow::GetSheetRequest request;
            request.set_version(version);
            std::shared_ptr<Stub> stub = carobflow::EntryService::NewStub(m_channels.channel(entry.address));
            const auto [status, reply] = co_await callUnary<Stub, carobflow::GetSheetRequest, carobflow::GetSheetReply>(
                std::move(stub), &Stub::async::GetSheet, std::move(request), SheetFetchTimeout);
            if (!status.ok() || reply.version() < version) {
                continue;
            }
            auto parsed = parseSheet(reply.text(), reply.reference_unix_seconds());
            if (auto *sheet = std::get_if<Sheet>(&parsed)) {
                logInfo("sheet-fetched").with("version", reply.version()).with("entry", entry.name);
                co_return std::make_shared<const AcceptedSheet>(
                    AcceptedSheet{.version = reply.version(),
                                  .rowVersion = reply.row_version(),
                                  .digest = sheetDigest(reply.text()),
                                  .author = "unknown",
                                  .referenceUnixSeconds = reply.reference_unix_seconds(),
                                  .text = reply.text(),
                                  .sheet = std::make_shared<const Sheet>(std::move(*sheet))});
            }
        }
        co_return nullptr;
    }

    asio::awaitable<void> expireUpstreams()
    {
        const TimePoint startedAt = std::chrono::steady_clock::now();
        std::optional<TimePoint> firstKnownAt;
        for (;;) {
            const TimePoint now = std::chrono::steady_clock::now();
            m_routing.expire(now);
            // Open connections before the first request needs them.
            const auto upstreams = m_routing.list(now);
            for (const Routing::View &view : upstreams) {
                m_channels.channel(view.upstream.agentAddress);
            }
            if (!upstreams.empty() && !firstKnownAt) {
                firstKnownAt = now;
            }
            m_knowsUpstreams = m_knowsUpstreams || now - startedAt > UpstreamDiscoveryTimeout
                || (firstKnownAt && now - *firstKnownAt > 2 * m_settings.announceInterval);
            co_await sleepFor(m_settings.announceTimeout / 8);
        }
    }

    Settings m_settings;
    asio::any_io_executor m_executor;
    Metrics m_metrics;
    std::shared_ptr<HttpClient> m_client;
    HttpTableService m_table;
    HttpObjectStore m_objects;
    ShardCountCheck m_shardCount;
    ChannelPool m_channels;
    Routing m_routing;
    RetryBudget m_budget;
    SheetRepository m_sheets;
    Forwarder m_forwarder;
    ChargeService m_charges;
    BurnRecorder m_burn;
    ServicePipeline m_pipeline;
    HttpServer m_http;
    std::optional<ClusterView> m_cluster;
    std::optional<JobGateway> m_jobs;
    std::optional<OperatorApi> m_operators;
    std::optional<EntryService> m_service;
    std::optional<GrpcListener> m_listener;
    std::atomic<bool> m_started{false};
    /// True once agents have had enough time to announce to this entry.
    std::atomic<bool> m_knowsUpstreams{false};
    std::atomic<bool> m_stopping{false};
};

} // namespace

std::unique_ptr<Process> makeEntryProcess(asio::io_context &context, Settings settings)
{
    return std::make_unique<EntryProcess>(context, std::move(settings));
}

} // namespace Carobflow
