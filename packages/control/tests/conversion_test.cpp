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

// Guards against a leader that takes the first of several lists of ended runs for all of them.
TEST_CASE("A report says whether further ended runs follow", "[conversion][pages]")
{
    const bool moreEnds = GENERATE(true, false);
    CHECK(fromMessage(toMessage(Scheduling::HostReport{.moreEnds = moreEnds})).moreEnds == moreEnds);
}

// Guards against a leader that counts the leases of a restarted upstream too short.
TEST_CASE("A report says how long leases of former incarnations may last", "[conversion][replaced]")
{
    const Scheduling::HostReport report{.formerLeaseLeft = Milliseconds(9876)};
    CHECK(fromMessage(toMessage(report)).formerLeaseLeft == report.formerLeaseLeft);
}

// Guards against settings of a removed queue that a row of another writer makes unusable.
TEST_CASE("The settings of a job's queue are stored with its progress", "[conversion]")
{
    Scheduling::JobProgress progress;
    progress.queue = {
        .service = "desk", .priority = 2, .maxAttempts = 3, .stretch = 1.5, .latencyAllowance = Milliseconds(250)};
    carobflow::control::JobProgress message = toMessage(progress);

    SECTION("And read again")
    {
        const auto read = fromMessage(message, "job").queue;
        REQUIRE(read);
        CHECK(read->service == "desk");
        CHECK(read->priority == 2);
        CHECK(read->maxAttempts == 3);
        CHECK(read->stretch == 1.5);
        CHECK(read->latencyAllowance == Milliseconds(250));
    }
    SECTION("But not when they are out of range")
    {
        message.mutable_queue()->set_stretch(std::numeric_limits<double>::quiet_NaN());
        message.mutable_queue()->set_max_attempts(0);
        message.mutable_queue()->set_latency_allowance_ms(-1);
        const auto read = fromMessage(message, "job").queue;
        REQUIRE(read);
        CHECK(read->stretch == 1);
        CHECK(read->maxAttempts == 1);
        CHECK(read->latencyAllowance == Milliseconds(0));
    }
    SECTION("And rows of earlier builds have none")
    {
        message.clear_queue();
        CHECK_FALSE(fromMessage(message, "job").queue);
    }
}

} // namespace Carobflow
