#pragma once

#include "carobflow/core/types.h"

#include <optional>
#include <string>

namespace Carobflow
{

/// Decides whether a start order may be carried out now, apart from whether it fits. It is asked when the order arrives
/// and again when the call is made, because an order may be held in between.
class StartGate
{
public:
    struct Options {
        Milliseconds maxStartAge{0};
        Milliseconds maxSheetAge{0};
    };

    struct Order {
        /// Time on this clock at which the leader decided at the earliest.
        TimePoint decidedAt;
        SheetVersion sheetVersion = 0;
        /// True when an earlier process of this host may have received the order too.
        bool mayHaveRun = false;
    };

    struct Verdict {
        enum class Kind { Allow, Hold, Refuse };

        Kind kind = Kind::Refuse;
        /// For Refuse: why.
        std::string reason;
        /// For Allow: the time after which the verdict no longer holds.
        TimePoint validUntil;
    };

    explicit StartGate(Options options);

    void onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreIn);
    void onGrant(TimePoint until);
    void setLeaving();

    [[nodiscard]] Verdict check(TimePoint now, const Order &order) const;
    [[nodiscard]] bool grantHolds(TimePoint now) const;
    [[nodiscard]] TimePoint grantUntil() const;
    [[nodiscard]] SheetVersion sheetVersion() const;
    [[nodiscard]] bool isLeaving() const;

private:
    Options m_options;
    std::optional<TimePoint> m_confirmedAt;
    SheetVersion m_sheetVersion = 0;
    bool m_dataCentreIn = false;
    TimePoint m_grantUntil = TimePoint::min();
    bool m_leaving = false;
};

} // namespace Carobflow
