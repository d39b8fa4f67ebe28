#include "carobflow/core/burnreport.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>

namespace Carobflow
{

namespace
{

constexpr std::array<std::int64_t, 5> Windows{5, 60, 360, 1440, 43200};

// Keeps the rate finite for a target ratio of 1, because JSON cannot represent infinity.
constexpr double MinErrorBudget = 1e-9;

struct Sum {
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
};

using WindowSums = std::array<Sum, Windows.size()>;

double burnRate(const Sum &sum, double targetRatio)
{
    if (sum.total == 0) {
        return 0;
    }
    const double badShare = static_cast<double>(sum.bad) / static_cast<double>(sum.total);
    return badShare / std::max(1 - targetRatio, MinErrorBudget);
}

} // namespace

std::span<const std::int64_t> burnWindows()
{
    return Windows;
}

std::vector<BurnRow>
computeBurn(std::span<const BurnCount> counts, std::span<const BurnTarget> targets, std::int64_t lastMinute)
{
    std::unordered_map<std::string_view, WindowSums> sums;
    for (const BurnTarget &target : targets) {
        sums.try_emplace(target.service);
    }
    for (const BurnCount &count : counts) {
        const auto found = sums.find(count.service);
        if (found == sums.end() || count.minute > lastMinute) {
            continue;
        }
        for (std::size_t window = 0; window < Windows.size(); ++window) {
            if (count.minute > lastMinute - Windows[window]) {
                found->second[window].total += count.total;
                found->second[window].bad += count.bad;
            }
        }
    }

    std::vector<BurnRow> rows;
    rows.reserve(targets.size() * Windows.size());
    for (const BurnTarget &target : targets) {
        const WindowSums &windowSums = sums.at(target.service);
        for (std::size_t window = 0; window < Windows.size(); ++window) {
            const Sum &sum = windowSums[window];
            rows.push_back({.service = target.service,
                            .objective = target.objective,
                            .targetRatio = target.targetRatio,
                            .windowMinutes = Windows[window],
                            .total = sum.total,
                            .bad = sum.bad,
                            .burnRate = burnRate(sum, target.targetRatio)});
        }
    }
    return rows;
}

} // namespace Carobflow
