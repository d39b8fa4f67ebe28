#include "carobflow/control/conversion.h"

#include <limits>

#include <catch2/catch.hpp>

namespace Carobflow
{

using Scheduling::JobPhase;
using Scheduling::RunEnd;
using Scheduling::StartOutcome;
using Scheduling::StopOutcome;

// Guards against a process that ends because a peer of another version uses a number that it does not know.
TEST_CASE("Unknown numbers of a peer count as no answer", "[conversion][odd]")
{
    for (const std::uint32_t number : {100U, std::numeric_limits<std::uint32_t>::max()}) {
        CAPTURE(number);
        CHECK(startOutcomeOf(number) == StartOutcome::Unanswered);
        CHECK(stopOutcomeOf(number) == StopOutcome::Unanswered);
        CHECK_FALSE(phaseOf(number));

        carobflow::control::ReportRequest report;
        report.add_ended()->set_end(number);
        const Scheduling::HostReport decoded = fromMessage(report);
        REQUIRE(decoded.ended.size() == 1);
        CHECK(decoded.ended[0].end == RunEnd::Unknown);
        CHECK(endName(decoded.ended[0].end) == "unknown");
    }
    SECTION("And known ones keep their meaning")
    {
        CHECK(startOutcomeOf(static_cast<std::uint32_t>(StartOutcome::NoRoom)) == StartOutcome::NoRoom);
        CHECK(stopOutcomeOf(static_cast<std::uint32_t>(StopOutcome::Absent)) == StopOutcome::Absent);
        CHECK(phaseOf(static_cast<std::uint32_t>(JobPhase::Cancelled)) == JobPhase::Cancelled);
        CHECK(phaseOf(0) == JobPhase::Queued);
    }
}

} // namespace Carobflow
