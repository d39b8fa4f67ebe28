#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace Carobflow::Bench
{

/// Rows of figures with the same columns, printed as a table or as JSON.
class Report
{
public:
    /// The title names what was measured. The machine's load average is recorded when the report is created and when it
    /// is printed, because other work on the machine affects the figures.
    explicit Report(std::string_view title);

    /// Adds a row. Its keys are the columns, in this order; all rows of a section must have the same keys.
    void add(std::string_view section, boost::json::object row);

    void print(bool asJson) const;

private:
    std::string m_title;
    double m_loadAtStart;
    boost::json::object m_sections;
};

/// The machine's load average of the last minute.
double loadAverage();

/// Rounds a figure to three decimals.
double rounded(double value);

} // namespace Carobflow::Bench
