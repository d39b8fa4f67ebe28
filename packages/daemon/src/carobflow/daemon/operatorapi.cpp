#include "carobflow/daemon/operatorapi.h"

#include "carobflow/core/burnreport.h"
#include "carobflow/core/routing.h"
#include "carobflow/daemon/burnrecorder.h"
#include "carobflow/daemon/clusterview.h"
#include "carobflow/daemon/internal/apijson.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/daemon/jobgateway.h"
#include "carobflow/daemon/sheetrepository.h"

#include <charconv>
#include <map>

#include <boost/json/value_from.hpp>
#include <openssl/crypto.h>

namespace Carobflow
{
namespace
{

namespace json = boost::json;

constexpr std::int64_t AtRiskSlackSeconds = 300;

std::optional<SheetVersion> parseVersion(std::string_view text)
{
    if (text.size() > 1 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    SheetVersion version = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc{} && rest == text.data() + text.size() ? std::optional(version) : std::nullopt;
}

std::string authorOf(const HttpServerRequest &request)
{
    const std::string_view author = findHeader(request.headers, "Carobflow-Author");
    return author.empty() ? "unknown" : std::string(author);
}

HttpServerResponse toResponse(const ApplyOutcome &outcome)
{
    if (const auto *accepted = std::get_if<SheetAccepted>(&outcome)) {
        return jsonResponse(200, {{"version", accepted->version}, {"digest", accepted->digest}});
    }
    if (const auto *conflict = std::get_if<SheetConflict>(&outcome)) {
        return jsonResponse(409,
                            {{"error", "conflict"},
                             {"message", "another sheet was accepted; read it and name its version"},
                             {"currentVersion", conflict->currentVersion}});
    }
    if (const auto *faults = std::get_if<SheetFaults>(&outcome)) {
        json::array list;
        for (const SheetFault &fault : *faults) {
            list.push_back({{"line", fault.line}, {"column", fault.column}, {"message", fault.message}});
        }
        return jsonResponse(422, {{"error", "invalid"}, {"faults", std::move(list)}});
    }
    return errorResponse(std::get<Error>(outcome));
}

} // namespace

struct OperatorApi::Call {
    const HttpServerRequest &request;
    /// Path segments after /v1.
    std::vector<std::string_view> segments;
};

OperatorApi::OperatorApi(Options options,
                         SheetRepository &sheets,
                         ClusterView &cluster,
                         Routing &routing,
                         JobGateway &jobs,
                         BurnRecorder &burn)
    : m_options(std::move(options))
    , m_sheets(sheets)
    , m_cluster(cluster)
    , m_routing(routing)
    , m_jobs(jobs)
    , m_burn(burn)
{
}

const std::vector<OperatorApi::Route> &OperatorApi::routes()
{
    static const std::vector<Route> Routes{
        {"GET", {"sheet"}, false, &OperatorApi::getSheet},
        {"PUT", {"sheet"}, true, &OperatorApi::putSheet},
        {"GET", {"sheet", "history"}, false, &OperatorApi::getHistory},
        {"POST", {"datacentres", "*", "out"}, true, &OperatorApi::setDataCentre},
        {"POST", {"datacentres", "*", "in"}, true, &OperatorApi::setDataCentre},
        {"GET", {"upstreams"}, false, &OperatorApi::getUpstreams},
        {"POST", {"upstreams", "*", "drain"}, true, &OperatorApi::drainUpstream},
        {"DELETE", {"upstreams", "*", "drain"}, true, &OperatorApi::drainUpstream},
        {"POST", {"jobs"}, false, &OperatorApi::submitJob},
        {"GET", {"jobs"}, false, &OperatorApi::listJobs},
        {"GET", {"jobs", "*"}, false, &OperatorApi::getJob},
        {"DELETE", {"jobs", "*"}, false, &OperatorApi::cancelJob},
        {"GET", {"report", "burn"}, false, &OperatorApi::reportBurn},
        {"GET", {"report", "jobs"}, false, &OperatorApi::reportJobs},
        {"GET", {"report", "placement"}, false, &OperatorApi::reportPlacement},
    };
    return Routes;
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::serve(HttpServerRequest request)
{
    Call call{.request = request, .segments = splitPath(request.target)};
    bool pathKnown = false;
    for (const Route &route : routes()) {
        if (!matchesPath(route.segments, call.segments)) {
            continue;
        }
        pathKnown = true;
        if (route.method != request.method) {
            continue;
        }
        if (route.operatorsOnly && !isAuthorized(request)) {
            co_return jsonResponse(401,
                                   {{"error", "unauthenticated"},
                                    {"message", "this call needs the operators' token; give it with --token"}});
        }
        co_return co_await (this->*route.handler)(call);
    }
    co_return jsonResponse(pathKnown ? 405 : 404,
                           {{"error", pathKnown ? "method-not-allowed" : "not-found"},
                            {"message", "see docs/callers.md for the calls that exist"}});
}

bool OperatorApi::isAuthorized(const HttpServerRequest &request) const
{
    const std::string expected = "Bearer " + m_options.token;
    const std::string_view given = findHeader(request.headers, "Authorization");
    return given.size() == expected.size() && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::getSheet(const Call & /*call*/)
{
    const auto sheet = m_sheets.current();
    if (!sheet) {
        co_return jsonResponse(200, {{"version", 0}, {"digest", ""}, {"author", ""}, {"text", ""}});
    }
    co_return jsonResponse(
        200,
        {{"version", sheet->version}, {"digest", sheet->digest}, {"author", sheet->author}, {"text", sheet->text}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::putSheet(const Call &call)
{
    const auto replaces = parseVersion(findHeader(call.request.headers, "If-Match"));
    if (!replaces) {
        co_return jsonResponse(428,
                               {{"error", "version-missing"},
                                {"message", "name the version that the sheet replaces in If-Match (0 for the first)"}});
    }
    co_return toResponse(co_await m_sheets.apply(call.request.body, *replaces, authorOf(call.request)));
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::getHistory(const Call & /*call*/)
{
    const auto history = co_await m_sheets.history();
    if (!isOk(history)) {
        co_return errorResponse(errorOf(history));
    }
    json::array versions;
    for (const SheetHistoryEntry &entry : valueOf(history)) {
        versions.push_back({{"version", entry.version},
                            {"digest", entry.digest},
                            {"author", entry.author},
                            {"acceptedUnixSeconds", entry.acceptedUnixSeconds}});
    }
    co_return jsonResponse(200, {{"versions", std::move(versions)}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::setDataCentre(const Call &call)
{
    const std::string_view ifMatch = findHeader(call.request.headers, "If-Match");
    std::optional<SheetVersion> replaces;
    if (!ifMatch.empty()) {
        replaces = parseVersion(ifMatch);
        if (!replaces) {
            co_return jsonResponse(400, {{"error", "invalid"}, {"message", "If-Match is not a version of the sheet"}});
        }
    }
    co_return toResponse(co_await m_sheets.setDataCentre(
        std::string(call.segments.at(1)), call.segments.at(2) == "in", replaces, authorOf(call.request)));
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::getUpstreams(const Call & /*call*/)
{
    json::array upstreams;
    for (const Routing::View &view : m_routing.list(std::chrono::steady_clock::now())) {
        upstreams.push_back({{"service", view.upstream.service},
                             {"host", view.upstream.host},
                             {"dataCentre", view.upstream.dataCentre},
                             {"address", view.upstream.agentAddress},
                             {"slots", view.upstream.slots},
                             {"outstanding", view.outstanding},
                             {"latencyMs", view.latencyMilliseconds},
                             {"inService", view.inService},
                             {"leaving", view.leaving},
                             {"drained", view.drained},
                             {"ejected", view.ejected}});
    }
    co_return jsonResponse(200, {{"upstreams", std::move(upstreams)}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::drainUpstream(const Call &call)
{
    // GCC 12 emits a trap for an awaited call with temporaries inside a condition.
    const std::string host(call.segments.at(1));
    const bool drained = call.request.method == "POST";
    const bool confirmed = co_await m_cluster.setDrained(host, drained);
    if (!confirmed) {
        const Error error{ErrorKind::Unknown, "the table did not confirm the change; repeat the call"};
        co_return errorResponse(error);
    }
    co_return jsonResponse(200, {});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::submitJob(const Call &call)
{
    auto spec = parseJobSpec(call.request.body);
    if (!isOk(spec)) {
        co_return errorResponse(errorOf(spec));
    }
    const std::string id = valueOf(spec).id;
    const auto reply = co_await m_jobs.submit(takeValue(std::move(spec)));
    static const std::map<std::string_view, unsigned> StatusOf{
        {"accepted", 202}, {"exists", 200}, {"conflict", 409}, {"unavailable", 503}};
    const auto status = StatusOf.find(reply.outcome);
    if (status == StatusOf.end()) {
        co_return outcomeResponse(504, "unknown", reply.message);
    }
    if (status->second == 503) {
        co_return outcomeResponse(503, "not-run", reply.message);
    }
    if (status->second == 409) {
        co_return jsonResponse(409, {{"error", "conflict"}, {"message", reply.message}});
    }
    co_return jsonResponse(status->second, {{"id", id}, {"state", reply.outcome}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::getJob(const Call &call)
{
    const auto job = co_await m_jobs.find(std::string(call.segments.at(1)));
    if (!isOk(job)) {
        co_return errorResponse(errorOf(job));
    }
    co_return jsonResponse(200, jobObject(valueOf(job)));
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::cancelJob(const Call &call)
{
    const std::string id(call.segments.at(1));
    const auto reply = co_await m_jobs.cancel(id);
    if (reply.outcome == "cancelled") {
        co_return jsonResponse(200, {{"id", id}, {"state", "cancelled"}});
    }
    if (reply.outcome == "not-found") {
        const Error error{ErrorKind::NotFound, reply.message};
        co_return errorResponse(error);
    }
    if (reply.outcome == "ended") {
        co_return jsonResponse(409, {{"error", "conflict"}, {"message", reply.message}});
    }
    if (reply.outcome == "unavailable") {
        co_return outcomeResponse(503, "not-run", reply.message);
    }
    co_return outcomeResponse(504, "unknown", reply.message);
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::listJobs(const Call & /*call*/)
{
    const auto jobs = co_await m_jobs.list();
    if (!isOk(jobs)) {
        co_return errorResponse(errorOf(jobs));
    }
    json::array list;
    for (const auto &job : valueOf(jobs)) {
        list.push_back(jobObject(job));
    }
    co_return jsonResponse(200, {{"jobs", std::move(list)}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::reportBurn(const Call & /*call*/)
{
    constexpr std::int64_t secondsPerMinute = 60;
    const std::int64_t lastMinute = unixSeconds() / secondsPerMinute;
    const auto counts = co_await m_burn.load(lastMinute - burnWindows().back());
    if (!isOk(counts)) {
        co_return errorResponse(errorOf(counts));
    }
    std::vector<BurnTarget> targets;
    if (const auto sheet = m_sheets.current()) {
        for (const ServiceEntry &service : sheet->sheet->services) {
            targets.push_back({.service = service.name,
                               .objective = service.objective == Objective::Latency ? "latency" : "throughput",
                               .targetRatio = service.targetRatio});
        }
    }
    const auto rows = computeBurn(valueOf(counts), targets, lastMinute);
    co_return jsonResponse(200, {{"rows", json::value_from(rows)}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::reportJobs(const Call & /*call*/)
{
    const auto jobs = co_await m_jobs.list();
    if (!isOk(jobs)) {
        co_return errorResponse(errorOf(jobs));
    }
    json::array late;
    json::array atRisk;
    json::array unrunnable;
    json::array failed;
    for (const auto &job : valueOf(jobs)) {
        const bool ended = job.state() == "finished" || job.state() == "cancelled";
        if (job.state() == "unrunnable") {
            unrunnable.push_back(jobObject(job));
        } else if (job.state() == "failed") {
            failed.push_back(jobObject(job));
        } else if (!ended && job.job().deadline_unix_seconds() > 0 && job.slack_seconds() < 0) {
            late.push_back(jobObject(job));
        } else if (!ended && job.job().deadline_unix_seconds() > 0 && job.slack_seconds() < AtRiskSlackSeconds) {
            atRisk.push_back(jobObject(job));
        }
    }
    co_return jsonResponse(200,
                           {{"late", std::move(late)},
                            {"atRisk", std::move(atRisk)},
                            {"unrunnable", std::move(unrunnable)},
                            {"failed", std::move(failed)}});
}

boost::asio::awaitable<HttpServerResponse> OperatorApi::reportPlacement(const Call & /*call*/)
{
    const auto jobs = co_await m_jobs.list();
    if (!isOk(jobs)) {
        co_return errorResponse(errorOf(jobs));
    }
    std::map<std::string, std::string> dataCentres;
    std::map<std::string, json::array> tasks;
    for (const Routing::View &view : m_routing.list(std::chrono::steady_clock::now())) {
        dataCentres[view.upstream.host] = view.upstream.dataCentre;
        tasks.try_emplace(view.upstream.host);
    }
    for (const auto &job : valueOf(jobs)) {
        if (!job.host().empty()) {
            tasks[job.host()].push_back(jobObject(job));
        }
    }
    json::array hosts;
    for (auto &[host, list] : tasks) {
        hosts.push_back({{"host", host}, {"dataCentre", dataCentres[host]}, {"tasks", std::move(list)}});
    }
    co_return jsonResponse(200, {{"hosts", std::move(hosts)}});
}

} // namespace Carobflow
