#include "carobflow/scheduler/orders.h"

#include <array>

namespace Carobflow::Scheduling
{

std::string_view outcomeName(StartOutcome outcome)
{
    static constexpr std::array<std::string_view, 10> Names{"started",
                                                            "superseded",
                                                            "fenced",
                                                            "no-room",
                                                            "lease-over",
                                                            "no-permit",
                                                            "not-accepted",
                                                            "unhealthy",
                                                            "malformed",
                                                            "unanswered"};
    return Names.at(static_cast<std::size_t>(outcome));
}

} // namespace Carobflow::Scheduling
