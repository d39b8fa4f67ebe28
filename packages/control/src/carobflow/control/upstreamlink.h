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

/// A request for the upstream's lists, which may also renew the lease of all its runs.
struct LeaseRequest {
    Scheduling::UpstreamIdentity upstream;
    /// Epoch of the leader that the agent follows; the upstream rejects lower epochs from then on.
    Epoch fencingToken = 0;
    /// Ended runs up to this number are stored; the upstream may discard them.
    std::uint64_t acknowledgedEnd = 0;
    /// Expiry of the lease on the upstream's clock; no lease is renewed without it.
    std::optional<std::int64_t> leaseUntilMs;
    /// Long-poll time: the upstream answers when a run ends, and after this time at the latest.
    Milliseconds wait{0};
};

/// Running and ended runs of an upstream.
struct UpstreamLists {
    std::int64_t incarnation = 0;
    /// The upstream's steady clock when it answered.
    std::int64_t clockMs = 0;
    std::vector<Scheduling::RunningRun> running;
    std::vector<Scheduling::EndedRun> ended;
    /// The upstream may have further ended runs, which it lists once these are acknowledged.
    bool moreEnds = false;
    /// The beginning of each entry that cannot be used. None of them is in the lists above.
    std::vector<std::string> unreadable;
    /// The highest number of an end among them; 0 when there is none.
    std::uint64_t unreadableEnd = 0;
};

/// A different incarnation of the upstream answered.
struct OtherIncarnation {
};

/// The upstream gave no usable answer.
struct UpstreamSilent {
    std::string reason;
};

using LeaseOutcome = std::variant<UpstreamLists, OtherIncarnation, UpstreamSilent>;

/// The agent's interface to the upstream on its host.
class UpstreamLink
{
public:
    UpstreamLink() = default;
    virtual ~UpstreamLink() = default;
    UpstreamLink(const UpstreamLink &) = delete;
    UpstreamLink &operator=(const UpstreamLink &) = delete;

    virtual boost::asio::awaitable<LeaseOutcome> renew(LeaseRequest request) = 0;

    /// Starts a run under a lease. Returns Started also when the run exists already.
    virtual boost::asio::awaitable<Scheduling::StartOutcome>
    start(Scheduling::StartOrder order, Epoch fencingToken, std::int64_t leaseUntilMs) = 0;

    /// Stops a run and prevents it from starting later. Returns false when the upstream does not answer.
    virtual boost::asio::awaitable<bool>
    stop(Scheduling::UpstreamIdentity upstream, Scheduling::RunId run, Epoch fencingToken) = 0;

    /// Limits a run to a percentage of its work, 0 to 100. Returns false when the upstream does not answer.
    virtual boost::asio::awaitable<bool>
    pace(Scheduling::UpstreamIdentity upstream, Scheduling::RunId run, std::uint32_t percent, Epoch fencingToken) = 0;
};

} // namespace Carobflow
