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

/// Connects the interference model and the colocation controller to the leader of a shard: feeds them with reports, and
/// turns their decisions into throttle orders, evictions and placement rules. It does nothing when disabled.
class ColocationPolicy
{
public:
    struct Eviction {
        TaskRef task;
        std::string reason;
    };

    explicit ColocationPolicy(bool enabled);

    /// Discards all state at the end of a leadership.
    void reset();

    /// Processes the windows of a report that the host registry has already applied.
    void onReport(TimePoint now,
                  const ShardState &state,
                  const SheetView &sheet,
                  const HostEntry &host,
                  const HostReport &report);

    /// Adds an order for each task of the host whose throttle differs from the one last sent.
    void addThrottles(const ShardState &state, HostEntry &host, HostOrders &orders) const;

    /// Evictions that were decided but are not in a batch yet. The owner removes those that it carries out or drops.
    std::vector<Eviction> &evictions();
    [[nodiscard]] const std::vector<Eviction> &evictions() const;

    /// Number of tasks that may be evicted now for other work. The rate limit includes evictions that protect services.
    [[nodiscard]] std::uint32_t evictionsLeft(TimePoint now);
    void countEviction(TimePoint now);

    /// Placement rules for one batch, or null when the policy is disabled. The policy must outlive them.
    std::unique_ptr<PlacementGuide> makeGuide(TimePoint now, const ShardState &state, const SheetView &sheet);

    /// Appends the learned model to a snapshot of the shard's state.
    [[nodiscard]] std::string withModel(std::string snapshot) const;

    /// Restores the learned model and returns the snapshot of the shard's state. A model that cannot be read is
    /// discarded.
    std::string_view restoreModel(std::string_view bytes);

private:
    struct LearnedState {
        InterferenceModel model{InterferenceModel::Options{}};
        ColocationController controller{ColocationController::Options{}, model};
    };

    void setServices(const SheetView &sheet);

    bool m_enabled;
    std::unique_ptr<LearnedState> m_learnedState;
    SheetVersion m_sheetVersion = 0;
    std::vector<Eviction> m_evictions;
    InterferenceGuide::Windows m_windows;
    InterferenceGuide::DeferralState m_deferrals;
};

} // namespace Carobflow
