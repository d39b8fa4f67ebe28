#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Carobflow
{

/// Limits the retries of each service to a share of its requests, so that retries cannot amplify an overload. Safe to
/// call from several threads.
class RetryBudget
{
public:
    struct Options {
        /// Retries earned by each first attempt.
        double ratio = 0.2;
        /// Initial budget, and the largest number of retries that can accumulate.
        double burst = 10;
    };

    explicit RetryBudget(Options options);

    /// Counts a first attempt.
    void onRequest(std::string_view service);

    /// Takes one retry from the budget; false when it is used up.
    bool tryTake(std::string_view service);

private:
    Options m_options;
    std::mutex m_mutex;
    std::unordered_map<std::string, double> m_tokens;
};

} // namespace Carobflow
