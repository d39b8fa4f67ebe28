#include "carobflow/scheduler/refusals.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace Carobflow::Scheduling
{

void Refusals::add(const Refusals &other)
{
    std::ranges::transform(m_counts, other.m_counts, m_counts.begin(), std::plus());
}

std::string Refusals::describe() const
{
    constexpr std::array<std::string_view, std::tuple_size_v<decltype(m_counts)>> names{
        "excluded", "suspect", "processor", "memory", "leftover", "headroom"};
    std::string text;
    for (std::size_t reason = 0; reason < m_counts.size(); ++reason) {
        if (m_counts[reason] > 0) {
            text += (text.empty() ? "" : ",") + std::string(names[reason]) + ":" + std::to_string(m_counts[reason]);
        }
    }
    return text;
}

} // namespace Carobflow::Scheduling
