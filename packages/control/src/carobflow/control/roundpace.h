#pragma once

#include "carobflow/core/types.h"

namespace Carobflow
{

/// Limits how often a leader plans and writes, so that under load each round contains the ends, starts and jobs of a
/// longer time. A few rounds may follow each other at once, so that nothing is delayed at a low load.
class RoundPace
{
public:
    struct Options {
        /// Average time between two rounds under load, and the longest delay of a round.
        Milliseconds interval{20};
        /// Number of rounds that may follow each other at once after a time with fewer rounds.
        int burst = 5;
    };

    explicit RoundPace(Options options);

    /// Time until the next round may start; zero when it may start now.
    [[nodiscard]] Duration delay(TimePoint now) const;

    void onRound(TimePoint now);

private:
    Options m_options;
    /// Time at which as many rounds may follow each other as ever.
    TimePoint m_restedAt;
};

} // namespace Carobflow
