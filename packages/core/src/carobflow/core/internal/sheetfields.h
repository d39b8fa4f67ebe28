#pragma once

#include "carobflow/core/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace Carobflow::SheetFields
{

// Each function parses one field of a sheet. An error's message says what is wrong and what to write instead.

/// Limits the length of names, which are part of row keys and URLs.
inline constexpr std::size_t MaxNameBytes = 128;

/// Position of the first byte that is not part of valid UTF-8 text or is NUL.
std::optional<std::size_t> findInvalidUtf8(std::string_view text);

/// A name of visible UTF-8 characters without spaces and slashes.
Result<std::string> name(std::string_view field);

/// A decimal integer from `minimum` to `maximum`.
Result<std::int64_t> integer(std::string_view field, std::int64_t minimum, std::int64_t maximum);

/// A decimal number above 0 and below 1.
Result<double> ratio(std::string_view field);

/// The index of the field's value among the choices.
Result<std::size_t> choice(std::string_view field, std::span<const std::string_view> choices);

/// A time zone as +HH:MM or -HH:MM, from -12:00 to +14:00, in seconds east of UTC.
Result<std::int64_t> timeZone(std::string_view field);

/// A time of the day.
struct TimeOfDay {
    std::int64_t seconds = 0;
};

/// A time relative to the reference time of the sheet.
struct RelativeTime {
    std::int64_t seconds = 0;
};

using Deadline = std::variant<TimeOfDay, RelativeTime>;

/// A deadline as HH:MM or +seconds.
Result<Deadline> deadline(std::string_view field);

/// The absolute time of a deadline. A time of the day is on the day of the reference time in the time zone.
std::int64_t deadlineUnixSeconds(const Deadline &deadline, std::int64_t referenceUnixSeconds, std::int64_t zoneSeconds);

} // namespace Carobflow::SheetFields
