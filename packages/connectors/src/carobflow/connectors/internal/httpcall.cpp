#include "carobflow/connectors/internal/httpcall.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace Carobflow::Detail
{

HttpRequest jsonPost(std::string target, const boost::json::value &body, Milliseconds timeout)
{
    return {.method = "POST",
            .target = std::move(target),
            .headers = {{"Content-Type", "application/json"}},
            .body = boost::json::serialize(body),
            .timeout = timeout};
}

Error failureOf(std::string_view what, const HttpOutcome &outcome, ErrorKind uncertain)
{
    const std::string prefix = std::string(what) + ": ";
    if (const auto *notSent = std::get_if<HttpNotSent>(&outcome)) {
        return {ErrorKind::Unavailable, prefix + notSent->reason + "; nothing was sent, try again later"};
    }
    if (const auto *unanswered = std::get_if<HttpUnanswered>(&outcome)) {
        return {unanswered->timedOut ? ErrorKind::Timeout : uncertain,
                prefix + unanswered->reason + "; it may have taken effect, check before trying again"};
    }
    const auto status = std::get<HttpAnswer>(outcome).status;
    if (status == 503) {
        return {ErrorKind::Unavailable, prefix + "the service is unavailable (status 503), try again later"};
    }
    // A 4xx status means that the request was refused, so it had no effect.
    return {status / 100 == 4 ? ErrorKind::Unavailable : uncertain,
            prefix + "unexpected answer with status " + std::to_string(status)
                + "; check that the address is that of the service and that its version fits"};
}

const HttpAnswer *answerWith(const HttpOutcome &outcome, unsigned status)
{
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr && answer->status == status ? answer : nullptr;
}

std::optional<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::string encodeSegment(std::string_view text)
{
    return boost::urls::encode({text.data(), text.size()}, boost::urls::unreserved_chars);
}

std::string encodePath(std::string_view text)
{
    constexpr auto pathChars = boost::urls::unreserved_chars + boost::urls::grammar::lut_chars('/');
    return boost::urls::encode({text.data(), text.size()}, pathChars);
}

} // namespace Carobflow::Detail
