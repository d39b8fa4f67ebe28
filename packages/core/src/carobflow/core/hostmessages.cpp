#include "carobflow/core/hostmessages.h"

#include <tuple>

namespace Carobflow
{

bool TaskRef::operator<(const TaskRef &other) const
{
    return std::tie(job, fence) < std::tie(other.job, other.fence);
}

bool HostOrders::isIdle() const
{
    return starts.empty() && stops.empty() && throttles.empty() && acknowledged.empty() && !wantFull;
}

} // namespace Carobflow
