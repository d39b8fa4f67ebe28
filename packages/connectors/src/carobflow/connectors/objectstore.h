#pragma once

#include "carobflow/core/result.h"

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// The platform's object store. Objects are written once under keys that are never reused with other content, so a
/// put may be repeated.
class ObjectStore
{
public:
    ObjectStore() = default;
    virtual ~ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;

    /// Writes an object. Errors: Unavailable, Timeout, Unknown.
    virtual boost::asio::awaitable<Status> put(std::string_view key, std::string_view bytes) = 0;

    /// Reads an object. Errors: NotFound, Unavailable, Timeout.
    virtual boost::asio::awaitable<Result<std::string>> get(std::string_view key) = 0;
};

} // namespace Carobflow
