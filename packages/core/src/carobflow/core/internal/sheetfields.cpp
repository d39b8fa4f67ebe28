#include "carobflow/core/internal/sheetfields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>
#include <utility>

#include <boost/locale/utf.hpp>

namespace Carobflow::SheetFields
{

namespace
{

using Utf8 = boost::locale::utf::utf_traits<char>;
using boost::locale::utf::code_point;

constexpr std::size_t MaxQuotedBytes = 40;
constexpr std::int64_t SecondsPerDay = 86400;
constexpr std::int64_t MinutesPerDay = 1440;
constexpr std::int64_t MinZoneMinutes = -720;
constexpr std::int64_t MaxZoneMinutes = 840;
constexpr std::int64_t MaxRelativeSeconds = 30 * SecondsPerDay;

Error invalid(std::string message)
{
    return {.kind = ErrorKind::InvalidArgument, .message = std::move(message)};
}

/// Quotes a field for a message and truncates a long one.
std::string quoted(std::string_view field)
{
    if (field.size() <= MaxQuotedBytes) {
        return "'" + std::string(field) + "'";
    }
    std::size_t end = MaxQuotedBytes;
    while (end > 0 && (static_cast<unsigned char>(field[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    return "'" + std::string(field.substr(0, end)) + "…'";
}

struct CodePointRange {
    code_point first;
    code_point last;
};

bool isIn(std::span<const CodePointRange> ranges, code_point point)
{
    return std::ranges::any_of(
        ranges, [point](const CodePointRange &range) { return range.first <= point && point <= range.last; });
}

constexpr auto Spaces = std::to_array<CodePointRange>({{0x20, 0x20},
                                                       {0xA0, 0xA0},
                                                       {0x1680, 0x1680},
                                                       {0x2000, 0x200A},
                                                       {0x2028, 0x2029},
                                                       {0x202F, 0x202F},
                                                       {0x205F, 0x205F},
                                                       {0x3000, 0x3000}});

// Control characters, and characters that are invisible or change the direction of the text: with these, different
// names could look the same.
constexpr auto Controls = std::to_array<CodePointRange>(
    {{0x00, 0x1F}, {0x7F, 0x9F}, {0xAD, 0xAD}, {0x200B, 0x200F}, {0x202A, 0x202E}, {0x2060, 0x206F}, {0xFEFF, 0xFEFF}});

std::optional<std::int64_t> parseDigits(std::string_view digits)
{
    std::int64_t value = 0;
    const auto *const end = digits.data() + digits.size();
    const auto [parsedTo, error] = std::from_chars(digits.data(), end, value);
    if (error != std::errc() || parsedTo != end) {
        return std::nullopt;
    }
    return value;
}

/// Parses HH:MM into minutes; hours and minutes have two digits each and minutes are below 60.
std::optional<std::int64_t> parseHoursMinutes(std::string_view field)
{
    const auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
    if (field.size() != 5 || field[2] != ':' || !isDigit(field[0]) || !isDigit(field[3])) {
        return std::nullopt;
    }
    const auto hours = parseDigits(field.substr(0, 2));
    const auto minutes = parseDigits(field.substr(3));
    if (!hours || !minutes || *minutes > 59) {
        return std::nullopt;
    }
    return *hours * 60 + *minutes;
}

} // namespace

std::optional<std::size_t> findInvalidUtf8(std::string_view text)
{
    const char *const begin = text.data();
    const char *const end = begin + text.size();
    for (const char *at = begin; at != end;) {
        const char *const character = at;
        const code_point point = Utf8::decode(at, end);
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete || point == 0) {
            return static_cast<std::size_t>(character - begin);
        }
    }
    return std::nullopt;
}

Result<std::string> name(std::string_view field)
{
    if (field.empty()) {
        return invalid("the name is empty; write a name");
    }
    if (field.size() > MaxNameBytes) {
        return invalid("the name has " + std::to_string(field.size()) + " bytes; write at most "
                       + std::to_string(MaxNameBytes));
    }
    if (field == "." || field == "..") {
        return invalid("the name " + quoted(field)
                       + " is a path segment with a special meaning in URLs; write another name");
    }
    const char *at = field.data();
    const char *const end = at + field.size();
    while (at != end) {
        const code_point point = Utf8::decode(at, end);
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
            return invalid("the name is not valid UTF-8; export the sheet as UTF-8");
        }
        if (point == '/' || point == '\\') {
            return invalid("the name " + quoted(field) + " has a slash; write - instead");
        }
        if (isIn(Spaces, point)) {
            return invalid("the name " + quoted(field) + " has a space; write - instead, or remove it");
        }
        if (isIn(Controls, point)) {
            return invalid("the name has a control or invisible character; type the name again");
        }
    }
    return std::string(field);
}

Result<std::int64_t> integer(std::string_view field, std::int64_t minimum, std::int64_t maximum)
{
    const auto value = parseDigits(field);
    if (!value || *value < minimum || *value > maximum) {
        return invalid(quoted(field) + " is not accepted; write a whole number from " + std::to_string(minimum) + " to "
                       + std::to_string(maximum) + " in digits only");
    }
    return *value;
}

Result<double> ratio(std::string_view field)
{
    const bool onlyDigitsAndPoint = field.find_first_not_of("0123456789.") == std::string_view::npos;
    double value = 0;
    const auto *const end = field.data() + field.size();
    const auto [parsedTo, error] = std::from_chars(field.data(), end, value, std::chars_format::fixed);
    if (!onlyDigitsAndPoint || error != std::errc() || parsedTo != end || value <= 0 || value >= 1) {
        return invalid(quoted(field)
                       + " is not accepted; write a number above 0 and below 1 with a decimal point, such as 0.995");
    }
    return value;
}

Result<std::size_t> choice(std::string_view field, std::span<const std::string_view> choices)
{
    const auto found = std::ranges::find(choices, field);
    if (found != choices.end()) {
        return static_cast<std::size_t>(found - choices.begin());
    }
    std::string list;
    for (std::size_t index = 0; index < choices.size(); ++index) {
        if (index > 0) {
            list += index + 1 == choices.size() ? " or " : ", ";
        }
        list += choices[index];
    }
    return invalid(quoted(field) + " is not accepted; write " + list);
}

Result<std::int64_t> timeZone(std::string_view field)
{
    if (field.starts_with('+') || field.starts_with('-')) {
        if (const auto minutes = parseHoursMinutes(field.substr(1))) {
            const std::int64_t offset = field.front() == '-' ? -*minutes : *minutes;
            if (offset >= MinZoneMinutes && offset <= MaxZoneMinutes) {
                return offset * 60;
            }
        }
    }
    return invalid(quoted(field)
                   + " is not accepted; write the difference from UTC from -12:00 to +14:00, such as +07:00 or -05:00");
}

Result<Deadline> deadline(std::string_view field)
{
    if (field.starts_with('+')) {
        const auto seconds = parseDigits(field.substr(1));
        if (seconds && *seconds >= 1 && *seconds <= MaxRelativeSeconds) {
            return RelativeTime{*seconds};
        }
    } else if (const auto minutes = parseHoursMinutes(field); minutes && *minutes < MinutesPerDay) {
        return TimeOfDay{*minutes * 60};
    }
    return invalid(quoted(field) + " is not accepted; write a time from 00:00 to 23:59, or + and seconds from +1 to +"
                   + std::to_string(MaxRelativeSeconds));
}

std::int64_t deadlineUnixSeconds(const Deadline &deadline, std::int64_t referenceUnixSeconds, std::int64_t zoneSeconds)
{
    if (const auto *relative = std::get_if<RelativeTime>(&deadline)) {
        return referenceUnixSeconds + relative->seconds;
    }
    const std::int64_t local = referenceUnixSeconds + zoneSeconds;
    const std::int64_t sinceMidnight = ((local % SecondsPerDay) + SecondsPerDay) % SecondsPerDay;
    return referenceUnixSeconds - sinceMidnight + std::get<TimeOfDay>(deadline).seconds;
}

} // namespace Carobflow::SheetFields
