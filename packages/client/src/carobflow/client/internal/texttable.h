#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// A table that is printed with aligned columns.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Adds a row with one cell for each title. Control characters are replaced, because they could change what the
    /// terminal shows.
    void addRow(std::vector<std::string> cells);

    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// The text with control characters replaced by '?'.
std::string printable(std::string_view text);

} // namespace Carobflow
