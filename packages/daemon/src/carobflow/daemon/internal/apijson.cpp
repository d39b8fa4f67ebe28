#include "carobflow/daemon/internal/apijson.h"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <carobflow.pb.h>

namespace Carobflow
{
namespace
{

namespace json = boost::json;

constexpr std::size_t MaxNameLength = 200;

/// Reads fields of a JSON object and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const json::object &object)
        : m_object(object)
    {
    }

    std::string text(std::string_view key, std::string_view fallback, bool required)
    {
        const auto *value = m_object.if_contains(key);
        if (value == nullptr && !required) {
            return std::string(fallback);
        }
        if (value == nullptr || !value->is_string() || value->as_string().empty()
            || value->as_string().size() > MaxNameLength) {
            fault(key, "a text of 1 to 200 bytes");
            return {};
        }
        std::string text(value->as_string());
        const bool valid = std::ranges::none_of(
            text, [](unsigned char character) { return character <= ' ' || character == '/' || character == 0x7f; });
        if (!valid) {
            fault(key, "a text without spaces, slashes and control characters");
        }
        return text;
    }

    std::int64_t number(std::string_view key, std::int64_t minimum, bool required)
    {
        constexpr std::int64_t maximum = 1'000'000'000'000;
        const auto *value = m_object.if_contains(key);
        if (value == nullptr && !required) {
            return 0;
        }
        const bool isInteger = value != nullptr && value->is_int64();
        if (!isInteger || value->as_int64() < minimum || value->as_int64() > maximum) {
            fault(key, "a whole number of at least " + std::to_string(minimum));
            return 0;
        }
        return value->as_int64();
    }

    void fault(std::string_view key, std::string_view expected)
    {
        if (m_fault.empty()) {
            m_fault = "field '" + std::string(key) + "': expected " + std::string(expected);
        }
    }

    [[nodiscard]] const std::string &firstFault() const
    {
        return m_fault;
    }

private:
    const json::object &m_object;
    std::string m_fault;
};

} // namespace

HttpServerResponse jsonResponse(unsigned status, const json::object &body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = json::serialize(body) + "\n"};
}

HttpServerResponse outcomeResponse(unsigned status, std::string_view outcome, std::string_view message)
{
    auto response = jsonResponse(status, {{"error", outcome}, {"message", message}});
    response.headers.emplace_back("Carobflow-Outcome", std::string(outcome));
    return response;
}

HttpServerResponse errorResponse(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::Unavailable:
    case ErrorKind::ResourceExhausted:
        return outcomeResponse(503, "not-run", error.message);
    case ErrorKind::Unknown:
    case ErrorKind::Timeout:
        return outcomeResponse(504, "unknown", error.message);
    case ErrorKind::InvalidArgument:
        return jsonResponse(400, {{"error", "invalid"}, {"message", error.message}});
    case ErrorKind::NotFound:
        return jsonResponse(404, {{"error", "not-found"}, {"message", error.message}});
    case ErrorKind::Conflict:
        return jsonResponse(409, {{"error", "conflict"}, {"message", error.message}});
    case ErrorKind::Unauthenticated:
        return jsonResponse(401, {{"error", "unauthenticated"}, {"message", error.message}});
    case ErrorKind::Internal:
        break;
    }
    return jsonResponse(500, {{"error", "internal"}, {"message", error.message}});
}

json::object jobObject(const carobflow::JobStatus &status)
{
    return {{"id", status.job().id()},
            {"team", status.job().team()},
            {"jobClass", status.job().job_class()},
            {"kind", status.job().kind()},
            {"urgency", status.job().urgency()},
            {"state", status.state()},
            {"host", status.host()},
            {"fence", status.fence()},
            {"reason", status.reason()},
            {"result", status.result()},
            {"evictions", status.evictions()},
            {"progress", status.progress()},
            {"slackSeconds", status.slack_seconds()},
            {"deadlineUnixSeconds", status.job().deadline_unix_seconds()}};
}

Result<JobSpec> parseJobSpec(std::string_view body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object()) {
        return Error{ErrorKind::InvalidArgument, "the body is not a JSON object; see docs/callers.md"};
    }
    FieldReader fields(value.as_object());
    JobSpec spec;
    spec.id = fields.text("id", "", true);
    spec.team = fields.text("team", "", true);
    spec.jobClass = fields.text("jobClass", "", true);
    const std::string kind = fields.text("kind", "batch", false);
    const std::string urgency = fields.text("urgency", "normal", false);
    if (kind != "batch" && kind != "check") {
        fields.fault("kind", "batch or check");
    }
    if (urgency != "normal" && urgency != "urgent") {
        fields.fault("urgency", "normal or urgent");
    }
    spec.kind = kind == "check" ? JobKind::Check : JobKind::Batch;
    spec.urgency = urgency == "urgent" ? Urgency::Urgent : Urgency::Normal;
    spec.declared.cpuMillis = fields.number("cpuMillis", 1, true);
    spec.declared.memoryMiB = fields.number("memoryMiB", 1, true);
    spec.declared.accelerators = fields.number("accelerators", 0, false);
    spec.runSeconds = fields.number("runSeconds", 1, true);
    spec.deadlineUnixSeconds = fields.number("deadlineUnixSeconds", 0, false);
    if (!fields.firstFault().empty()) {
        return Error{ErrorKind::InvalidArgument, fields.firstFault()};
    }
    return spec;
}

std::vector<std::string_view> splitPath(std::string_view target)
{
    target = target.substr(0, target.find('?'));
    constexpr std::string_view prefix = "/v1/";
    target.remove_prefix(std::min(target.size(), prefix.size()));
    std::vector<std::string_view> segments;
    while (!target.empty()) {
        const auto slash = target.find('/');
        segments.push_back(target.substr(0, slash));
        target.remove_prefix(slash == std::string_view::npos ? target.size() : slash + 1);
    }
    return segments;
}

bool matchesPath(std::span<const std::string_view> pattern, std::span<const std::string_view> segments)
{
    return std::ranges::equal(pattern, segments, [](std::string_view expected, std::string_view actual) {
        return expected == actual || (expected == "*" && !actual.empty());
    });
}

} // namespace Carobflow
