#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carobflow
{

/// A row of the table service. The version is assigned by the service at the commit that last wrote the row.
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// A condition on a row: it has this version, or it is absent when the version is 0.
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};

/// A write of a row, or its deletion when there is no value.
struct Mutation {
    std::string key;
    std::optional<std::string> value;
};

/// Mutations that are applied together, and only if every condition holds.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Mutation> mutations;
};

/// The largest transaction and the largest row that a table accepts.
struct TransactionLimits {
    /// Conditions and mutations together.
    std::size_t entries = 0;
    /// Keys and values of all entries together.
    std::size_t bytes = 0;
    /// The value of one row.
    std::size_t rowBytes = 0;
};

/// The transaction was applied; every row that it wrote now has this version.
struct Committed {
    std::uint64_t version = 0;
};

/// The transaction was not applied because the condition on this row did not hold.
struct Conflict {
    std::string key;
};

/// The transaction is known not to have been applied.
struct TableUnavailable {
    std::string reason;
};

/// No reply arrived; the transaction may have been applied or may still be applied.
struct ReplyLost {
    std::string reason;
};

using TransactOutcome = std::variant<Committed, Conflict, TableUnavailable, ReplyLost>;

} // namespace Carobflow
