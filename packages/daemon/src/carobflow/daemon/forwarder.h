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

/// A request on its way to a service.
struct ServiceRequest {
    std::string service;
    bool idempotent = false;
    std::string method;
    /// Path and query as the upstream sees them.
    std::string target;
    HttpHeaders headers;
    std::string body;
    TimePoint deadline;
    /// How long after the deadline an answer is still of use; zero for all requests but charges.
    Milliseconds lateAnswerWait{0};
};

/// Sends a request to one upstream after another until it has an outcome that must not be tried elsewhere: only
/// `not-run` is, and `unknown` for idempotent requests, out of the service's retry budget.
class Forwarder
{
public:
    struct Options {
        /// Waiting for a connection to an agent; an upstream without one is passed over as `not-run`.
        Milliseconds connectWait{200};
        std::uint32_t maxAttempts = 4;
        std::function<SheetVersion()> sheetVersion;
    };

    Forwarder(Options options, Routing &routing, RetryBudget &budget, ChannelPool &channels, Metrics &metrics);

    /// Ends by the deadline of the request and its wait for a late answer. Nothing is sent after the deadline.
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
    /// Request ids are unique over restarts: a random prefix for this process and a counter.
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_nextId{1};
};

/// The label of an outcome in metrics and logs.
std::string_view attemptOutcomeName(const AttemptOutcome &outcome);

} // namespace Carobflow
