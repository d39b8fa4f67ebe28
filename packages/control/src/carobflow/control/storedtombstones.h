#pragma once

#include "carobflow/connectors/watchabletable.h"
#include "carobflow/control/transactionbatch.h"
#include "carobflow/scheduler/tombstones.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Carobflow
{

/// The tombstones of a leader and their rows in the store, from which its successor has them.
class StoredTombstones
{
public:
    StoredTombstones(Scheduling::Tombstones::Options options, const TableClock &clock);

    /// Takes over the rows of former leaders. Rows that cannot be read are removed.
    void restore(std::span<const Row> rows, TimePoint now);

    /// Remembers the cancellation of an unknown job. The client may be told when isStored() is true.
    Scheduling::Tombstones::Outcome add(const std::string &job, std::string_view queue, TimePoint now);

    /// Remembers a cancellation that an entry has confirmed by a row of the inbox, which is removed in the same write.
    void addFromInbox(const std::string &job, std::string_view queue, const std::string &inboxKey, TimePoint now);

    [[nodiscard]] bool covers(std::string_view job, std::string_view queue) const
    {
        return m_tombstones.covers(job, queue);
    }

    /// True when all that is remembered of a job is in the store.
    [[nodiscard]] bool isStored(const std::string &job) const
    {
        return !m_unstored.contains(job) && !m_writing.contains(job);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_tombstones.size();
    }

    /// Forgets the tombstones whose time has passed.
    void expire(TimePoint now);

    /// Adds changed rows to a write, and the removal of expired ones, until one does not fit. Returns true when all
    /// did.
    bool addTo(TransactionBatch &batch);

    /// Notes that the last write is in the store.
    void onCommitted();

private:
    [[nodiscard]] Mutation rowOf(const std::string &job) const;

    Scheduling::Tombstones m_tombstones;
    const TableClock &m_clock;
    /// Jobs whose row is not part of a write yet, with the keys of the inbox rows that the write removes.
    std::map<std::string, std::set<std::string>> m_unstored;
    /// Jobs whose row is part of the write in progress.
    std::set<std::string> m_writing;
    /// Jobs whose row has to be removed.
    std::set<std::string> m_removed;
};

} // namespace Carobflow
