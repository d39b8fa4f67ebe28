#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// A line of CSV text without its line end.
struct CsvLine {
    /// Counts from 1.
    std::size_t number = 0;
    /// Position of the line in the text, in bytes.
    std::size_t offset = 0;
    std::string_view text;
};

/// A field of a CSV line.
struct CsvField {
    /// Content without quotes.
    std::string value;
    /// Position and length in the line in bytes, quotes included.
    std::size_t offset = 0;
    std::size_t length = 0;
};

/// A quoting error in a field.
struct CsvQuoteFault {
    std::size_t offset = 0;
    std::string message;
};

/// The fields of a line up to the first fault.
struct CsvFields {
    std::vector<CsvField> fields;
    std::optional<CsvQuoteFault> fault;
};

/// The lines of a text, without the byte order mark and the CR LF line ends that spreadsheet programs export.
std::vector<CsvLine> csvLines(std::string_view text);

/// Splits a line into fields that are separated by commas and may be quoted. The line must not contain NUL bytes.
CsvFields csvFields(std::string_view line);

/// The column of a byte position: the number of code points before it plus 1.
std::size_t csvColumn(std::string_view line, std::size_t offset);

} // namespace Carobflow
