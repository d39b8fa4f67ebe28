#include "carobflow/scheduler/tombstones.h"

#include <algorithm>
#include <utility>

namespace Carobflow::Scheduling
{
namespace
{

/// Queues of one id. Their names fit into one row of the store.
constexpr std::size_t MaxQueues = 16;

} // namespace

Tombstones::Outcome Tombstones::add(std::string_view job, std::string_view queue, TimePoint now)
{
    const Tombstone *known = find(job);
    const bool isKnown = known != nullptr && known->queues.contains(queue);
    if (isKnown && known->until - now >= m_options.retention / 2) {
        return Outcome::Known;
    }
    const bool hasRoom = m_size < m_options.limit && (known == nullptr || known->queues.size() < MaxQueues);
    if (!isKnown && !hasRoom) {
        return Outcome::Full;
    }
    addPromised(job, queue, now);
    return Outcome::Added;
}

void Tombstones::addPromised(std::string_view job, std::string_view queue, TimePoint now)
{
    Tombstone &tombstone = m_tombstones[std::string(job)];
    m_size += tombstone.queues.emplace(queue).second ? 1 : 0;
    tombstone.until = now + m_options.retention;
}

void Tombstones::restore(std::string_view job, std::set<std::string, std::less<>> queues, TimePoint until)
{
    Tombstone &tombstone = m_tombstones[std::string(job)];
    m_size -= tombstone.queues.size();
    tombstone.queues.merge(queues);
    tombstone.until = std::max(tombstone.until, until);
    m_size += tombstone.queues.size();
}

bool Tombstones::covers(std::string_view job, std::string_view queue) const
{
    const Tombstone *tombstone = find(job);
    return tombstone != nullptr && tombstone->queues.contains(queue);
}

const Tombstones::Tombstone *Tombstones::find(std::string_view job) const
{
    const auto found = m_tombstones.find(job);
    return found == m_tombstones.end() ? nullptr : &found->second;
}

std::vector<std::string> Tombstones::takeExpired(TimePoint now)
{
    std::vector<std::string> expired;
    std::erase_if(m_tombstones, [&](const auto &entry) {
        if (now < entry.second.until) {
            return false;
        }
        m_size -= entry.second.queues.size();
        expired.push_back(entry.first);
        return true;
    });
    return expired;
}

} // namespace Carobflow::Scheduling
