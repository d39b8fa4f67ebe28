#include "carobflow/core/hostmessages.h"

namespace Carobflow
{

bool HostOrders::isIdle() const
{
    return starts.empty() && stops.empty() && throttles.empty() && acknowledged.empty() && !wantFull;
}

} // namespace Carobflow
