#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"
#include "carobflow/daemon/httpserver.h"

#include <span>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

// The namespace of the generated code is named by the protocol.
namespace carobflow // NOLINT(readability-identifier-naming)
{
class JobStatus;
}

namespace Carobflow
{

/// A response with a JSON body.
HttpServerResponse jsonResponse(unsigned status, const boost::json::object &body);

/// The response for an error: its kind decides the status and, for Unavailable and Unknown, the outcome header.
HttpServerResponse errorResponse(const Error &error);

/// A response that carries an outcome (`not-run` or `unknown`) in its header and body.
HttpServerResponse outcomeResponse(unsigned status, std::string_view outcome, std::string_view message);

/// A job as the HTTP interface shows it.
boost::json::object jobObject(const carobflow::JobStatus &status);

/// Parses and checks the body of a submission. Errors: InvalidArgument with the field and the expected value.
Result<JobSpec> parseJobSpec(std::string_view body);

/// The path segments after /v1, without the query string.
std::vector<std::string_view> splitPath(std::string_view target);

/// True when the segments match the pattern, in which "*" takes any one segment.
bool matchesPath(std::span<const std::string_view> pattern, std::span<const std::string_view> segments);

} // namespace Carobflow
