#pragma once

#include <array>
#include <cstddef>
#include <string>

namespace Carobflow::Scheduling
{

/// Why a host does not take a run of a task now.
enum class Refusal {
    /// The host's service, label, data centre, recent starts or other tasks of the step exclude the task.
    Excluded,
    /// Recent runs on the host have failed or stalled.
    Suspect,
    /// Too little processor time or too few accelerators are not reserved.
    Processor,
    /// Too little memory is free, or too little of it beside the reserve for quick tasks.
    Memory,
    /// Services and fillers use the processor time that the filler requests.
    Leftover,
    /// A service would keep too little headroom beside the filler.
    Headroom,
};

/// Counts refusals by reason, for the log.
class Refusals
{
public:
    void add(Refusal refusal)
    {
        ++m_counts[static_cast<std::size_t>(refusal)];
    }

    void add(const Refusals &other);

    /// Reasons that occurred, as "reason:count" separated by commas.
    [[nodiscard]] std::string describe() const;

private:
    std::array<std::size_t, static_cast<std::size_t>(Refusal::Headroom) + 1> m_counts{};
};

} // namespace Carobflow::Scheduling
