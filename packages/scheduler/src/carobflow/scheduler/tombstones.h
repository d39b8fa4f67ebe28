#pragma once

#include "carobflow/core/types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// The cancellations of jobs that are not known. A submission that was sent before the cancellation may arrive later:
/// an entry that stood still passes it on, the store performs a write late, or the client repeats a request that had no
/// answer. Such a job must not run.
///
/// Clients can cancel jobs that never existed, without end, so the tombstones are bounded in number and time.
class Tombstones
{
public:
    struct Options {
        /// Bounds the memory of a leader, and the rows that its successor loads before it answers.
        std::size_t limit = 4000;
        /// Each cancellation is remembered for at least half of this time. Covers the time for which an entry that
        /// stood still submits requests, and writes that the store performs seconds late.
        Duration retention = Seconds(240);
    };

    enum class Outcome {
        /// It has to be stored before the client is answered.
        Added,
        Known,
        /// There are too many. Nothing is remembered.
        Full,
    };

    explicit Tombstones(Options options)
        : m_options(options)
    {
    }

    /// Remembers a cancellation within the limit.
    Outcome add(std::string_view job, std::string_view queue, TimePoint now);

    /// Remembers a cancellation that a client has been told of, whatever the limit.
    void addPromised(std::string_view job, std::string_view queue, TimePoint now);

    /// Adds a stored tombstone.
    void restore(std::string_view job, std::set<std::string, std::less<>> queues, TimePoint until);

    /// True when a submission of this job to this queue must not run. The same id in another queue is another job.
    [[nodiscard]] bool covers(std::string_view job, std::string_view queue) const;

    /// The queues of a tombstone, and until when it is kept.
    struct Tombstone {
        std::set<std::string, std::less<>> queues;
        TimePoint until;
    };

    /// Null when there is none.
    [[nodiscard]] const Tombstone *find(std::string_view job) const;

    /// Removes the tombstones whose time has passed and returns their jobs.
    std::vector<std::string> takeExpired(TimePoint now);

    [[nodiscard]] Duration retention() const
    {
        return m_options.retention;
    }

    /// Number of pairs of a job and a queue.
    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

private:
    Options m_options;
    std::map<std::string, Tombstone, std::less<>> m_tombstones;
    std::size_t m_size = 0;
};

} // namespace Carobflow::Scheduling
