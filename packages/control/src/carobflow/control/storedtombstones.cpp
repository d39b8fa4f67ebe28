#include "carobflow/control/storedtombstones.h"

#include "carobflow/control/storedrows.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <utility>

#include <control.pb.h>

namespace Carobflow
{

namespace wire = carobflow::control;
using Scheduling::Tombstones;

StoredTombstones::StoredTombstones(Tombstones::Options options, const TableClock &clock)
    : m_tombstones(options)
    , m_clock(clock)
{
}

void StoredTombstones::restore(std::span<const Row> rows, TimePoint now)
{
    const auto storeNow = m_clock.earliest(now);
    for (const Row &row : rows) {
        const std::string job = StoredRows::nameOf(row, StoreLayout::TombstonePrefix);
        wire::Tombstone tombstone;
        if (!tombstone.ParseFromString(row.value) || tombstone.queues().empty()) {
            logError("tombstone-unreadable")
                .with("row", row.key)
                .with("remedy", "none needed; the row is removed, and a late submission of the job may run");
            m_removed.insert(job);
            continue;
        }
        const Milliseconds until(tombstone.until_store_ms());
        const bool isDated = storeNow && until.count() > 0;
        const Duration left = isDated ? std::min<Duration>(until - *storeNow, m_tombstones.retention())
                                      : m_tombstones.retention();
        m_tombstones.restore(job, {tombstone.queues().begin(), tombstone.queues().end()}, now + left);
    }
}

Tombstones::Outcome StoredTombstones::add(const std::string &job, std::string_view queue, TimePoint now)
{
    const Tombstones::Outcome outcome = m_tombstones.add(job, queue, now);
    if (outcome == Tombstones::Outcome::Added) {
        m_unstored.try_emplace(job);
        m_removed.erase(job);
    }
    return outcome;
}

void StoredTombstones::addFromInbox(const std::string &job,
                                    std::string_view queue,
                                    const std::string &inboxKey,
                                    TimePoint now)
{
    m_tombstones.addPromised(job, queue, now);
    m_unstored[job].insert(inboxKey);
    m_removed.erase(job);
}

void StoredTombstones::expire(TimePoint now)
{
    for (std::string &job : m_tombstones.takeExpired(now)) {
        m_unstored.erase(job);
        m_removed.insert(std::move(job));
    }
}

Mutation StoredTombstones::rowOf(const std::string &job) const
{
    const Tombstones::Tombstone &known = *m_tombstones.find(job);
    wire::Tombstone tombstone;
    for (const std::string &queue : known.queues) {
        tombstone.add_queues(queue);
    }
    tombstone.set_until_store_ms(m_clock.latest(known.until).value_or(Milliseconds(0)).count());
    return {.key = StoreLayout::keyOf(StoreLayout::TombstonePrefix, job), .value = tombstone.SerializeAsString()};
}

bool StoredTombstones::addTo(TransactionBatch &batch)
{
    while (!m_unstored.empty()) {
        const auto &[job, inboxKeys] = *m_unstored.begin();
        std::vector<Mutation> group{rowOf(job)};
        for (const std::string &key : inboxKeys) {
            group.push_back({.key = key, .value = std::nullopt});
        }
        if (!batch.add(std::move(group))) {
            return false;
        }
        m_writing.insert(job);
        m_unstored.erase(m_unstored.begin());
    }
    while (!m_removed.empty()) {
        if (!batch.add({{.key = StoreLayout::keyOf(StoreLayout::TombstonePrefix, *m_removed.begin()),
                         .value = std::nullopt}})) {
            return false;
        }
        m_removed.erase(m_removed.begin());
    }
    return true;
}

void StoredTombstones::onCommitted()
{
    m_writing.clear();
}

} // namespace Carobflow
