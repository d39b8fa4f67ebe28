#pragma once

#include "carobflow/core/types.h"

#include <mutex>
#include <string>
#include <vector>

#include <control.pb.h>

namespace Carobflow
{

/// The leader and the peers that this process knows. Safe to call from several threads.
class LeaderDirectory
{
public:
    struct Leader {
        Epoch epoch = 0;
        /// Empty when the leader of this epoch has resigned.
        std::string address;
    };

    /// Records a leader; older epochs are ignored. Returns true when the known leader has changed.
    bool learn(Epoch epoch, std::string_view address);

    bool learn(const carobflow::control::LeaderHint &hint)
    {
        return hint.epoch() > 0 && learn(hint.epoch(), hint.address());
    }

    [[nodiscard]] Leader current() const;

    /// Notes that the leader of this epoch has answered this process.
    void noteAnswer(Epoch epoch, TimePoint now);

    /// True when the leader of this epoch has answered since the given time.
    [[nodiscard]] bool hasAnsweredSince(Epoch epoch, TimePoint time) const;

    /// The known leader in the form in which messages carry it.
    [[nodiscard]] carobflow::control::LeaderHint hint() const;

    /// Other processes to contact when the leader is not known or does not answer.
    void setPeers(std::vector<std::string> peers);
    [[nodiscard]] std::vector<std::string> peers() const;

private:
    mutable std::mutex m_mutex;
    Leader m_leader;
    Epoch m_answeredEpoch = 0;
    TimePoint m_answeredAt;
    std::vector<std::string> m_peers;
};

} // namespace Carobflow
