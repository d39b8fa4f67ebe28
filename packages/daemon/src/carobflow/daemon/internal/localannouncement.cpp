#include "carobflow/daemon/internal/localannouncement.h"

#include "carobflow/daemon/settings.h"

#include <boost/json/parse.hpp>

namespace Carobflow
{
namespace
{

constexpr std::int64_t MaxCount = 100000;

bool readCount(const boost::json::object &object, std::string_view key, std::uint32_t &count)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 1 || value->as_int64() > MaxCount) {
        return false;
    }
    count = static_cast<std::uint32_t>(value->as_int64());
    return true;
}

std::string readText(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

} // namespace

Result<LocalAnnouncement> parseLocalAnnouncement(std::string_view body, bool leaving)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(body, error);
    if (error || !value.is_object()) {
        return Error{ErrorKind::InvalidArgument,
                     "the body is not a JSON object; write {\"service\",\"address\",\"slots\",\"connections\"}"};
    }
    const auto &object = value.as_object();
    LocalAnnouncement announcement{.service = readText(object, "service"), .address = {}};
    if (announcement.service.empty()) {
        return Error{ErrorKind::InvalidArgument, "field 'service': expected the service's name from the sheet"};
    }
    if (leaving) {
        return announcement;
    }
    const auto endpoint = parseEndpoint(readText(object, "address"));
    if (!isOk(endpoint)) {
        return Error{ErrorKind::InvalidArgument, "field 'address': " + errorOf(endpoint).message};
    }
    announcement.address = {.host = valueOf(endpoint).address, .port = valueOf(endpoint).port};
    if (!readCount(object, "slots", announcement.slots)
        || !readCount(object, "connections", announcement.connections)) {
        return Error{ErrorKind::InvalidArgument,
                     "fields 'slots' and 'connections': expected whole numbers from 1 to 100000"};
    }
    return announcement;
}

} // namespace Carobflow
