#pragma once

#include "carobflow/bench/measurementoptions.h"
#include "carobflow/bench/report.h"

#include <cstdint>

namespace Carobflow::Bench
{

/// Measures network traffic, processor time and memory of entries, agents and the leader with this many agents and
/// entries, and the time until a sheet is in force in all of them.
void measureAgents(Report &report, const MeasurementOptions &options, std::uint32_t agents, std::uint32_t entries);

/// Measures snapshot size, submission latency, processor time and memory of a leader with 100, 1,000 and 10,000 waiting
/// jobs.
void measureWaitingJobs(Report &report, const MeasurementOptions &options);

/// Measures the time until sheets of 10, 100 and 1,000 lines are in force in all daemons.
void measureSheetSizes(Report &report, const MeasurementOptions &options);

/// Measures group commits per second at several rates of submissions.
void measureGroupCommits(Report &report, const MeasurementOptions &options);

} // namespace Carobflow::Bench
