#include "carobflow/scheduler/hostspeed.h"

#include <algorithm>

namespace Carobflow::Scheduling
{
namespace
{

template<typename Value>
Value medianOf(std::vector<Value> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

void HostSpeed::onEnd(std::string_view host, double ratioToSiblings, TimePoint now)
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        found = m_hosts.emplace(std::string(host), Record{}).first;
    }
    Record &record = found->second;
    if (record.ratios.size() < m_options.window) {
        record.ratios.push_back(ratioToSiblings);
    } else {
        record.ratios[record.next] = ratioToSiblings;
        record.next = (record.next + 1) % m_options.window;
    }
    record.median = medianOf(record.ratios);
    record.endedAt = now;
}

void HostSpeed::onStepEnd(std::span<const Task> tasks, TimePoint now)
{
    std::vector<Duration> times;
    for (const Task &task : tasks) {
        if (task.fullSpeedTime > Duration(0)) {
            times.push_back(task.fullSpeedTime);
        }
    }
    if (times.size() < m_options.minimumSiblings) {
        return;
    }
    const std::chrono::duration<double> median = medianOf(std::move(times));
    for (const Task &task : tasks) {
        if (task.fullSpeedTime > Duration(0)) {
            onEnd(task.fullSpeedHost, task.fullSpeedTime / median, now);
        }
    }
}

double HostSpeed::factor(std::string_view host, TimePoint now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || found->second.ratios.size() < m_options.minimumRuns
        || found->second.median < m_options.slowFactor) {
        return 1;
    }
    const Duration quiet = now - found->second.endedAt;
    const bool isOnTrial = quiet >= m_options.trialAfter && quiet % m_options.trialAfter < m_options.trialLength;
    return isOnTrial ? 1 : found->second.median;
}

void HostSpeed::forget(std::string_view host)
{
    if (const auto found = m_hosts.find(host); found != m_hosts.end()) {
        m_hosts.erase(found);
    }
}

} // namespace Carobflow::Scheduling
