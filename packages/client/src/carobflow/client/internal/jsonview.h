#pragma once

#include "carobflow/client/internal/texttable.h"

#include <span>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace Carobflow::JsonView
{

// Each function formats a JSON value as a table cell. A null value gives an empty text.

std::string plain(const boost::json::value &value);
std::string percent(const boost::json::value &value);
/// Seconds since the Unix epoch as UTC time; 0 gives an empty text.
std::string unixTime(const boost::json::value &value);

/// A column of a table of JSON objects.
struct Column {
    std::string_view title;
    std::string_view key;
    std::string (*format)(const boost::json::value &) = plain;
};

/// The member of an object; null when there is none.
const boost::json::value &member(const boost::json::value &object, std::string_view key);

/// The elements of a member that is an array; none when there is no such member.
std::span<const boost::json::value> elements(const boost::json::value &object, std::string_view key);

/// The cells of one object.
std::vector<std::string> cells(const boost::json::value &object, std::span<const Column> columns);

/// A table of the elements of a member.
TextTable table(const boost::json::value &object, std::string_view key, std::span<const Column> columns);

std::vector<std::string> titles(std::span<const Column> columns);

} // namespace Carobflow::JsonView
