#include "carobflow/control/transactionbatch.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace Carobflow
{
namespace
{

std::size_t sizeOf(const Mutation &mutation)
{
    return mutation.key.size() + (mutation.value ? mutation.value->size() : 0);
}

} // namespace

TransactionBatch::TransactionBatch(TransactionLimits limits)
    : m_limits(limits)
{
}

bool TransactionBatch::add(std::vector<Mutation> group)
{
    const std::size_t bytes = std::accumulate(
        group.begin(), group.end(), std::size_t{0}, [](std::size_t sum, const Mutation &mutation) {
            return sum + sizeOf(mutation);
        });
    if (m_mutations.size() + group.size() > m_limits.entries || m_bytes + bytes > m_limits.bytes) {
        return false;
    }
    m_bytes += bytes;
    std::ranges::move(group, std::back_inserter(m_mutations));
    return true;
}

std::vector<Mutation> TransactionBatch::take()
{
    m_bytes = 0;
    return std::exchange(m_mutations, {});
}

} // namespace Carobflow
