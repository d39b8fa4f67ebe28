#pragma once

#include "carobflow/daemon/internal/logthrottle.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Carobflow
{

/// Counts the announcements that name no usable upstream by the field at fault, and logs each field at most once a
/// second with the number of times. Safe to call from several threads.
class AnnouncementReport
{
public:
    using Observer = std::function<void(std::string_view field)>;

    explicit AnnouncementReport(Observer observer);

    /// `upstream` is the id that the announcement names. Fields come from a fixed set of names.
    void recordRefusal(std::string_view upstream, std::string_view field);

private:
    Observer m_observer;
    std::mutex m_mutex;
    std::map<std::string, LogThrottle, std::less<>> m_throttles;
};

} // namespace Carobflow
