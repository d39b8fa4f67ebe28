#include "carobflow/scheduler/workload.h"

#include <array>
#include <charconv>

namespace Carobflow::Scheduling
{

std::string TaskId::toString() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' + std::to_string(index);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t position = numbers.size(); position-- > 0;) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view digits = text.substr(dot + 1);
        const char *end = digits.data() + digits.size();
        const auto [rest, error] = std::from_chars(digits.data(), end, numbers.at(position));
        if (error != std::errc{} || rest != end) {
            return std::nullopt;
        }
        text = text.substr(0, dot);
    }
    if (text.empty()) {
        return std::nullopt;
    }
    return TaskId{.job = std::string(text), .occurrence = numbers[0], .step = numbers[1], .index = numbers[2]};
}

std::string_view phaseName(JobPhase phase)
{
    static constexpr std::array<std::string_view, 5> Names{"queued", "running", "completed", "failed", "cancelled"};
    return Names.at(static_cast<std::size_t>(phase));
}

std::string_view endName(RunEnd end)
{
    static constexpr std::array<std::string_view, 7> Names{
        "done", "failed", "stopped", "lease-expired", "member-ended", "gang-incomplete", "unknown"};
    return Names.at(static_cast<std::size_t>(end));
}

} // namespace Carobflow::Scheduling
