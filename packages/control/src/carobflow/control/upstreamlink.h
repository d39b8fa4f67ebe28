#pragma once

#include "carobflow/scheduler/orders.h"
#include "carobflow/scheduler/workload.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// A request to the upstream for its lists, which may renew the lease of all its runs.
struct LeaseRequest {
    Scheduling::UpstreamIdentity upstream;
    /// The epoch of the leader that the agent follows; the upstream refuses lower ones from then on.
    Epoch fencingToken = 0;
    /// Ends up to this number are in the store and may be forgotten.
    std::uint64_t acknowledgedEnd = 0;
    /// On the upstream's clock; without it no lease is renewed.
    std::optional<std::int64_t> leaseUntilMs;
    /// The upstream may hold back its answer for this long while no run ends.
    Milliseconds wait{0};
};

/// What runs on an upstream and what has ended there.
struct UpstreamLists {
    std::int64_t incarnation = 0;
    /// The upstream's steady clock when it answered.
    std::int64_t clockMs = 0;
    std::vector<Scheduling::RunningRun> running;
    std::vector<Scheduling::EndedRun> ended;
};

/// Another life of the upstream answered.
struct OtherIncarnation {
};

/// No answer that can be used.
struct UpstreamSilent {
    std::string reason;
};

using LeaseOutcome = std::variant<UpstreamLists, OtherIncarnation, UpstreamSilent>;

/// The agent's way to the upstream on its host.
class UpstreamLink
{
public:
    UpstreamLink() = default;
    virtual ~UpstreamLink() = default;
    UpstreamLink(const UpstreamLink &) = delete;
    UpstreamLink &operator=(const UpstreamLink &) = delete;

    virtual boost::asio::awaitable<LeaseOutcome> renew(LeaseRequest request) = 0;

    /// Starts a run under a lease. Started also when the run is there already.
    virtual boost::asio::awaitable<Scheduling::StartOutcome>
    start(Scheduling::StartOrder order, Epoch fencingToken, std::int64_t leaseUntilMs) = 0;

    /// Stops a run and keeps it from starting later. False without an answer.
    virtual boost::asio::awaitable<bool>
    stop(Scheduling::UpstreamIdentity upstream, Scheduling::RunId run, Epoch fencingToken) = 0;

    /// Limits a run to a share of its work, 0 to 100. False without an answer.
    virtual boost::asio::awaitable<bool>
    pace(Scheduling::UpstreamIdentity upstream, Scheduling::RunId run, std::uint32_t percent, Epoch fencingToken) = 0;
};

} // namespace Carobflow
