#pragma once

#include "carobflow/core/burnreport.h"

#include <cstdint>
#include <span>
#include <string>

namespace Carobflow
{

/// A self-contained HTML page with plots of the burn per objective and per service over each window. The page loads
/// nothing and has no scripts.
std::string burnPage(std::span<const BurnRow> rows, const std::string &generatedAt);

/// Rows of each objective over each window: counts are added, and the burn rate is the bad requests of all its services
/// relative to the sum of their error budgets.
std::vector<BurnRow> burnPerObjective(std::span<const BurnRow> rows);

} // namespace Carobflow
