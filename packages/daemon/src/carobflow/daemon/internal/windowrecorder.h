#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/types.h"

#include <string>
#include <vector>

namespace Carobflow
{

/// Collects the service times and the load of one upstream over a measurement window.
class WindowRecorder
{
public:
    explicit WindowRecorder(std::string service, TimePoint now);

    void setInUse(TimePoint now, std::uint32_t taken, std::uint32_t slots);
    void onCompleted(Duration serviceTime);

    /// Ends the window and begins the next one.
    ServiceWindow take(TimePoint now);

private:
    void accumulate(TimePoint now);

    std::string m_service;
    TimePoint m_start;
    TimePoint m_lastChange;
    double m_share = 0;
    double m_shareSeconds = 0;
    std::vector<double> m_milliseconds;
};

} // namespace Carobflow
