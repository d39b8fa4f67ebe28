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

/// Builds the orders for a host from the committed state and the host's reports.
///
/// A start order that may be carried out is sent to one boot of the agent only. Otherwise an agent could refuse the
/// order, restart and carry out a repetition while the job is already assigned elsewhere. Any other boot of the agent,
/// and any agent under a later leader, gets the order with an age at which it is refused, which ends the assignment.
class HostOrderBuilder
{
public:
    void reset();

    /// Records that the leader decided on the assignment at this time.
    void assigned(TimePoint now, std::string_view job, Fence fence);

    /// Discards the job's assignment once it has ended.
    void ended(std::string_view job);

    /// Appends the orders that are due for the host to `orders`.
    void addOrders(TimePoint now, const ShardState &state, const SheetView &sheet, HostEntry &host, HostOrders &orders);

private:
    struct Start {
        Fence fence = 0;
        TimePoint decidedAt;
        std::optional<std::uint64_t> bootId;
        std::optional<TimePoint> sentAt;
        /// True once the order was sent with an age at which it is refused; from then on it is sent only with that age.
        bool expired = false;
    };

    void addStart(TimePoint now, const JobRecord &job, bool mayRun, const HostEntry &host, HostOrders &orders);
    static void addStops(TimePoint now, const ShardState &state, HostEntry &host, HostOrders &orders);
    static void addAcknowledged(const ShardState &state, HostEntry &host, HostOrders &orders);

    std::map<std::string, Start, std::less<>> m_starts;
};

} // namespace Carobflow
