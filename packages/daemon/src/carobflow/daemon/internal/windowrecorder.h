#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/types.h"

#include <optional>
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

    /// Ends the window and begins the next one, unless the window has too few requests and is not yet long. `classes`
    /// are those of the tasks that ran throughout the time since the previous call.
    std::optional<ServiceWindow> take(TimePoint now, std::vector<std::string> classes);

private:
    void accumulate(TimePoint now);

    std::string m_service;
    TimePoint m_start;
    TimePoint m_lastChange;
    double m_share = 0;
    double m_shareSeconds = 0;
    std::vector<double> m_milliseconds;
    /// Classes since the window began, sorted; unset at its first call of take.
    std::optional<std::vector<std::string>> m_classes;
};

} // namespace Carobflow
