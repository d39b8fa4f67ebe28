#pragma once

#include "carobflow/core/burnreport.h"

#include <cstdint>
#include <span>
#include <string>

namespace Carobflow
{

/// Returns an HTML page that plots the burn rate per objective and per service over each window. The page is
/// self-contained: it loads no resources and has no scripts.
std::string burnPage(std::span<const BurnRow> rows, const std::string &generatedAt);

/// Aggregates the rows of all services by objective and window. Counts are added; the burn rate is the number of bad
/// requests of all services relative to the sum of their error budgets.
std::vector<BurnRow> burnPerObjective(std::span<const BurnRow> rows);

} // namespace Carobflow
