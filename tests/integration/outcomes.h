#pragma once

#include "carobflow/bench/cluster.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Carobflow::Bench
{

/// The outcome that a caller got: "answer", "not-run", "unknown", "key-reused", "cut" without a whole response, or
/// "refused" without a connection.
struct CallOutcome {
    std::string outcome;
    std::string body;
};

inline CallOutcome callOutcomeOf(const HttpOutcome &outcome)
{
    if (const auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        const std::string named(answer->header("Carobflow-Outcome"));
        return {.outcome = answer->status == 422 ? "key-reused" : named, .body = answer->body};
    }
    return {.outcome = std::holds_alternative<HttpNotSent>(outcome) ? "refused" : "cut", .body = {}};
}

/// Adds up the counts of one map in the logs of all upstreams, such as "bodies" or "idempotencyKeys".
inline std::map<std::string, std::uint64_t> executedBy(Cluster &cluster, const char *kind)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto &log : cluster.hostLogs()) {
        for (const auto &[key, count] : log.at(kind).as_object()) {
            counts[key] += count.to_number<std::uint64_t>();
        }
    }
    return counts;
}

inline std::uint64_t sumOfLogs(Cluster &cluster, const char *name)
{
    std::uint64_t sum = 0;
    for (const auto &log : cluster.hostLogs()) {
        sum += log.at(name).to_number<std::uint64_t>();
    }
    return sum;
}

/// Waits until no upstream works on a request and none has begun one for a second, so that late ones are in the log.
inline void waitUntilQuiet(Cluster &cluster)
{
    std::uint64_t executed = 0;
    TimePoint since;
    waitUntil("the upstreams are quiet", [&] {
        const TimePoint now = std::chrono::steady_clock::now();
        const std::uint64_t current = sumOfLogs(cluster, "executed");
        if (current != executed || sumOfLogs(cluster, "concurrent") > 0) {
            executed = current;
            since = now;
        }
        return now - since > Seconds(1);
    });
}

inline void setUpstreams(Cluster &cluster, const char *mode, std::uint32_t first = 0, int lateMilliseconds = 0)
{
    for (std::uint32_t index = first; index < cluster.deployment().hosts; ++index) {
        cluster.caller().postJson(
            cluster.hostControl(index), "/control", {{"upstream", mode}, {"lateMs", lateMilliseconds}});
    }
}

} // namespace Carobflow::Bench
