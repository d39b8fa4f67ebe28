#include "carobflow/client/internal/jsonview.h"

#include <cmath>
#include <ctime>
#include <iomanip>
#include <sstream>

#include <boost/json/serialize.hpp>

namespace Carobflow::JsonView
{

std::string plain(const boost::json::value &value)
{
    if (value.is_null()) {
        return {};
    }
    if (const auto *text = value.if_string()) {
        return std::string(*text);
    }
    if (const auto *flag = value.if_bool()) {
        return *flag ? "yes" : "no";
    }
    if (const auto *number = value.if_double()) {
        constexpr int digits = 6;
        std::ostringstream out;
        out << std::setprecision(digits) << *number;
        return out.str();
    }
    return boost::json::serialize(value);
}

std::string percent(const boost::json::value &value)
{
    constexpr double hundred = 100;
    return value.is_number() ? std::to_string(std::lround(value.to_number<double>() * hundred)) + "%" : plain(value);
}

std::string unixTime(const boost::json::value &value)
{
    const auto *seconds = value.if_int64();
    if (seconds == nullptr) {
        return plain(value);
    }
    if (*seconds == 0) {
        return {};
    }
    const std::time_t time = *seconds;
    std::tm fields{};
    if (gmtime_r(&time, &fields) == nullptr) {
        return plain(value);
    }
    std::ostringstream out;
    out << std::put_time(&fields, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

const boost::json::value &member(const boost::json::value &object, std::string_view key)
{
    static const boost::json::value Null;
    const auto *members = object.if_object();
    const auto *found = members == nullptr ? nullptr : members->if_contains(key);
    return found == nullptr ? Null : *found;
}

std::span<const boost::json::value> elements(const boost::json::value &object, std::string_view key)
{
    const auto *array = member(object, key).if_array();
    return array == nullptr ? std::span<const boost::json::value>() : std::span(array->data(), array->size());
}

std::vector<std::string> cells(const boost::json::value &object, std::span<const Column> columns)
{
    std::vector<std::string> result;
    result.reserve(columns.size());
    for (const Column &column : columns) {
        result.push_back(column.format(member(object, column.key)));
    }
    return result;
}

TextTable table(const boost::json::value &object, std::string_view key, std::span<const Column> columns)
{
    TextTable result(titles(columns));
    for (const boost::json::value &element : elements(object, key)) {
        result.addRow(cells(element, columns));
    }
    return result;
}

std::vector<std::string> titles(std::span<const Column> columns)
{
    std::vector<std::string> result;
    result.reserve(columns.size());
    for (const Column &column : columns) {
        result.emplace_back(column.title);
    }
    return result;
}

} // namespace Carobflow::JsonView
