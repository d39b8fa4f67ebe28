#include "carobflow/control/leaderdirectory.h"

#include "carobflow/control/storelayout.h"
#include "carobflow/logging/log.h"

namespace Carobflow
{

bool LeaderDirectory::learn(Epoch epoch, std::string_view address)
{
    if (epoch > StoreLayout::HighestEpoch) {
        logWarning("leader-ignored").with("epoch", epoch).with("address", address);
        return false;
    }
    const std::lock_guard lock(m_mutex);
    // Within an epoch only the resignation of its leader changes the address.
    const bool newer = epoch > m_leader.epoch;
    const bool resigned = epoch == m_leader.epoch && address.empty() && !m_leader.address.empty();
    if (!newer && !resigned) {
        return false;
    }
    logInfo("leader-learned").with("epoch", epoch).with("address", address).with("before", m_leader.epoch);
    m_leader = {.epoch = epoch, .address = std::string(address)};
    return true;
}

LeaderDirectory::Leader LeaderDirectory::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_leader;
}

void LeaderDirectory::noteAnswer(Epoch epoch, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_answeredEpoch = epoch;
    m_answeredAt = now;
}

bool LeaderDirectory::hasAnsweredSince(Epoch epoch, TimePoint time) const
{
    const std::lock_guard lock(m_mutex);
    return m_answeredEpoch == epoch && m_answeredAt >= time;
}

carobflow::control::LeaderHint LeaderDirectory::hint() const
{
    const Leader leader = current();
    carobflow::control::LeaderHint hint;
    hint.set_epoch(leader.epoch);
    hint.set_address(leader.address);
    return hint;
}

void LeaderDirectory::setPeers(std::vector<std::string> peers)
{
    const std::lock_guard lock(m_mutex);
    m_peers = std::move(peers);
}

std::vector<std::string> LeaderDirectory::peers() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers;
}

} // namespace Carobflow
