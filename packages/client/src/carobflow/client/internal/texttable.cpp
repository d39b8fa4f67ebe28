#include "carobflow/client/internal/texttable.h"

#include <algorithm>
#include <ostream>

#include <boost/locale/utf.hpp>

namespace Carobflow
{

namespace
{

/// Number of terminal columns the text takes: its code points except combining marks.
std::size_t displayWidth(std::string_view text)
{
    using Utf8 = boost::locale::utf::utf_traits<char>;
    constexpr boost::locale::utf::code_point firstMark = 0x300;
    constexpr boost::locale::utf::code_point lastMark = 0x36F;
    std::size_t width = 0;
    const char *at = text.data();
    const char *const end = at + text.size();
    while (at != end) {
        const auto point = Utf8::decode(at, end);
        width += point >= firstMark && point <= lastMark ? 0 : 1;
    }
    return width;
}

} // namespace

TextTable::TextTable(std::vector<std::string> titles)
{
    m_rows.push_back(std::move(titles));
}

void TextTable::addRow(std::vector<std::string> cells)
{
    for (std::string &cell : cells) {
        cell = cell.empty() ? "-" : printable(cell);
    }
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

void TextTable::print(std::ostream &out) const
{
    const std::size_t columns = m_rows.front().size();
    std::vector<std::size_t> widths(columns);
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < columns; ++column) {
            widths[column] = std::max(widths[column], displayWidth(row[column]));
        }
    }
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < columns; ++column) {
            out << row[column];
            if (column + 1 < columns) {
                out << std::string(widths[column] - displayWidth(row[column]) + 2, ' ');
            }
        }
        out << '\n';
    }
}

std::string printable(std::string_view text)
{
    std::string result(text);
    std::ranges::replace_if(
        result, [](char byte) { return static_cast<unsigned char>(byte) < 0x20U || byte == '\x7F'; }, '?');
    return result;
}

} // namespace Carobflow
