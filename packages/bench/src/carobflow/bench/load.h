#pragma once

#include "carobflow/bench/httpcaller.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Carobflow::Bench
{

/// Outcomes and latencies of the requests of one load run.
struct LoadSummary {
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Requests without a complete HTTP response: those that were never sent, for example because the connection was
    /// refused, and those that were sent.
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    /// Answers that do not contain the whole body of their own request.
    std::uint64_t wrong = 0;
    double seconds = 0;
    std::vector<double> answeredMilliseconds;

    [[nodiscard]] std::uint64_t total() const;
    /// A quantile of the latency of answered requests, in milliseconds; `share` is between 0 and 1. 0 without answers.
    [[nodiscard]] double quantile(double share) const;
    [[nodiscard]] double answeredPerSecond() const;
};

/// Open-loop load generator: sends requests with exponential gaps at a given mean rate, independent of the answers, so
/// that slow answers do not reduce the offered load.
class Load
{
public:
    struct Options {
        double requestsPerSecond = 100;
        Milliseconds duration{5000};
        Milliseconds timeout{2000};
        std::uint64_t seed = 1;
        /// Name of the service that the requests are sent to.
        std::string service;
        /// True sends charges, each with a new idempotency key.
        bool charges = false;
        /// One-way network latency to the client, added before each request and after each answer.
        double clientMilliseconds = 0;
        /// Called with the body and the outcome of each request; calls are serialised.
        std::function<void(const std::string &, const HttpOutcome &)> observer = {};
    };

    /// Sends to the entries in turn and checks that each answer contains the body of its own request.
    static LoadSummary run(HttpCaller &caller, const std::vector<HttpEndpoint> &entries, const Options &options);
};

} // namespace Carobflow::Bench
