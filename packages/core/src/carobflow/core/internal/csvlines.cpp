#include "carobflow/core/internal/csvlines.h"

#include <algorithm>

// The reader thread of the library is not needed: lines are split in memory.
#define CSV_IO_NO_THREAD
#include <libfccp/csv.h>

namespace Carobflow
{

namespace
{

// CSVReader of the library requires the same number of columns in all lines and reports no positions within a line, so
// its quoting policy is applied to single lines here.
using Quoting = io::double_quote_escape<',', '"'>;

constexpr std::string_view OpenQuote = "the quoted field has no closing quote; add \" at its end";
constexpr std::string_view StrayQuote = "a field that is not quoted contains a quote; remove it, or put the whole "
                                        "field in quotes and double the quotes inside";

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

} // namespace

std::vector<CsvLine> csvLines(std::string_view text)
{
    std::vector<CsvLine> lines;
    std::size_t begin = text.starts_with(ByteOrderMark) ? ByteOrderMark.size() : 0;
    while (begin < text.size()) {
        const std::size_t newline = std::min(text.find('\n', begin), text.size());
        std::string_view line = text.substr(begin, newline - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        lines.push_back({.number = lines.size() + 1, .offset = begin, .text = line});
        begin = newline + 1;
    }
    return lines;
}

CsvFields csvFields(std::string_view line)
{
    CsvFields result;
    // The policy works in place on a NUL-terminated string.
    std::string buffer(line);
    char *const start = buffer.data();
    char *begin = start;
    while (true) {
        const auto offset = static_cast<std::size_t>(begin - start);
        char *end = nullptr;
        try {
            end = start + (Quoting::find_next_column_end(begin) - start);
        } catch (const io::error::escaped_string_not_closed &) {
            result.fault = {.offset = offset, .message = std::string(*begin == '"' ? OpenQuote : StrayQuote)};
            return result;
        }
        const std::string_view raw(begin, end);
        const bool quoted = raw.size() >= 2 && raw.starts_with('"') && raw.ends_with('"');
        if (!quoted && raw.find('"') != std::string_view::npos) {
            result.fault = {.offset = offset, .message = std::string(StrayQuote)};
            return result;
        }
        const bool last = *end == '\0';
        const std::size_t length = raw.size();
        char *const next = end + 1;
        Quoting::unescape(begin, end);
        result.fields.push_back({.value = std::string(begin, end), .offset = offset, .length = length});
        if (last) {
            return result;
        }
        begin = next;
    }
}

std::size_t csvColumn(std::string_view line, std::size_t offset)
{
    const auto before = line.substr(0, offset);
    const auto isFirstByte = [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; };
    return static_cast<std::size_t>(std::ranges::count_if(before, isFirstByte)) + 1;
}

} // namespace Carobflow
