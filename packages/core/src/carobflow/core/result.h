#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace Carobflow
{

/// The kinds of failure that callers distinguish.
enum class ErrorKind {
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    Unknown,
    Timeout,
    Unauthenticated,
    ResourceExhausted,
    Internal,
};

/// The lower-case name of a kind as it appears in logs and JSON, for example "invalid-argument".
std::string_view errorKindName(ErrorKind kind);

/// A failure with a message that states the cause and the remedy.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

/// Either a value or an error. Functions that return it do not throw.
template<typename T>
using Result = std::variant<T, Error>;

/// The result of an operation that has no value.
using Status = Result<std::monostate>;

template<typename T>
bool isOk(const Result<T> &result)
{
    return result.index() == 0;
}

template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<0>(result);
}

template<typename T>
T &&takeValue(Result<T> &&result)
{
    return std::get<0>(std::move(result));
}

template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<1>(result);
}

} // namespace Carobflow
