#include "carobflow/bench/slopescommand.h"

#include "carobflow/bench/internal/slopes.h"

#include <array>
#include <string_view>

namespace Carobflow::Bench
{

namespace
{

constexpr std::uint32_t FewEntries = 3;
/// Two entries for each data centre at the target size.
constexpr std::uint32_t ManyEntries = 14;

struct Measurement {
    std::string_view name;
    void (*measure)(Report &report, const MeasurementOptions &options);
};

void measureAllAgentCounts(Report &report, const MeasurementOptions &options)
{
    for (const std::uint32_t agents : {11U, 50U, 100U, 200U}) {
        measureAgents(report, options, agents, FewEntries);
    }
    measureAgents(report, options, 11, ManyEntries);
}

constexpr std::array Measurements{
    Measurement{"sheets", measureSheetSizes},
    Measurement{"commits", measureGroupCommits},
    Measurement{"jobs", measureWaitingJobs},
    Measurement{"agents", measureAllAgentCounts},
};

} // namespace

int runSlopes(const MeasurementOptions &options)
{
    Report report("slopes: growth of costs with agents, jobs, sheet lines and submissions");
    for (const Measurement &measurement : Measurements) {
        if (options.part.empty() || options.part == measurement.name) {
            measurement.measure(report, options);
        }
    }
    report.print(options.json);
    return 0;
}

} // namespace Carobflow::Bench
