#include "carobflow/core/result.h"

namespace Carobflow
{

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid-argument";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Unknown:
        return "unknown";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Unauthenticated:
        return "unauthenticated";
    case ErrorKind::ResourceExhausted:
        return "resource-exhausted";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace Carobflow
