#pragma once

#include "carobflow/core/chargeflow.h"
#include "carobflow/core/routing.h"
#include "carobflow/daemon/httpserver.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class ChannelPool;
class Metrics;
class RetryBudget;

/// A request to be forwarded to a service.
struct ServiceRequest {
    std::string service;
    bool idempotent = false;
    std::string method;
    /// Path and query as the upstream sees them.
    std::string target;
    HttpHeaders headers;
    std::string body;
    TimePoint deadline;
    /// How long after the deadline a late answer is still accepted; zero for all requests except charges.
    Milliseconds lateAnswerWait{0};
};

/// Forwards a request to an upstream and retries on others within the service's retry budget. Only `not-run` is
/// retried, and `unknown` for idempotent requests.
class Forwarder
{
public:
    struct Options {
        /// How long to wait for a connection to an agent; an attempt without a connection ends as `not-run`.
        Milliseconds connectTimeout{200};
        std::uint32_t maxAttempts = 4;
        std::function<SheetVersion()> sheetVersion;
    };

    Forwarder(Options options, Routing &routing, RetryBudget &budget, ChannelPool &channels, Metrics &metrics);

    /// Completes by the request's deadline plus its wait for a late answer. Nothing is sent after the deadline.
    boost::asio::awaitable<AttemptOutcome> forward(ServiceRequest request);

private:
    boost::asio::awaitable<AttemptOutcome> attempt(const ServiceRequest &request,
                                                   const Upstream &upstream,
                                                   const std::string &requestId,
                                                   std::uint32_t attemptNumber);

    Options m_options;
    Routing &m_routing;
    RetryBudget &m_budget;
    ChannelPool &m_channels;
    Metrics &m_metrics;
    /// Request ids are unique across restarts: a random prefix per process and a counter.
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_nextId{1};
};

/// Returns the label of an outcome in metrics and logs.
std::string_view attemptOutcomeName(const AttemptOutcome &outcome);

} // namespace Carobflow
