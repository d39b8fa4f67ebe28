#include "carobflow/daemon/internal/windowrecorder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Carobflow
{
namespace
{

constexpr double TailQuantile = 0.99;

/// The leader ignores windows with fewer than 20 requests. At about 18 requests per second on each host, it learned
/// nothing from fixed windows of one second.
constexpr std::size_t MinCompleted = 25;
/// A window with fewer requests ends after this time; a longer one would average over too many changes of load and
/// tasks.
constexpr Milliseconds MaxWindowLength{5000};

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

WindowRecorder::WindowRecorder(std::string service, TimePoint now)
    : m_service(std::move(service))
    , m_startedAt(now)
    , m_lastChange(now)
{
}

void WindowRecorder::setInUse(TimePoint now, std::uint32_t taken, std::uint32_t slots)
{
    accumulate(now);
    m_utilization = slots == 0 ? 0 : static_cast<double>(taken) / slots;
}

void WindowRecorder::onCompleted(Duration serviceTime)
{
    m_serviceTimesMs.push_back(std::chrono::duration<double, std::milli>(serviceTime).count());
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
    if (m_serviceTimesMs.size() < MinCompleted && now - m_startedAt < MaxWindowLength) {
        m_classes = std::move(classes);
        return std::nullopt;
    }
    m_classes.reset();
    const double length = secondsBetween(m_startedAt, now);
    ServiceWindow window{.service = m_service,
                         .completed = static_cast<std::uint32_t>(m_serviceTimesMs.size()),
                         .p99Milliseconds = 0,
                         .load = length > 0 ? m_utilizationSeconds / length : 0,
                         .length = std::chrono::duration_cast<Milliseconds>(now - m_startedAt),
                         .jobClasses = std::move(classes)};
    if (!m_serviceTimesMs.empty()) {
        const auto index = static_cast<std::ptrdiff_t>(TailQuantile * static_cast<double>(m_serviceTimesMs.size() - 1));
        std::nth_element(m_serviceTimesMs.begin(), m_serviceTimesMs.begin() + index, m_serviceTimesMs.end());
        window.p99Milliseconds = m_serviceTimesMs[static_cast<std::size_t>(index)];
    }
    m_serviceTimesMs.clear();
    m_utilizationSeconds = 0;
    m_startedAt = now;
    return window;
}

void WindowRecorder::accumulate(TimePoint now)
{
    m_utilizationSeconds += m_utilization * secondsBetween(m_lastChange, now);
    m_lastChange = now;
}

} // namespace Carobflow
