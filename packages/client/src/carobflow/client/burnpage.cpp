#include "carobflow/client/burnpage.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>
#include <string_view>
#include <utility>

namespace Carobflow
{

namespace
{

constexpr std::string_view PageStyle = R"css(
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 60em; padding: 0 1em; color: #222; }
h1 { font-size: 1.5em; } h2 { font-size: 1.2em; margin-top: 2em; }
.plots { display: flex; flex-wrap: wrap; gap: 1.5em; }
figure { margin: 0; } figcaption { font-weight: bold; }
svg text { font: 11px sans-serif; fill: #222; }
.within { fill: #2b7a4b; } .over { fill: #b3261e; }
.limit { stroke: #222; stroke-dasharray: 4 3; } .axis { stroke: #888; }
table { border-collapse: collapse; } th, td { padding: .2em .8em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
)css";

constexpr std::int64_t MinutesPerHour = 60;
constexpr std::int64_t MinutesPerDay = 1440;

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string number(double value)
{
    constexpr int digits = 3;
    std::ostringstream out;
    out << std::setprecision(digits) << value;
    return out.str();
}

std::string windowName(std::int64_t minutes)
{
    if (minutes % MinutesPerDay == 0) {
        return std::to_string(minutes / MinutesPerDay) + " d";
    }
    if (minutes % MinutesPerHour == 0) {
        return std::to_string(minutes / MinutesPerHour) + " h";
    }
    return std::to_string(minutes) + " min";
}

/// Writes one plot: a bar for each window, and a line at burn rate 1, which exactly exhausts the error budget.
void plot(std::ostream &out, const std::string &title, std::span<const BurnRow> rows)
{
    constexpr double height = 150;
    constexpr double top = 18;
    constexpr double left = 34;
    constexpr double barWidth = 38;
    constexpr double step = 54;
    double highest = 2;
    for (const BurnRow &row : rows) {
        highest = std::max(highest, row.burnRate);
    }
    const auto yOf = [&](double burnRate) { return top + height * (1 - burnRate / highest); };
    const double width = left + step * static_cast<double>(rows.size());

    out << "<figure><figcaption>" << escaped(title) << "</figcaption>\n"
        << "<svg role=\"img\" aria-label=\"burn rate of " << escaped(title) << " by window\" width=\"" << width
        << "\" height=\"" << top + height + 20 << "\">\n";
    double x = left;
    for (const BurnRow &row : rows) {
        const double y = yOf(row.burnRate);
        const double middle = x + barWidth / 2;
        out << "<rect class=\"" << (row.burnRate > 1 ? "over" : "within") << "\" x=\"" << x << "\" y=\"" << y
            << "\" width=\"" << barWidth << "\" height=\"" << top + height - y << "\"><title>" << row.bad << " of "
            << row.total << " requests bad</title></rect>\n"
            << "<text text-anchor=\"middle\" x=\"" << middle << "\" y=\"" << y - 4 << "\">" << number(row.burnRate)
            << "</text>\n"
            << "<text text-anchor=\"middle\" x=\"" << middle << "\" y=\"" << top + height + 14 << "\">"
            << windowName(row.windowMinutes) << "</text>\n";
        x += step;
    }
    for (const auto &[value, style] : {std::pair(0.0, "axis"), std::pair(1.0, "limit")}) {
        out << "<line class=\"" << style << "\" x1=\"" << left - 4 << "\" x2=\"" << width << "\" y1=\"" << yOf(value)
            << "\" y2=\"" << yOf(value) << "\"/>\n"
            << "<text text-anchor=\"end\" x=\"" << left - 8 << "\" y=\"" << yOf(value) + 4 << "\">" << value
            << "</text>\n";
    }
    out << "</svg></figure>\n";
}

/// Writes one plot for each group of rows with the same title, in the order in which the titles first occur.
void plots(std::ostream &out, std::span<const BurnRow> rows, std::string (*titleOf)(const BurnRow &))
{
    std::vector<std::pair<std::string, std::vector<BurnRow>>> groups;
    for (const BurnRow &row : rows) {
        const std::string title = titleOf(row);
        auto group = std::ranges::find(groups, title, [](const auto &candidate) { return candidate.first; });
        if (group == groups.end()) {
            group = groups.insert(group, {title, {}});
        }
        group->second.push_back(row);
    }
    out << "<div class=\"plots\">\n";
    for (const auto &[title, group] : groups) {
        plot(out, title, group);
    }
    out << "</div>\n";
}

void table(std::ostream &out, std::span<const BurnRow> rows)
{
    out << "<table><tr><th>service</th><th>objective</th><th>target</th><th>window</th><th>requests</th><th>bad</th>"
           "<th>burn rate</th></tr>\n";
    for (const BurnRow &row : rows) {
        out << "<tr><td>" << escaped(row.service) << "</td><td>" << escaped(row.objective) << "</td><td>"
            << row.targetRatio << "</td><td>" << windowName(row.windowMinutes) << "</td><td>" << row.total
            << "</td><td>" << row.bad << "</td><td>" << number(row.burnRate) << "</td></tr>\n";
    }
    out << "</table>\n";
}

} // namespace

std::vector<BurnRow> burnPerObjective(std::span<const BurnRow> rows)
{
    struct Sum {
        std::uint64_t total = 0;
        std::uint64_t bad = 0;
        double budget = 0;
    };
    std::map<std::pair<std::string, std::int64_t>, Sum> sums;
    for (const BurnRow &row : rows) {
        Sum &sum = sums[{row.objective, row.windowMinutes}];
        sum.total += row.total;
        sum.bad += row.bad;
        sum.budget += static_cast<double>(row.total) * (1 - row.targetRatio);
    }
    std::vector<BurnRow> result;
    result.reserve(sums.size());
    for (const auto &[key, sum] : sums) {
        const double budget = sum.budget;
        result.push_back({.service = {},
                          .objective = key.first,
                          .targetRatio = sum.total == 0 ? 0 : 1 - budget / static_cast<double>(sum.total),
                          .windowMinutes = key.second,
                          .total = sum.total,
                          .bad = sum.bad,
                          .burnRate = budget > 0 ? static_cast<double>(sum.bad) / budget : 0});
    }
    return result;
}

std::string burnPage(std::span<const BurnRow> rows, const std::string &generatedAt)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>carobflow: burn "
           "report</title><style>"
        << PageStyle << "</style></head><body>\n<h1>Burn of the error budgets</h1>\n<p>Generated at "
        << escaped(generatedAt)
        << ". A burn rate of 1 (dashed line) uses up the error budget of a window exactly.</p>\n"
        << "<h2>By objective</h2>\n";
    plots(out, burnPerObjective(rows), [](const BurnRow &row) { return row.objective; });
    out << "<h2>By service</h2>\n";
    plots(out, rows, [](const BurnRow &row) { return row.service + " (" + row.objective + ")"; });
    out << "<h2>Figures</h2>\n";
    table(out, rows);
    out << "</body></html>\n";
    return out.str();
}

} // namespace Carobflow
