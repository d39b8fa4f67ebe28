#include "carobflow/daemon/forwarder.h"

#include "carobflow/core/retrybudget.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/daemon/protocolconversion.h"
#include "carobflow/daemon/rpc.h"

#include <array>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{
namespace
{

// The agent itself replies `unknown` at the deadline; this leaves time for that reply to arrive.
constexpr Milliseconds ReplyAllowance{50};

AttemptResult resultOf(const AttemptOutcome &outcome)
{
    constexpr std::array results{AttemptResult::Answered, AttemptResult::NotRun, AttemptResult::Unknown};
    return results.at(outcome.index());
}

Milliseconds remainingUntil(TimePoint deadline)
{
    return std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now());
}

} // namespace

std::string_view attemptOutcomeName(const AttemptOutcome &outcome)
{
    constexpr std::array<std::string_view, 3> names{"answer", "not-run", "unknown"};
    return names.at(outcome.index());
}

Forwarder::Forwarder(Options options, Routing &routing, RetryBudget &budget, ChannelPool &channels, Metrics &metrics)
    : m_options(std::move(options))
    , m_routing(routing)
    , m_budget(budget)
    , m_channels(channels)
    , m_metrics(metrics)
    , m_idPrefix(randomToken())
{
}

boost::asio::awaitable<AttemptOutcome> Forwarder::forward(ServiceRequest request)
{
    const std::string requestId = m_idPrefix + "-" + std::to_string(m_nextId.fetch_add(1));
    m_budget.onRequest(request.service);
    std::vector<std::string> tried;
    AttemptOutcome last = NotRunOutcome{.reason = "no upstream of this service is available",
                                        .retryAfter = Milliseconds(1000)};
    bool mayHaveRun = false;
    for (std::uint32_t number = 1; number <= m_options.maxAttempts; ++number) {
        const TimePoint startedAt = std::chrono::steady_clock::now();
        if (startedAt >= request.deadline) {
            break;
        }
        const auto upstream = m_routing.choose(startedAt, request.service, tried);
        if (!upstream) {
            break;
        }
        if (number > 1 && !m_budget.tryTake(request.service)) {
            // Nothing was sent, so this must not count for or against the upstream.
            m_routing.settle(startedAt, *upstream, AttemptResult::Cancelled, Duration::zero(), 0);
            break;
        }
        if (number > 1) {
            m_metrics.countRetry(request.service);
        }
        last = co_await attempt(request, *upstream, requestId, number);
        m_metrics.countAttempt(request.service, attemptOutcomeName(last));
        mayHaveRun = mayHaveRun || std::holds_alternative<UnknownOutcome>(last);
        const bool mayRetry = std::holds_alternative<NotRunOutcome>(last)
            || (std::holds_alternative<UnknownOutcome>(last) && request.idempotent);
        if (!mayRetry) {
            break;
        }
        tried.push_back(upstream->host);
    }
    // An earlier attempt without an answer may have run, so the request as a whole is not `not-run`.
    if (mayHaveRun && std::holds_alternative<NotRunOutcome>(last)) {
        co_return UnknownOutcome{.reason = "an attempt was sent and got no answer"};
    }
    co_return last;
}

boost::asio::awaitable<AttemptOutcome> Forwarder::attempt(const ServiceRequest &request,
                                                          const Upstream &upstream,
                                                          const std::string &requestId,
                                                          std::uint32_t attemptNumber)
{
    const TimePoint startedAt = std::chrono::steady_clock::now();
    // Shared with the timer's handler, which may run after this coroutine has ended.
    std::shared_ptr<bool> settled;
    std::optional<boost::asio::steady_timer> deadlineTimer;
    const auto settle = [&](AttemptOutcome outcome, std::uint32_t outstanding) {
        if (settled && std::exchange(*settled, true)) {
            return outcome;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        m_routing.settle(now, upstream, resultOf(outcome), now - startedAt, outstanding);
        return outcome;
    };
    const Milliseconds wait = std::min(m_options.connectTimeout, remainingUntil(request.deadline));
    if (!co_await m_channels.waitReady(upstream.agentAddress, wait)) {
        co_return settle(
            NotRunOutcome{.reason = "there is no connection to the upstream's agent", .retryAfter = Milliseconds(500)},
            0);
    }
    const Milliseconds remaining = remainingUntil(request.deadline);
    if (remaining <= Milliseconds::zero()) {
        co_return settle(
            NotRunOutcome{.reason = "the deadline passed before the request was sent", .retryAfter = Milliseconds(0)},
            0);
    }
    carobflow::ForwardRequest message;
    message.set_request_id(requestId);
    message.set_attempt(attemptNumber);
    message.set_service(request.service);
    message.set_method(request.method);
    message.set_target(request.target);
    message.set_body(request.body);
    message.set_timeout_ms(static_cast<std::uint32_t>(remaining.count()));
    message.set_sheet_version(m_options.sheetVersion());
    message.set_idempotent(request.idempotent);
    message.set_late_answer_ms(static_cast<std::uint32_t>(request.lateAnswerWait.count()));
    for (const auto &[name, value] : request.headers) {
        auto *header = message.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    if (request.lateAnswerWait > Milliseconds::zero()) {
        // An upstream that misses the deadline counts as failed at the deadline, as for other requests. Otherwise a
        // stalled upstream would be ejected only after the wait for late answers.
        const auto executor = co_await boost::asio::this_coro::executor;
        settled = std::make_shared<bool>(false);
        deadlineTimer.emplace(executor, request.deadline);
        deadlineTimer->async_wait([this, settled, upstream, startedAt](const boost::system::error_code &cancelled) {
            if (!cancelled && !std::exchange(*settled, true)) {
                const TimePoint now = std::chrono::steady_clock::now();
                m_routing.settle(now, upstream, AttemptResult::Unknown, now - startedAt, 0);
            }
        });
    }
    std::shared_ptr<carobflow::AgentService::Stub> stub = carobflow::AgentService::NewStub(
        m_channels.channel(upstream.agentAddress));
    auto [status, reply]
        = co_await callUnary<carobflow::AgentService::Stub, carobflow::ForwardRequest, carobflow::ForwardReply>(
            std::move(stub),
            &carobflow::AgentService::Stub::async::Forward,
            std::move(message),
            remaining + request.lateAnswerWait + ReplyAllowance);
    if (!status.ok()) {
        co_return settle(UnknownOutcome{.reason = "the agent did not answer: " + status.error_message()}, 0);
    }
    if (reply.request_id() != requestId || reply.attempt() != attemptNumber) {
        co_return settle(UnknownOutcome{.reason = "the agent answered another request"}, 0);
    }
    const std::uint32_t outstanding = reply.outstanding();
    co_return settle(takeOutcome(std::move(reply)), outstanding);
}

} // namespace Carobflow
