#pragma once

#include "carobflow/core/table.h"

#include <cstddef>
#include <vector>

namespace Carobflow
{

/// Collects mutations for one transaction and keeps within the table's limits. What does not fit is left to the next
/// transaction.
class TransactionBatch
{
public:
    explicit TransactionBatch(TransactionLimits limits);

    /// Adds mutations that have to be applied together. Returns false, and changes nothing, when they do not fit into
    /// the remaining space. A group that does not fit into an empty batch never fits.
    bool add(std::vector<Mutation> group);

    [[nodiscard]] bool isEmpty() const
    {
        return m_mutations.empty();
    }

    /// Returns the mutations and leaves the batch empty.
    std::vector<Mutation> take();

private:
    TransactionLimits m_limits;
    std::vector<Mutation> m_mutations;
    std::size_t m_bytes = 0;
};

} // namespace Carobflow
