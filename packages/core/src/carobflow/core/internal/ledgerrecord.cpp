#include "carobflow/core/internal/ledgerrecord.h"

#include <optional>
#include <type_traits>
#include <utility>

#include <boost/json.hpp>

namespace Carobflow
{

namespace
{

boost::json::value encodeRecord(const LedgerRecord &record)
{
    return std::visit(
        [](const auto &content) {
            boost::json::value encoded = boost::json::value_from(content);
            encoded.as_object()["type"] = std::remove_cvref_t<decltype(content)>::Type;
            return encoded;
        },
        record);
}

template<typename Record>
bool decodeAs(std::string_view type, const boost::json::object &object, std::optional<LedgerRecord> &decoded)
{
    if (type != Record::Type) {
        return false;
    }
    boost::json::object content = object;
    content.erase("type");
    decoded = boost::json::value_to<Record>(boost::json::value(std::move(content)));
    return true;
}

template<std::size_t... Index>
std::optional<LedgerRecord> decodeRecord(const boost::json::object &object, std::index_sequence<Index...> /*indices*/)
{
    const std::string_view type = object.at("type").as_string();
    std::optional<LedgerRecord> decoded;
    (decodeAs<std::variant_alternative_t<Index, LedgerRecord>>(type, object, decoded) || ...);
    return decoded;
}

} // namespace

std::string_view jobOf(const LedgerRecord &record)
{
    return std::visit(
        [](const auto &content) -> std::string_view {
            if constexpr (requires { content.spec; }) {
                return content.spec.id;
            } else if constexpr (requires { content.job; }) {
                return content.job;
            } else {
                return {};
            }
        },
        record);
}

std::string encodeLedgerRow(const std::vector<LedgerRecord> &records)
{
    boost::json::array encoded;
    for (const LedgerRecord &record : records) {
        encoded.push_back(encodeRecord(record));
    }
    return boost::json::serialize(encoded);
}

Result<std::vector<LedgerRecord>> decodeLedgerRow(std::string_view text)
{
    // Boost.JSON reports malformed content by exceptions; they are converted to errors here.
    try {
        std::vector<LedgerRecord> records;
        const boost::json::value parsed = boost::json::parse(text);
        for (const boost::json::value &value : parsed.as_array()) {
            std::optional<LedgerRecord> record = decodeRecord(
                value.as_object(), std::make_index_sequence<std::variant_size_v<LedgerRecord>>());
            if (!record) {
                return Error{ErrorKind::Internal, "unknown type of ledger record: run the version that wrote it"};
            }
            records.push_back(std::move(*record));
        }
        return records;
    } catch (const std::exception &exception) {
        return Error{ErrorKind::Internal,
                     std::string("unreadable ledger row: run the version that wrote it: ") + exception.what()};
    }
}

} // namespace Carobflow
