#include "carobflow/daemon/internal/windowrecorder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobflow
{
namespace
{

constexpr double TailQuantile = 0.99;

/// The leader learns from windows with at least 20 requests. The co-op has about 18 requests a second on each host, so
/// with windows of a fixed second it learned nothing.
constexpr std::size_t MinCompleted = 25;
/// A window with fewer requests ends after this time; a longer one would mix too many changes.
constexpr Milliseconds MaxLength{5000};

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

std::optional<ServiceWindow> WindowRecorder::take(TimePoint now, std::vector<std::string> classes)
{
    accumulate(now);
    std::ranges::sort(classes);
    if (m_classes) {
        std::vector<std::string> common;
        std::ranges::set_intersection(*m_classes, classes, std::back_inserter(common));
        classes = std::move(common);
    }
    if (m_milliseconds.size() < MinCompleted && now - m_start < MaxLength) {
        m_classes = std::move(classes);
        return std::nullopt;
    }
    m_classes.reset();
    const double length = secondsBetween(m_start, now);
    ServiceWindow window{.service = m_service,
                         .completed = static_cast<std::uint32_t>(m_milliseconds.size()),
                         .p99Milliseconds = 0,
                         .load = length > 0 ? m_shareSeconds / length : 0,
                         .length = std::chrono::duration_cast<Milliseconds>(now - m_start),
                         .jobClasses = std::move(classes)};
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
