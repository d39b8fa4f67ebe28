#include "carobflow/bench/report.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/json/serialize.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace json = boost::json;

std::string textOf(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

/// Formats doubles with up to 8 significant digits, which show the decimals that `rounded` leaves; JSON serialisation
/// writes doubles with an exponent.
std::string cellOf(const json::value &value)
{
    if (!value.is_double()) {
        return textOf(value);
    }
    std::ostringstream text;
    text << std::setprecision(8) << value.as_double();
    return text.str();
}

void printSection(std::string_view name, const json::array &rows)
{
    std::cout << "\n" << name << "\n";
    for (const auto &cell : rows.front().as_object()) {
        std::size_t width = cell.key().size();
        for (const auto &row : rows) {
            width = std::max(width, cellOf(row.at(cell.key())).size());
        }
        std::cout << (cell.key() == rows.front().as_object().begin()->key() ? "" : "  ")
                  << std::setw(static_cast<int>(width)) << std::string(cell.key());
    }
    std::cout << "\n";
    for (const auto &row : rows) {
        bool first = true;
        for (const auto &cell : row.as_object()) {
            std::size_t width = cell.key().size();
            for (const auto &other : rows) {
                width = std::max(width, cellOf(other.at(cell.key())).size());
            }
            std::cout << (first ? "" : "  ") << std::setw(static_cast<int>(width)) << cellOf(cell.value());
            first = false;
        }
        std::cout << "\n";
    }
}

} // namespace

Report::Report(std::string_view title)
    : m_title(title)
    , m_loadAtStart(loadAverage())
{
}

void Report::add(std::string_view section, json::object row)
{
    json::value &rows = m_sections[section];
    if (rows.is_null()) {
        rows = json::array();
    }
    rows.as_array().push_back(std::move(row));
}

void Report::print(bool asJson) const
{
    const double loadAtEnd = loadAverage();
    if (asJson) {
        json::object document{{"title", m_title}, {"loadAtStart", m_loadAtStart}, {"loadAtEnd", loadAtEnd}};
        for (const auto &section : m_sections) {
            document[section.key()] = section.value();
        }
        std::cout << json::serialize(document) << std::endl;
        return;
    }
    std::cout << m_title << " (load average " << m_loadAtStart << " at the start, " << loadAtEnd << " at the end)\n";
    for (const auto &section : m_sections) {
        printSection(section.key(), section.value().as_array());
    }
    std::cout << std::flush;
}

double loadAverage()
{
    double average = 0;
    return ::getloadavg(&average, 1) == 1 ? rounded(average) : 0;
}

double rounded(double value)
{
    return std::round(value * 1000) / 1000;
}

} // namespace Carobflow::Bench
