#include "carobflow/core/internal/servicegroup.h"

#include "carobflow/core/internal/upstreamhealth.h"

#include <algorithm>

#include <boost/random/uniform_int_distribution.hpp>

namespace Carobflow
{

namespace
{

using Availability = UpstreamHealth::Availability;

/// Random draws for one candidate before the group is searched from a random position.
constexpr int MaxDraws = 4;
/// A local upstream is clearly worse when its expected time is more than this multiple of a remote one's. Latency
/// estimates of equal upstreams differ by less, and the round trip between data centres is a few milliseconds at most.
constexpr double RemoteFactor = 2;

struct Candidate {
    const Upstream *upstream = nullptr;
    UpstreamHealth::Load load;
};

std::size_t randomIndex(RandomEngine &engine, std::size_t size)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, size - 1)(engine);
}

bool isEligible(const Upstream &upstream, const ChoiceRequest &request)
{
    return std::ranges::find(request.excludedHosts, upstream.host) == request.excludedHosts.end()
        && upstream.health->isAnnouncedSince(request.earliestAnnouncement);
}

/// Latency of a candidate in milliseconds, with its penalty. Without an estimate it is taken to be that of the other
/// candidate.
double latencyOf(const Candidate &candidate, const Candidate &other)
{
    const double estimate = candidate.load.latency.value_or(other.load.latency.value_or(1));
    return std::max(estimate, candidate.load.stalledMs) * candidate.load.penalty;
}

double utilisation(const Candidate &candidate)
{
    return (candidate.load.requests + 1) / std::max(1U, candidate.upstream->slots);
}

double cost(const Candidate &candidate, const Candidate &other)
{
    return latencyOf(candidate, other) * utilisation(candidate);
}

/// Unlike cost(), this does not rise while there are free slots, so that light load alone sends no requests to another
/// data centre.
double expectedTime(const Candidate &candidate, const Candidate &other)
{
    return latencyOf(candidate, other) * std::max(1.0, utilisation(candidate));
}

class Chooser
{
public:
    Chooser(const ChoiceRequest &request, RandomEngine &engine)
        : m_request(request)
        , m_engine(engine)
    {
    }

    /// The better of two candidates; `probe` is set instead when a candidate is to be probed.
    Candidate chooseFrom(const ServiceGroup::Members &members, const Upstream *&probe)
    {
        const Candidate first = draw(members, nullptr, probe);
        if (first.upstream == nullptr || probe != nullptr) {
            return first;
        }
        const Candidate second = draw(members, first.upstream, probe);
        if (second.upstream == nullptr || cost(first, second) <= cost(second, first)) {
            return first;
        }
        return second;
    }

    /// Any upstream that may be tried, ejected or not.
    Choice chooseAny(const ServiceGroup &group)
    {
        const std::size_t size = group.local.size() + group.remote.size();
        const auto at = [&group](std::size_t index) -> const Upstream & {
            return index < group.local.size() ? *group.local[index] : *group.remote[index - group.local.size()];
        };
        const auto take = [this](const Upstream &upstream) {
            return Choice{.upstream = &upstream, .probe = upstream.health->tryBeginProbe(m_request.now)};
        };
        for (int attempt = 0; size > 0 && attempt < MaxDraws; ++attempt) {
            const Upstream &upstream = at(randomIndex(m_engine, size));
            if (isEligible(upstream, m_request)) {
                return take(upstream);
            }
        }
        const std::size_t start = size == 0 ? 0 : randomIndex(m_engine, size);
        for (std::size_t offset = 0; offset < size; ++offset) {
            const Upstream &upstream = at((start + offset) % size);
            if (isEligible(upstream, m_request)) {
                return take(upstream);
            }
        }
        return {};
    }

private:
    bool isCandidate(const Upstream &upstream, const Upstream *other, const Upstream *&probe)
    {
        if (&upstream == other || !isEligible(upstream, m_request)) {
            return false;
        }
        const auto availability = upstream.health->availability(m_request.now);
        if (availability == Availability::ProbeDue && m_request.excludedHosts.empty()
            && upstream.health->tryBeginProbe(m_request.now)) {
            probe = &upstream;
        }
        return probe != nullptr || availability == Availability::Available;
    }

    Candidate draw(const ServiceGroup::Members &members, const Upstream *other, const Upstream *&probe)
    {
        if (members.empty()) {
            return {};
        }
        for (int attempt = 0; attempt < MaxDraws; ++attempt) {
            const Upstream &upstream = *members[randomIndex(m_engine, members.size())];
            if (isCandidate(upstream, other, probe)) {
                return {.upstream = &upstream, .load = upstream.health->load(m_request.now)};
            }
        }
        const std::size_t start = randomIndex(m_engine, members.size());
        for (std::size_t offset = 0; offset < members.size(); ++offset) {
            const Upstream &upstream = *members[(start + offset) % members.size()];
            if (isCandidate(upstream, other, probe)) {
                return {.upstream = &upstream, .load = upstream.health->load(m_request.now)};
            }
        }
        return {};
    }

    const ChoiceRequest &m_request;
    RandomEngine &m_engine;
};

} // namespace

Choice chooseByLoad(const ServiceGroup &group, const ChoiceRequest &request, RandomEngine &engine)
{
    Chooser chooser(request, engine);
    const Upstream *probe = nullptr;
    const Candidate local = chooser.chooseFrom(group.local, probe);
    const Candidate remote = probe == nullptr ? chooser.chooseFrom(group.remote, probe) : Candidate{};
    if (probe != nullptr) {
        return {.upstream = probe, .probe = true};
    }
    if (local.upstream != nullptr && remote.upstream != nullptr) {
        const bool useRemote = expectedTime(local, remote) > RemoteFactor * expectedTime(remote, local);
        return {.upstream = useRemote ? remote.upstream : local.upstream};
    }
    if (local.upstream != nullptr || remote.upstream != nullptr) {
        return {.upstream = local.upstream != nullptr ? local.upstream : remote.upstream};
    }
    // All are ejected. The cause may be in this process, and agents refuse requests that they cannot run, so an attempt
    // does no harm.
    return chooser.chooseAny(group);
}

Choice chooseUniformly(const ServiceGroup &group, const ChoiceRequest &request, RandomEngine &engine)
{
    Chooser chooser(request, engine);
    return chooser.chooseAny(group);
}

} // namespace Carobflow
