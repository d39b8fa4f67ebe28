#include "carobflow/daemon/servicepipeline.h"

#include "carobflow/core/routing.h"
#include "carobflow/daemon/burnrecorder.h"
#include "carobflow/daemon/chargeservice.h"
#include "carobflow/daemon/metrics.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow
{
namespace
{

constexpr std::string_view ServicesPrefix = "/v1/services/";
constexpr std::string_view OutcomeHeader = "Carobflow-Outcome";
constexpr std::size_t MaxKeyLength = 200;

/// Returns false for headers that apply to one connection only and for Carobflow-* headers, which a caller must not set
/// for the upstream.
bool isForwarded(std::string_view name)
{
    constexpr std::array<std::string_view, 11> notForwarded{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Host",
                                                            "Content-Length",
                                                            "Expect"};
    return !boost::algorithm::istarts_with(name, "Carobflow-")
        && std::ranges::none_of(notForwarded,
                                [&](std::string_view other) { return boost::algorithm::iequals(name, other); });
}

std::string errorBody(std::string_view error, std::string_view message)
{
    return boost::json::serialize(boost::json::object{{"error", error}, {"message", message}}) + "\n";
}

HttpServerResponse refuse(unsigned status, std::string_view error, std::string_view message)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}, {std::string(OutcomeHeader), "not-run"}},
            .body = errorBody(error, message)};
}

HttpServerResponse toResponse(const NotRunOutcome &outcome)
{
    // Retry-After has a resolution of one second.
    const auto seconds = std::max<std::int64_t>(1, std::chrono::ceil<Seconds>(outcome.retryAfter).count());
    HttpServerResponse response = refuse(503, "not-run", outcome.reason);
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
    response.headers.emplace_back("Carobflow-Retry-After-Ms", std::to_string(outcome.retryAfter.count()));
    return response;
}

HttpServerResponse toResponse(const UnknownOutcome &outcome)
{
    return {.status = 504,
            .headers = {{"Content-Type", "application/json"}, {std::string(OutcomeHeader), "unknown"}},
            .body = errorBody("unknown", outcome.reason)};
}

HttpServerResponse toResponse(UpstreamAnswer answer)
{
    HttpServerResponse response{.status = answer.status, .headers = {}, .body = std::move(answer.body)};
    for (auto &[name, value] : answer.headers) {
        if (isForwarded(name)) {
            response.headers.emplace_back(std::move(name), std::move(value));
        }
    }
    response.headers.emplace_back(std::string(OutcomeHeader), "answer");
    return response;
}

HttpServerResponse toResponse(const KeyReused & /*reused*/)
{
    return refuse(422, "key-reused", "this Idempotency-Key was used with another request; use a new key");
}

} // namespace

struct ServicePipeline::Context {
    HttpServerRequest request;
    ServiceRequest forwarded;
    std::optional<std::string> chargeKey;
    Milliseconds serviceDeadline{0};
};

ServicePipeline::ServicePipeline(Options options,
                                 Routing &routing,
                                 Forwarder &forwarder,
                                 ChargeService &charges,
                                 BurnRecorder &burn,
                                 Metrics &metrics)
    : m_options(options)
    , m_routing(routing)
    , m_forwarder(forwarder)
    , m_charges(charges)
    , m_burn(burn)
    , m_metrics(metrics)
{
}

boost::asio::awaitable<HttpServerResponse> ServicePipeline::serve(HttpServerRequest request)
{
    static constexpr std::array<Filter, 6> Filters{&ServicePipeline::parse,
                                                   &ServicePipeline::findService,
                                                   &ServicePipeline::setDeadline,
                                                   &ServicePipeline::admit,
                                                   &ServicePipeline::charge,
                                                   &ServicePipeline::forward};
    Context context;
    context.request = std::move(request);
    ++m_inProgress;
    Outcome response;
    for (const Filter filter : Filters) {
        response = co_await (this->*filter)(context);
        if (response) {
            break;
        }
    }
    --m_inProgress;
    co_return std::move(*response);
}

void ServicePipeline::close()
{
    m_closed = true;
}

boost::asio::awaitable<ServicePipeline::Outcome> ServicePipeline::parse(Context &context)
{
    std::string_view rest(context.request.target);
    rest.remove_prefix(std::min(rest.size(), ServicesPrefix.size()));
    const auto end = rest.find_first_of("/?");
    context.forwarded.service = std::string(rest.substr(0, end));
    rest.remove_prefix(std::min(rest.size(), context.forwarded.service.size()));
    if (context.forwarded.service.empty()) {
        co_return refuse(404, "not-found", "write /v1/services/<service>/<path>");
    }
    context.forwarded.method = context.request.method;
    context.forwarded.target = rest.empty() ? "/" : rest.front() == '?' ? "/" + std::string(rest) : std::string(rest);
    // The query is ignored here: a charge with a query string must not bypass the check for an earlier run.
    const std::string_view path = std::string_view(context.forwarded.target)
                                      .substr(0, context.forwarded.target.find('?'));
    if (path == "/charges" && context.request.method == "POST") {
        context.chargeKey = std::string(findHeader(context.request.headers, "Idempotency-Key"));
        const bool printable = std::ranges::all_of(
            *context.chargeKey, [](unsigned char character) { return character > ' ' && character < 0x7f; });
        if (context.chargeKey->empty() || context.chargeKey->size() > MaxKeyLength || !printable) {
            co_return refuse(400, "invalid-key", "a charge needs an Idempotency-Key of 1 to 200 printable characters");
        }
    }
    for (const auto &[name, value] : context.request.headers) {
        if (isForwarded(name)) {
            context.forwarded.headers.emplace_back(name, value);
        }
    }
    context.forwarded.body = std::move(context.request.body);
    co_return std::nullopt;
}

boost::asio::awaitable<ServicePipeline::Outcome> ServicePipeline::findService(Context &context)
{
    const auto service = m_routing.findService(context.forwarded.service);
    if (!service) {
        co_return refuse(404, "unknown-service", "the sheet in force does not list this service");
    }
    context.forwarded.idempotent = service->idempotent;
    context.serviceDeadline = service->deadline;
    co_return std::nullopt;
}

boost::asio::awaitable<ServicePipeline::Outcome> ServicePipeline::setDeadline(Context &context)
{
    const std::string_view text = findHeader(context.request.headers, "Carobflow-Timeout-Ms");
    std::int64_t timeout = m_options.defaultTimeout.count();
    if (!text.empty()) {
        const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), timeout);
        if (error != std::errc{} || rest != text.data() + text.size() || timeout <= 0) {
            co_return refuse(400, "invalid-timeout", "Carobflow-Timeout-Ms is a number of milliseconds above 0");
        }
    }
    context.forwarded.deadline = context.request.receivedAt + std::min(Milliseconds(timeout), m_options.maxTimeout);
    co_return std::nullopt;
}

boost::asio::awaitable<ServicePipeline::Outcome> ServicePipeline::admit(Context &context)
{
    const bool full = m_inProgress > m_options.maxInProgress;
    if (m_closed || full) {
        settle(context, "not-run", false);
        co_return toResponse(NotRunOutcome{.reason = full ? "the entry has too many requests in progress"
                                                          : "the entry is stopping; use another entry",
                                           .retryAfter = Milliseconds(200)});
    }
    co_return std::nullopt;
}

boost::asio::awaitable<ServicePipeline::Outcome> ServicePipeline::charge(Context &context)
{
    if (!context.chargeKey) {
        co_return std::nullopt;
    }
    context.forwarded.headers.erase(
        std::remove_if(context.forwarded.headers.begin(),
                       context.forwarded.headers.end(),
                       [](const auto &header) { return boost::algorithm::iequals(header.first, "Idempotency-Key"); }),
        context.forwarded.headers.end());
    context.forwarded.headers.emplace_back("Idempotency-Key", *context.chargeKey);
    ChargeReply reply = co_await m_charges.charge(*context.chargeKey, context.forwarded);
    constexpr std::array<std::string_view, 4> names{"answer", "not-run", "unknown", "key-reused"};
    settle(context, names.at(reply.index()), std::holds_alternative<UpstreamAnswer>(reply));
    co_return std::visit([](auto &&outcome) { return toResponse(std::forward<decltype(outcome)>(outcome)); },
                         std::move(reply));
}

boost::asio::awaitable<ServicePipeline::Outcome> ServicePipeline::forward(Context &context)
{
    AttemptOutcome outcome = co_await m_forwarder.forward(context.forwarded);
    settle(context, attemptOutcomeName(outcome), std::holds_alternative<UpstreamAnswer>(outcome));
    co_return std::visit([](auto &&result) { return toResponse(std::forward<decltype(result)>(result)); },
                         std::move(outcome));
}

void ServicePipeline::settle(const Context &context, std::string_view outcome, bool answered)
{
    const Duration elapsed = std::chrono::steady_clock::now() - context.request.receivedAt;
    m_metrics.countRequest(context.forwarded.service, outcome, std::chrono::duration<double>(elapsed).count());
    m_burn.record(context.forwarded.service, answered && elapsed <= context.serviceDeadline);
}

} // namespace Carobflow
