#pragma once

#include "carobflow/core/internal/shardrow.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <optional>

namespace Carobflow
{

/// Failure detector for the leader of a shard: tells a candidate when it may take over. The time for which the shard
/// row has not changed is measured by the candidate's own clock.
class LeaderWatch
{
public:
    struct Options {
        /// Time without a change of the row after which the shard may be taken over: lease plus margin.
        Milliseconds takeOverDelay{5000};
        Milliseconds candidacyDelay{0};
        Milliseconds pollInterval{1000};
    };

    explicit LeaderWatch(Options options)
        : m_options(options)
    {
    }

    void reset()
    {
        m_unchangedSince.reset();
    }

    /// Records the row as read; version 0 means that the row does not exist.
    void onRow(TimePoint now, std::uint64_t version, const ShardRow &row)
    {
        if (!m_unchangedSince || version != m_version) {
            m_unchangedSince = now;
        }
        m_version = version;
        m_row = row;
    }

    /// True when the row has not changed for long enough, or the shard has no leader.
    [[nodiscard]] bool mayTakeOver(TimePoint now) const
    {
        return m_unchangedSince && now >= takeOverAt();
    }

    /// The time of the next read of the row, given a read at `now`.
    [[nodiscard]] TimePoint nextPoll(TimePoint now) const
    {
        const TimePoint next = now + std::max(m_options.pollInterval, m_options.candidacyDelay / 2);
        return m_unchangedSince && takeOverAt() > now ? std::min(next, takeOverAt()) : next;
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }

    [[nodiscard]] const ShardRow &row() const
    {
        return m_row;
    }

private:
    [[nodiscard]] TimePoint takeOverAt() const
    {
        const bool held = m_version != 0 && !m_row.released;
        return *m_unchangedSince + m_options.candidacyDelay + (held ? m_options.takeOverDelay : Milliseconds(0));
    }

    Options m_options;
    std::optional<TimePoint> m_unchangedSince;
    std::uint64_t m_version = 0;
    ShardRow m_row;
};

} // namespace Carobflow
