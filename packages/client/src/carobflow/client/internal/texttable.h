#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// A plain-text table with aligned columns.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Adds a row with one cell for each title. Control characters are replaced because a terminal could interpret
    /// them.
    void addRow(std::vector<std::string> cells);

    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Returns the text with control characters replaced by '?'.
std::string printable(std::string_view text);

} // namespace Carobflow
