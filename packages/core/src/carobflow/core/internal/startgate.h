#pragma once

#include "carobflow/core/types.h"

#include <optional>
#include <string>

namespace Carobflow
{

/// Decides whether a start order may be carried out now; the free resources of the host are checked elsewhere. Orders
/// are checked on arrival and again when the start call is made, because an order may be held in between.
class StartGate
{
public:
    struct Options {
        Milliseconds maxStartAge{0};
        Milliseconds maxSheetAge{0};
    };

    struct Order {
        /// Earliest time, on the clock of this process, at which the leader can have made the decision.
        TimePoint decidedAt;
        SheetVersion sheetVersion = 0;
        /// True when an earlier agent process of this host may have received the order as well.
        bool mayHaveRun = false;
    };

    struct Verdict {
        enum class Kind { Allow, Hold, Refuse };

        Kind kind = Kind::Refuse;
        /// For Refuse only.
        std::string reason;
        /// For Allow: the time until which the verdict is valid.
        TimePoint validUntil;
    };

    explicit StartGate(Options options);

    void onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreInService);
    void onGrant(TimePoint until);
    void setLeaving();

    [[nodiscard]] Verdict check(TimePoint now, const Order &order) const;
    [[nodiscard]] bool isGrantValid(TimePoint now) const;
    [[nodiscard]] TimePoint grantUntil() const;
    [[nodiscard]] SheetVersion sheetVersion() const;
    [[nodiscard]] bool isLeaving() const;

private:
    Options m_options;
    std::optional<TimePoint> m_confirmedAt;
    SheetVersion m_sheetVersion = 0;
    bool m_dataCentreInService = false;
    TimePoint m_grantUntil = TimePoint::min();
    bool m_leaving = false;
};

} // namespace Carobflow
