#pragma once

#include "carobflow/core/chargeflow.h"

#include <optional>
#include <string>
#include <string_view>

namespace Carobflow
{

/// The value of the table row of one idempotency key.
struct ChargeRow {
    /// Released: the charge did not run and the next call with the key may run; see ChargeFlow for when a row is
    /// released and not deleted.
    enum class State { Pending, Done, Released };

    State state = State::Pending;
    /// Token of the call that wrote the row.
    std::string token;
    /// Digest of the request.
    std::string digest;
    /// The stored result; meaningful for Done only.
    UpstreamAnswer answer;
};

/// Encodes a row as JSON. Headers and bodies that are not valid UTF-8 are encoded in hexadecimal.
std::string encodeChargeRow(const ChargeRow &row);

/// Decodes the JSON value of a row; empty when it is not a charge row.
std::optional<ChargeRow> decodeChargeRow(std::string_view value);

} // namespace Carobflow
