#pragma once

#include "carobflow/bench/httpcaller.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Carobflow::Bench
{

/// How requests of a load ended.
struct LoadSummary {
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// No HTTP response at all: a connection that was refused, or cut before a response.
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    /// Answers that belong to another request, or that are not whole.
    std::uint64_t wrong = 0;
    double seconds = 0;
    std::vector<double> answeredMilliseconds;

    [[nodiscard]] std::uint64_t total() const;
    /// The latency below which the given share of answers came, in milliseconds; 0 without answers.
    [[nodiscard]] double quantile(double share) const;
    [[nodiscard]] double answeredPerSecond() const;
};

/// Sends requests at a fixed rate, whatever the answers (an open loop), so that slow answers do not hide load.
class Load
{
public:
    struct Options {
        double requestsPerSecond = 100;
        Milliseconds duration{5000};
        Milliseconds timeout{2000};
        std::uint64_t seed = 1;
        /// The target of request number n; defaults to a path below the service.
        std::string service;
        /// True sends charges with a new key each.
        bool charges = false;
        /// One-way distance to the client, added before each request and after each answer.
        double clientMilliseconds = 0;
        /// Called with the body and the outcome of each request, one call at a time.
        std::function<void(const std::string &, const HttpOutcome &)> observer = {};
    };

    /// Sends to the entries in turn and checks that each answer holds the body of its own request.
    static LoadSummary run(HttpCaller &caller, const std::vector<HttpEndpoint> &entries, const Options &options);
};

} // namespace Carobflow::Bench
