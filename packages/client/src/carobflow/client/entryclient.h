#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/verb.hpp>

namespace Carobflow
{

/// Address on which an entry listens.
struct EntryAddress {
    std::string host;
    std::string port;

    bool operator==(const EntryAddress &) const = default;
};

/// Parses host:port or [IPv6 address]:port.
Result<EntryAddress> parseEntryAddress(std::string_view text);

struct EntryRequest {
    boost::beast::http::verb method = boost::beast::http::verb::get;
    /// Path whose names are already percent-encoded.
    std::string path;
    std::string body = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
};

/// A complete reply of an entry.
struct EntryReply {
    unsigned status = 0;
    /// Value of the header Carobflow-Outcome; empty when the header is absent.
    std::string outcome;
    std::string body;

    /// Whether the entry states that the request was not carried out.
    [[nodiscard]] bool isNotRun() const;
};

/// Blocking client that calls the entries of a system in turn until one replies.
class EntryClient
{
public:
    struct Options {
        /// Tried in this order.
        std::vector<EntryAddress> entries;
        /// Sent as a bearer token unless empty.
        std::string token;
        Milliseconds connectTimeout{2000};
        /// Time limit for sending the request and receiving the reply.
        Milliseconds timeout{30000};
    };

    explicit EntryClient(Options options);

    /// Sends a request. A GET fails over to the next entry when one cannot be reached, closes the connection early or
    /// is unavailable; any other method only when the previous entry certainly did not carry it out. Errors:
    /// Unavailable when no entry was reached, Unknown when a change may have taken effect.
    [[nodiscard]] Result<EntryReply> send(const EntryRequest &request) const;

private:
    Options m_options;
};

} // namespace Carobflow
