#include "carobflow/core/internal/chargerow.h"

#include <array>
#include <iterator>
#include <utility>

#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>

namespace Carobflow
{
namespace
{

namespace Json = boost::json;

constexpr std::array<std::pair<ChargeRow::State, std::string_view>, 3> StateNames{{
    {ChargeRow::State::Pending, "pending"},
    {ChargeRow::State::Done, "done"},
    {ChargeRow::State::Released, "released"},
}};

/// JSON strings are UTF-8 and bodies are arbitrary bytes: a string that the parser would reject is encoded as
/// {"hex": "..."}.
Json::value encodeBytes(const std::string &bytes)
{
    boost::system::error_code error;
    Json::parse(Json::serialize(Json::string(bytes)), error);
    if (!error) {
        return Json::string(bytes);
    }
    std::string hex;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(hex));
    return Json::object{{"hex", hex}};
}

std::string decodeBytes(const Json::value &value)
{
    if (value.is_object()) {
        std::string bytes;
        const Json::string &hex = value.at("hex").as_string();
        boost::algorithm::unhex(hex.begin(), hex.end(), std::back_inserter(bytes));
        return bytes;
    }
    return Json::value_to<std::string>(value);
}

} // namespace

std::string encodeChargeRow(const ChargeRow &row)
{
    Json::object object;
    for (const auto &[state, name] : StateNames) {
        if (state == row.state) {
            object["state"] = name;
        }
    }
    object["token"] = row.token;
    object["digest"] = row.digest;
    if (row.state == ChargeRow::State::Done) {
        Json::array headers;
        for (const auto &[name, value] : row.answer.headers) {
            headers.push_back(Json::array{encodeBytes(name), encodeBytes(value)});
        }
        object["status"] = row.answer.status;
        object["headers"] = std::move(headers);
        object["body"] = encodeBytes(row.answer.body);
    }
    return Json::serialize(object);
}

std::optional<ChargeRow> decodeChargeRow(std::string_view value)
{
    try {
        const Json::value json = Json::parse(Json::string_view(value.data(), value.size()));
        ChargeRow row;
        const auto stateName = Json::value_to<std::string>(json.at("state"));
        bool known = false;
        for (const auto &[state, name] : StateNames) {
            if (name == stateName) {
                row.state = state;
                known = true;
            }
        }
        if (!known) {
            return std::nullopt;
        }
        row.token = Json::value_to<std::string>(json.at("token"));
        row.digest = Json::value_to<std::string>(json.at("digest"));
        if (row.state == ChargeRow::State::Done) {
            row.answer.status = Json::value_to<std::uint32_t>(json.at("status"));
            for (const Json::value &header : json.at("headers").as_array()) {
                row.answer.headers.emplace_back(decodeBytes(header.at(0)), decodeBytes(header.at(1)));
            }
            row.answer.body = decodeBytes(json.at("body"));
        }
        return row;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Carobflow
