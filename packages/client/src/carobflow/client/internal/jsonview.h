#pragma once

#include "carobflow/client/internal/texttable.h"

#include <span>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace Carobflow::JsonView
{

// These functions format a JSON value as a table cell. A null value gives an empty string.

std::string plain(const boost::json::value &value);
std::string percent(const boost::json::value &value);
/// Formats seconds since the Unix epoch as UTC time; 0 gives an empty string.
std::string unixTime(const boost::json::value &value);

/// A column of a table whose rows are JSON objects.
struct Column {
    std::string_view title;
    std::string_view key;
    std::string (*format)(const boost::json::value &) = plain;
};

/// Returns a member of an object, or null when there is none.
const boost::json::value &member(const boost::json::value &object, std::string_view key);

/// Returns the elements of an array member; empty when there is no such array.
std::span<const boost::json::value> elements(const boost::json::value &object, std::string_view key);

/// Formats one object as the cells of a row.
std::vector<std::string> cells(const boost::json::value &object, std::span<const Column> columns);

/// Builds a table from the elements of an array member.
TextTable table(const boost::json::value &object, std::string_view key, std::span<const Column> columns);

std::vector<std::string> titles(std::span<const Column> columns);

} // namespace Carobflow::JsonView
