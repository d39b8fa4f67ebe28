#pragma once

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/colocation.h"
#include "carobflow/core/hostmessages.h"
#include "carobflow/core/interference.h"
#include "carobflow/core/internal/hostregistry.h"
#include "carobflow/core/internal/interferenceguide.h"
#include "carobflow/core/internal/sheetview.h"
#include "carobflow/core/shardstate.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// Connects the interference model and the colocation controller with the leader of a shard: reports feed them, and
/// their decisions become throttle orders, evictions and rules for placement. It does nothing when it is disabled.
class ColocationPolicy
{
public:
    struct Eviction {
        TaskRef task;
        std::string reason;
    };

    explicit ColocationPolicy(bool enabled);

    /// Forgets everything, for the end of a leadership.
    void reset();

    /// Takes the windows of a report that the registry has taken into account.
    void onReport(TimePoint now,
                  const ShardState &state,
                  const SheetView &sheet,
                  const HostEntry &host,
                  const HostReport &report);

    /// Adds an order for each task of the host whose throttle is not the one that it was given last.
    void addThrottles(const ShardState &state, HostEntry &host, HostOrders &orders) const;

    /// Evictions that were decided and are not in a batch yet. The owner removes those that it makes or drops.
    std::vector<Eviction> &evictions();
    [[nodiscard]] const std::vector<Eviction> &evictions() const;

    /// How many tasks may be evicted now for other work; the cap counts evictions for the services, too.
    [[nodiscard]] std::uint32_t evictionsLeft(TimePoint now);
    void countEviction(TimePoint now);

    /// Rules for the placements of one batch, or null when there are none. The policy must outlive them.
    std::unique_ptr<PlacementGuide> makeGuide(TimePoint now, const ShardState &state, const SheetView &sheet);

    /// A snapshot of the shard's state together with what was learned.
    [[nodiscard]] std::string withModel(std::string snapshot) const;

    /// Restores what was learned and returns the snapshot of the shard's state. What cannot be read is learned anew.
    std::string_view restoreModel(std::string_view bytes);

private:
    struct Learned {
        InterferenceModel model{InterferenceModel::Options{}};
        ColocationController controller{ColocationController::Options{}, model};
    };

    void setServices(const SheetView &sheet);

    bool m_enabled;
    std::unique_ptr<Learned> m_learned;
    SheetVersion m_sheetVersion = 0;
    std::vector<Eviction> m_evictions;
    InterferenceGuide::Windows m_windows;
    InterferenceGuide::Patience m_patience;
};

} // namespace Carobflow
