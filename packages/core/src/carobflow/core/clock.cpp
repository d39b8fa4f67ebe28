#include "carobflow/core/clock.h"

#include <ctime>

namespace Carobflow
{

TimePoint suspendAwareNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Carobflow
