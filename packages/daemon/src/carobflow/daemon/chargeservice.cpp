#include "carobflow/daemon/chargeservice.h"

#include "carobflow/connectors/tableservice.h"
#include "carobflow/core/sheet.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <array>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace Carobflow
{
namespace
{

constexpr Milliseconds InitialBackoff{100};
constexpr Milliseconds MaxBackoff{5000};

/// How long after the caller's deadline an answer is still stored. An agent abandons a request 10 s after its deadline
/// (RequestExecutor::Options::abandonedHold), so a later answer would never be delivered.
constexpr Milliseconds LateAnswerTimeout{10000};
/// Maximum time from the call to the end of the wait for an answer, equal to the longest deadline of any request.
/// Planned stops wait for requests in progress, and their limit of 30 s depends on this.
constexpr Milliseconds MaxAttemptDuration{25000};

/// Exponential backoff with equal jitter: each delay lies between half the current limit and the limit.
class Backoff
{
public:
    Duration next()
    {
        std::uniform_int_distribution<std::int64_t> distribution(m_limit.count() / 2, m_limit.count());
        m_limit = std::min(m_limit * 2, MaxBackoff);
        return Milliseconds(distribution(m_random));
    }

    void reset()
    {
        m_limit = InitialBackoff;
    }

private:
    Milliseconds m_limit = InitialBackoff;
    std::minstd_rand m_random{static_cast<std::uint32_t>(randomNumber())};
};

std::string_view replyName(const ChargeReply &reply)
{
    constexpr std::array<std::string_view, 4> names{"answer", "not-run", "unknown", "key-reused"};
    return names.at(reply.index());
}

} // namespace

struct ChargeService::Call {
    Call(const boost::asio::any_io_executor &executor, ChargeFlow::Options options, ServiceRequest sent)
        : flow(std::move(options))
        , request(std::move(sent))
        , strand(boost::asio::make_strand(executor))
        , replied(strand)
    {
    }

    ChargeFlow flow;
    ServiceRequest request;
    boost::asio::any_io_executor strand;
    Notifier replied;
    std::optional<ChargeReply> reply;
    Backoff backoff;
};

ChargeService::ChargeService(
    boost::asio::any_io_executor executor, Options options, TableService &table, Forwarder &forwarder, Metrics &metrics)
    : m_executor(std::move(executor))
    , m_options(options)
    , m_table(table)
    , m_forwarder(forwarder)
    , m_metrics(metrics)
{
}

boost::asio::awaitable<ChargeReply> ChargeService::charge(std::string key, ServiceRequest request)
{
    if (m_flows.fetch_add(1) >= m_options.maxFlows) {
        --m_flows;
        ChargeReply refusal = NotRunOutcome{
            .reason = "too many charges wait for the table service; repeat the call later",
            .retryAfter = Milliseconds(1000)};
        m_metrics.countCharge(replyName(refusal));
        co_return refusal;
    }
    // A charge is never retried after `unknown`, even if the service declares its requests idempotent.
    request.idempotent = false;
    const TimePoint deadline = request.deadline;
    const auto untilDeadline = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now());
    request.lateAnswerWait = std::clamp(MaxAttemptDuration - untilDeadline, Milliseconds::zero(), LateAnswerTimeout);
    const std::string digest = sheetDigest(request.method + " " + request.target + "\n" + request.body);
    auto call = std::make_shared<Call>(
        m_executor,
        ChargeFlow::Options{
            .service = request.service, .key = std::move(key), .requestDigest = digest, .token = randomToken()},
        std::move(request));
    // The flow and the wait for its reply share a strand, so the deadline handler runs only between two steps of the
    // flow.
    co_return co_await boost::asio::co_spawn(call->strand, runUntilReply(call, deadline), boost::asio::use_awaitable);
}

boost::asio::awaitable<ChargeReply> ChargeService::runUntilReply(std::shared_ptr<Call> call, TimePoint deadline)
{
    boost::asio::co_spawn(call->strand, run(call), boost::asio::detached);
    if (!call->reply) {
        co_await call->replied.waitUntil(deadline);
    }
    if (!call->reply) {
        call->reply = call->flow.onDeadline();
    }
    if (!call->reply) {
        call->reply = UnknownOutcome{.reason = "the deadline passed"};
    }
    m_metrics.countCharge(replyName(*call->reply));
    co_return *call->reply;
}

boost::asio::awaitable<void> ChargeService::run(std::shared_ptr<Call> call)
{
    ChargeFlow::Step step = call->flow.next();
    while (!std::holds_alternative<ChargeFlow::DoneStep>(step)) {
        if (auto *reply = std::get_if<ChargeFlow::ReplyStep>(&step)) {
            const bool more = reply->more;
            if (!call->reply) {
                call->reply = std::move(reply->reply);
                call->replied.notify();
            }
            if (!more) {
                break;
            }
            step = call->flow.next();
            continue;
        }
        if (call->flow.shouldBackOff()) {
            co_await sleepFor(call->backoff.next());
        } else {
            call->backoff.reset();
        }
        step = co_await executeStep(*call, std::move(step));
    }
    --m_flows;
}

boost::asio::awaitable<ChargeFlow::Step> ChargeService::executeStep(Call &call, ChargeFlow::Step step)
{
    if (const auto *read = std::get_if<ChargeFlow::ReadRowStep>(&step)) {
        const std::array keys{read->key};
        const auto rows = co_await m_table.read(keys);
        co_return call.flow.onRow(rows);
    }
    if (const auto *transact = std::get_if<ChargeFlow::TransactStep>(&step)) {
        const auto outcome = co_await m_table.transact(transact->transaction);
        co_return call.flow.onTransact(outcome);
    }
    // The only attempt. The request is moved, so that a flow that continues in the background does not keep it in
    // memory.
    const auto outcome = co_await m_forwarder.forward(std::move(call.request));
    co_return call.flow.onAttempt(outcome);
}

std::uint32_t ChargeService::flows() const
{
    return m_flows;
}

} // namespace Carobflow
