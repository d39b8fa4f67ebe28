#pragma once

#include "carobflow/core/chargeflow.h"
#include "carobflow/daemon/forwarder.h"
#include "carobflow/daemon/httpserver.h"

#include <atomic>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class BurnRecorder;
class ChargeService;
class Metrics;
class Routing;

/// Processes a request to a counter service through a chain of filters; the first filter that returns a response ends
/// the processing.
class ServicePipeline
{
public:
    struct Options {
        Milliseconds defaultTimeout{2000};
        Milliseconds maxTimeout{25000};
        /// New requests are rejected as `not-run` while more than this many are in progress, to bound the entry's
        /// memory.
        std::uint32_t maxInProgress = 4096;
    };

    ServicePipeline(Options options,
                    Routing &routing,
                    Forwarder &forwarder,
                    ChargeService &charges,
                    BurnRecorder &burn,
                    Metrics &metrics);

    /// Serves a request whose path starts with /v1/services/.
    boost::asio::awaitable<HttpServerResponse> serve(HttpServerRequest request);

    /// Rejects new requests as `not-run` from now on.
    void close();

private:
    struct Context;
    using Outcome = std::optional<HttpServerResponse>;
    using Filter = boost::asio::awaitable<Outcome> (ServicePipeline::*)(Context &);

    boost::asio::awaitable<Outcome> parse(Context &context);
    boost::asio::awaitable<Outcome> findService(Context &context);
    boost::asio::awaitable<Outcome> setDeadline(Context &context);
    boost::asio::awaitable<Outcome> admit(Context &context);
    boost::asio::awaitable<Outcome> charge(Context &context);
    boost::asio::awaitable<Outcome> forward(Context &context);

    void settle(const Context &context, std::string_view outcome, bool answered);

    Options m_options;
    Routing &m_routing;
    Forwarder &m_forwarder;
    ChargeService &m_charges;
    BurnRecorder &m_burn;
    Metrics &m_metrics;
    std::atomic<bool> m_closed{false};
    std::atomic<std::uint32_t> m_inProgress{0};
};

} // namespace Carobflow
