#include "carobflow/daemon/internal/windowrecorder.h"

#include <algorithm>
#include <utility>

namespace Carobflow
{
namespace
{

constexpr double TailQuantile = 0.99;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

WindowRecorder::WindowRecorder(std::string service, TimePoint now)
    : m_service(std::move(service))
    , m_start(now)
    , m_lastChange(now)
{
}

void WindowRecorder::setInUse(TimePoint now, std::uint32_t taken, std::uint32_t slots)
{
    accumulate(now);
    m_share = slots == 0 ? 0 : static_cast<double>(taken) / slots;
}

void WindowRecorder::onCompleted(Duration serviceTime)
{
    m_milliseconds.push_back(std::chrono::duration<double, std::milli>(serviceTime).count());
}

ServiceWindow WindowRecorder::take(TimePoint now)
{
    accumulate(now);
    const double length = secondsBetween(m_start, now);
    ServiceWindow window{.service = m_service,
                         .completed = static_cast<std::uint32_t>(m_milliseconds.size()),
                         .p99Milliseconds = 0,
                         .load = length > 0 ? m_shareSeconds / length : 0,
                         .length = std::chrono::duration_cast<Milliseconds>(now - m_start),
                         .jobClasses = {}};
    if (!m_milliseconds.empty()) {
        const auto index = static_cast<std::ptrdiff_t>(TailQuantile * static_cast<double>(m_milliseconds.size() - 1));
        std::nth_element(m_milliseconds.begin(), m_milliseconds.begin() + index, m_milliseconds.end());
        window.p99Milliseconds = m_milliseconds[static_cast<std::size_t>(index)];
    }
    m_milliseconds.clear();
    m_shareSeconds = 0;
    m_start = now;
    return window;
}

void WindowRecorder::accumulate(TimePoint now)
{
    m_shareSeconds += m_share * secondsBetween(m_lastChange, now);
    m_lastChange = now;
}

} // namespace Carobflow
