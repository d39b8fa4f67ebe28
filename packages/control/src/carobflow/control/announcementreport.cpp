#include "carobflow/control/announcementreport.h"

#include "carobflow/logging/log.h"

#include <utility>

namespace Carobflow
{
namespace
{

/// The id in an announcement of another program can be as long as a header.
constexpr std::size_t MaxLoggedIdBytes = 64;

} // namespace

AnnouncementReport::AnnouncementReport(Observer observer)
    : m_observer(std::move(observer))
{
}

void AnnouncementReport::recordRefusal(std::string_view upstream, std::string_view field)
{
    if (m_observer) {
        m_observer(field);
    }
    const std::lock_guard lock(m_mutex);
    if (const auto times = m_throttles[std::string(field)].record(std::chrono::steady_clock::now())) {
        logWarning("announcement-refused")
            .with("upstream", upstream.substr(0, MaxLoggedIdBytes))
            .with("field", field)
            .with("times", *times)
            .with("remedy", "find the program that sends it; the upstream that answers on this host is used");
    }
}

} // namespace Carobflow
