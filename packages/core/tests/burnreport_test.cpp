#include "carobflow/core/burnreport.h"

#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

constexpr std::int64_t Now = 30'000'000;

const std::vector<BurnTarget> Targets{{.service = "repair-desk", .objective = "latency", .targetRatio = 0.99},
                                      {.service = "menu-desk", .objective = "throughput", .targetRatio = 0.9}};

BurnRow rowOf(const std::vector<BurnRow> &rows, std::string_view service, std::int64_t windowMinutes)
{
    const auto row = std::ranges::find_if(rows, [&](const BurnRow &candidate) {
        return candidate.service == service && candidate.windowMinutes == windowMinutes;
    });
    REQUIRE(row != rows.end());
    return *row;
}

} // namespace

TEST_CASE("The burn rate is the share of bad requests relative to the error budget", "[burnreport]")
{
    const std::vector<BurnCount> counts{{.service = "repair-desk", .minute = Now, .total = 100, .bad = 1},
                                        {.service = "menu-desk", .minute = Now, .total = 100, .bad = 1}};
    const auto rows = computeBurn(counts, Targets, Now);

    REQUIRE(rows.size() == Targets.size() * burnWindows().size());
    CHECK(rowOf(rows, "repair-desk", 5).burnRate == Approx(1));
    CHECK(rowOf(rows, "repair-desk", 5).objective == "latency");
    CHECK(rowOf(rows, "menu-desk", 5).burnRate == Approx(0.1));
    CHECK(rowOf(rows, "menu-desk", 43200).targetRatio == 0.9);
}

// Each section guards against a count that is lost, counted twice or added to the wrong window.
TEST_CASE("Each window covers the minutes up to the last one", "[burnreport]")
{
    SECTION("a window includes its first minute and not the one before")
    {
        for (const std::int64_t window : burnWindows()) {
            const std::vector<BurnCount> counts{
                {.service = "repair-desk", .minute = Now - window + 1, .total = 10, .bad = 1},
                {.service = "repair-desk", .minute = Now - window, .total = 1000, .bad = 1000},
            };
            const auto row = rowOf(computeBurn(counts, Targets, Now), "repair-desk", window);
            CHECK(row.total == 10);
            CHECK(row.bad == 1);
        }
    }
    SECTION("minutes after the last one are ignored")
    {
        const std::vector<BurnCount> counts{{.service = "repair-desk", .minute = Now + 1, .total = 10, .bad = 1}};
        CHECK(rowOf(computeBurn(counts, Targets, Now), "repair-desk", 43200).total == 0);
    }
    SECTION("counts of several entries for the same minute are added up")
    {
        const std::vector<BurnCount> counts{{.service = "repair-desk", .minute = Now, .total = 30, .bad = 1},
                                            {.service = "repair-desk", .minute = Now, .total = 70, .bad = 1}};
        const auto row = rowOf(computeBurn(counts, Targets, Now), "repair-desk", 60);
        CHECK(row.total == 100);
        CHECK(row.burnRate == Approx(2));
    }
    SECTION("counts of a service without a target are ignored")
    {
        const std::vector<BurnCount> counts{{.service = "gone", .minute = Now, .total = 30, .bad = 30}};
        const auto rows = computeBurn(counts, Targets, Now);
        CHECK(std::ranges::all_of(rows, [](const BurnRow &row) { return row.total == 0; }));
    }
}

TEST_CASE("The burn rate is always a finite number", "[burnreport]")
{
    SECTION("without requests it is 0")
    {
        CHECK(rowOf(computeBurn({}, Targets, Now), "menu-desk", 5).burnRate == 0);
    }
    SECTION("a target ratio of 1 leaves no error budget")
    {
        const std::vector<BurnTarget> targets{{.service = "s", .objective = "latency", .targetRatio = 1}};
        const std::vector<BurnCount> counts{{.service = "s", .minute = Now, .total = 2, .bad = 1}};
        const auto row = rowOf(computeBurn(counts, targets, Now), "s", 5);
        CHECK(std::isfinite(row.burnRate));
        CHECK(row.burnRate > 1000);
    }
}
