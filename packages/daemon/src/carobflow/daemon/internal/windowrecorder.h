#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/types.h"

#include <optional>
#include <string>
#include <vector>

namespace Carobflow
{

/// Records the service times and the slot utilization of one upstream over a measurement window.
class WindowRecorder
{
public:
    explicit WindowRecorder(std::string service, TimePoint now);

    void setInUse(TimePoint now, std::uint32_t taken, std::uint32_t slots);
    void onCompleted(Duration serviceTime);

    /// Ends the window and begins the next one, or returns nothing while the window has too few requests and has not
    /// reached its maximum length. `classes` are the job classes of the tasks that ran during the whole time since the
    /// previous call.
    std::optional<ServiceWindow> take(TimePoint now, std::vector<std::string> classes);

private:
    void accumulate(TimePoint now);

    std::string m_service;
    TimePoint m_startedAt;
    TimePoint m_lastChange;
    double m_utilization = 0;
    double m_utilizationSeconds = 0;
    std::vector<double> m_serviceTimesMs;
    /// Sorted classes that ran throughout the window so far; unset until the first take() in the window.
    std::optional<std::vector<std::string>> m_classes;
};

} // namespace Carobflow
