#pragma once

#include "carobflow/core/hostmessages.h"
#include "carobflow/core/internal/hostregistry.h"
#include "carobflow/core/internal/sheetview.h"
#include "carobflow/core/shardstate.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Carobflow
{

/// Derives the orders for a host from the committed state and the host's reports.
///
/// A start order that may be obeyed is given to one start of the agent only. Otherwise an agent could hand it back, be
/// restarted and obey a repetition while the job is assigned elsewhere. Any other start of the agent, and any agent
/// under a later leader, gets the order with an age at which it is handed back, which ends the assignment.
class OrderBook
{
public:
    void reset();

    /// The leader decided on an assignment at this time.
    void assigned(TimePoint now, std::string_view job, Fence fence);

    /// The assignment has ended.
    void ended(std::string_view job);

    /// Adds the orders that are due to `orders`.
    void addOrders(TimePoint now, const ShardState &state, const SheetView &sheet, HostEntry &host, HostOrders &orders);

private:
    struct Start {
        Fence fence = 0;
        TimePoint decidedAt;
        std::optional<std::uint64_t> bootId;
        std::optional<TimePoint> sentAt;
        /// True once it was given with an age at which it is handed back; it is then never given otherwise.
        bool expired = false;
    };

    void addStart(TimePoint now, const JobRecord &job, bool mayRun, const HostEntry &host, HostOrders &orders);
    static void addStops(TimePoint now, const ShardState &state, HostEntry &host, HostOrders &orders);
    static void addAcknowledged(const ShardState &state, HostEntry &host, HostOrders &orders);

    std::map<std::string, Start, std::less<>> m_starts;
};

} // namespace Carobflow
