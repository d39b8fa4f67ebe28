#pragma once

#include "carobflow/connectors/httpclient.h"
#include "carobflow/core/result.h"

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace Carobflow::Detail
{

/// A POST of a JSON body.
HttpRequest jsonPost(std::string target, const boost::json::value &body, Milliseconds timeout);

/// The error of a call that did not end with the expected response: Unavailable for nothing sent and for refusals,
/// Timeout when the call timed out after sending, otherwise `uncertain`.
Error failureOf(std::string_view what, const HttpOutcome &outcome, ErrorKind uncertain);

/// The response when there is one with this status, else null.
const HttpAnswer *answerWith(const HttpOutcome &outcome, unsigned status);

/// Parses JSON; empty when it is not an object.
std::optional<boost::json::object> parseObject(std::string_view text);

/// Percent-encodes one segment of a path.
std::string encodeSegment(std::string_view text);

/// Percent-encodes a path; slashes stay.
std::string encodePath(std::string_view text);

} // namespace Carobflow::Detail
