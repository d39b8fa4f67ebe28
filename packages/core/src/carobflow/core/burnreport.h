#pragma once

#include "carobflow/core/types.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Carobflow
{

/// Requests of one service in one minute.
struct BurnCount {
    std::string service;
    std::int64_t minute = 0;
    std::uint64_t total = 0;
    /// Requests without a complete answer within the service's deadline.
    std::uint64_t bad = 0;
};
BOOST_DESCRIBE_STRUCT(BurnCount, (), (service, minute, total, bad))

/// The burn rate of one service over one window. A rate of 1 uses up the error budget exactly.
struct BurnRow {
    std::string service;
    std::string objective;
    double targetRatio = 0;
    std::int64_t windowMinutes = 0;
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    double burnRate = 0;
};
BOOST_DESCRIBE_STRUCT(BurnRow, (), (service, objective, targetRatio, windowMinutes, total, bad, burnRate))

/// Target and objective of a service, from the sheet.
struct BurnTarget {
    std::string service;
    std::string objective;
    double targetRatio = 0;
};

/// Windows of the report in minutes: 5 minutes, 1 hour, 6 hours, 1 day, 30 days.
std::span<const std::int64_t> burnWindows();

/// Computes the burn rate of each service over each window that ends with the given minute. Counts of several entries
/// for the same minute are added up.
std::vector<BurnRow>
computeBurn(std::span<const BurnCount> counts, std::span<const BurnTarget> targets, std::int64_t lastMinute);

} // namespace Carobflow
