#pragma once

#include "carobflow/core/internal/shardrow.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <optional>

namespace Carobflow
{

/// Tells a candidate when the leader of a shard has been silent for so long that it may take over. It measures on its
/// own clock how long the shard row has not changed.
class LeaderWatch
{
public:
    struct Options {
        /// Lease and margin.
        Milliseconds silence{5000};
        Milliseconds candidacyDelay{0};
        Milliseconds pollInterval{1000};
    };

    explicit LeaderWatch(Options options)
        : m_options(options)
    {
    }

    void reset()
    {
        m_since.reset();
    }

    /// The row as it was read; version 0 when there is none.
    void onRow(TimePoint now, std::uint64_t version, const ShardRow &row)
    {
        if (!m_since || version != m_version) {
            m_since = now;
        }
        m_version = version;
        m_row = row;
    }

    /// True when the row has been seen unchanged for long enough, or nobody holds the shard.
    [[nodiscard]] bool mayTakeOver(TimePoint now) const
    {
        return m_since && now >= takeOverAt();
    }

    /// The time of the next read of the row after one at `now`.
    [[nodiscard]] TimePoint nextPoll(TimePoint now) const
    {
        const TimePoint next = now + std::max(m_options.pollInterval, m_options.candidacyDelay / 2);
        return m_since && takeOverAt() > now ? std::min(next, takeOverAt()) : next;
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
        return *m_since + m_options.candidacyDelay + (held ? m_options.silence : Milliseconds(0));
    }

    Options m_options;
    std::optional<TimePoint> m_since;
    std::uint64_t m_version = 0;
    ShardRow m_row;
};

} // namespace Carobflow
