#include "carobflow/client/internal/exchange.h"

#include <ostream>

#include <boost/json/parse.hpp>

namespace Carobflow
{

namespace
{

namespace Json = boost::json;

// HTTP statuses with a message of their own; all others are reported with the message of the entry.
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

bool isSuccess(const EntryReply &reply)
{
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned lastSuccess = 299;
    return reply.status >= firstSuccess && reply.status <= lastSuccess;
}

} // namespace

Exchange::Exchange(const CommandCall &call, const ClientSettings &settings, std::ostream &out, std::ostream &err)
    : m_call(call)
    , m_settings(settings)
    , m_out(out)
    , m_err(err)
{
}

std::string Exchange::formatFault(const std::string &file, const Json::value &fault)
{
    return file + ":" + JsonView::plain(JsonView::member(fault, "line")) + ":"
        + JsonView::plain(JsonView::member(fault, "column")) + ": "
        + printable(JsonView::plain(JsonView::member(fault, "message")));
}

std::variant<Json::value, ExitCode> Exchange::fetch(const EntryRequest &request, const std::string &file) const
{
    const auto result = EntryClient(m_settings.entry).send(request);
    if (!isOk(result)) {
        return reportError(errorOf(result));
    }
    const EntryReply &reply = valueOf(result);
    boost::system::error_code error;
    Json::value json = Json::parse(reply.body, error);
    if (has("json") && !error) {
        m_out << reply.body << (reply.body.ends_with('\n') ? "" : "\n");
    }
    if (!isSuccess(reply)) {
        return reportFailure(reply, file);
    }
    if (error) {
        m_err << "the reply is not JSON; check that --entry is the address of an entry\n";
        return ExitCode::Failed;
    }
    return json;
}

ExitCode Exchange::call(const EntryRequest &request, const PrintReply &print, const std::string &file) const
{
    const auto fetched = fetch(request, file);
    if (const auto *failure = std::get_if<ExitCode>(&fetched)) {
        return *failure;
    }
    if (!has("json")) {
        print(std::get<Json::value>(fetched));
    }
    return ExitCode::Success;
}

ExitCode Exchange::reportFailure(const EntryReply &reply, const std::string &file) const
{
    boost::system::error_code error;
    const Json::value json = Json::parse(reply.body, error);
    std::string message = printable(JsonView::plain(JsonView::member(json, "message")));
    if (message.empty()) {
        message = "no message";
    }
    for (const Json::value &fault : JsonView::elements(json, "faults")) {
        m_err << formatFault(file, fault) << '\n';
    }
    switch (reply.status) {
    case StatusConflict: {
        const std::string version = JsonView::plain(JsonView::member(json, "currentVersion"));
        m_err << "conflict: " << message;
        if (!version.empty()) {
            m_err << "; the current version is " << version << ": read it with 'carobflow sheet show' and repeat with "
                  << "--replaces " << version;
        }
        m_err << '\n';
        return ExitCode::Conflict;
    }
    case StatusUnauthorized:
        m_err << "refused: " << message << "; give the operators' token with --token or in the settings file\n";
        return ExitCode::Failed;
    case StatusUnavailable:
        m_err << (reply.isNotRun() ? "not run: " : "unavailable: ") << message << "; try again later\n";
        return ExitCode::Failed;
    case StatusGatewayTimeout:
        m_err << "unknown: " << message << "; the request may have taken effect, check before you repeat it\n";
        return ExitCode::Failed;
    default:
        m_err << "failed: the entry replied with status " << reply.status << ": " << message << '\n';
        return ExitCode::Failed;
    }
}

ExitCode Exchange::reportError(const Error &error) const
{
    if (error.kind == ErrorKind::Unknown) {
        m_err << "unknown: " << error.message << "; the request may have taken effect, check before you repeat it\n";
        return ExitCode::Failed;
    }
    m_err << "unreachable: " << error.message << "; check --entry and that an entry is running there\n";
    return ExitCode::Unreachable;
}

ExitCode Exchange::usage(const std::string &message) const
{
    m_err << message << '\n';
    return ExitCode::Usage;
}

bool Exchange::has(const std::string &option) const
{
    return m_call.options.count(option) != 0;
}

std::string Exchange::text(const std::string &option) const
{
    return m_call.options[option].as<std::string>();
}

std::uint64_t Exchange::number(const std::string &option) const
{
    return parseNumber(m_call.options[option].as<std::string>()).value_or(0);
}

} // namespace Carobflow
