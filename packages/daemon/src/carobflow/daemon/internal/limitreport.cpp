#include "carobflow/daemon/internal/limitreport.h"

#include "carobflow/logging/log.h"

#include <utility>

namespace Carobflow
{
namespace
{

/// In the order of ClientLimit; the names of the settings that bound them.
constexpr std::array<std::string_view, static_cast<std::size_t>(ClientLimit::Count)> Names{
    "connections", "header_bytes", "max_body_bytes", "reading_bytes", "header_ms", "request_ms", "write_ms"};

} // namespace

LimitReport::LimitReport(std::string server, Observer observer)
    : m_server(std::move(server))
    , m_observer(std::move(observer))
{
}

void LimitReport::record(ClientLimit limit)
{
    const auto index = static_cast<std::size_t>(limit);
    if (m_observer) {
        m_observer(Names.at(index));
    }
    const std::lock_guard lock(m_mutex);
    if (const auto times = m_throttles.at(index).record(std::chrono::steady_clock::now())) {
        logWarning("client-limit").with("limit", Names.at(index)).with("server", m_server).with("times", *times);
    }
}

} // namespace Carobflow
