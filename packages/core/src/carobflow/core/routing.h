#pragma once

#include "carobflow/core/sheet.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

class UpstreamHealth;

/// An upstream as used on the request path.
struct Upstream {
    std::string host;
    std::string dataCentre;
    std::string agentAddress;
    std::string service;
    std::uint32_t slots = 0;
    /// Shared by all snapshots that hold this upstream.
    std::shared_ptr<UpstreamHealth> health;
    /// True when the attempt that choose() counted is the probe of an ejected upstream.
    bool probe = false;
};

/// An announcement of an agent: the upstreams on its host.
struct Announcement {
    struct Service {
        std::string name;
        std::uint32_t slots = 0;
        std::uint32_t connections = 0;
        bool leaving = false;
    };

    std::string host;
    std::string dataCentre;
    std::string agentAddress;
    std::uint64_t bootId = 0;
    std::uint64_t sequence = 0;
    std::vector<Service> services;
};

/// The result of an attempt as far as it concerns the health of the upstream. Cancelled: the caller abandoned the
/// attempt before its deadline, for example because another attempt of the same request was answered first.
enum class AttemptResult { Answered, NotRun, Unknown, Cancelled };

/// Selects upstreams for requests. Announcements, the sheet and drains replace an immutable snapshot; choose() reads it
/// through read-copy-update and never waits for a writer. Safe to call from several threads.
class Routing
{
public:
    struct Options {
        /// The data centre of this entry.
        std::string dataCentre;
        /// Age from which an announcement is ignored.
        Milliseconds announcementTimeout{2000};
        /// Consecutive attempts without an answer after which an upstream is ejected.
        std::uint32_t ejectAfterFailures = 3;
        /// First ejection time; it doubles with each failed probe up to eight times this value.
        Milliseconds ejectionTime{1000};
        /// False selects the baseline policy: uniform random choice without ejection.
        bool adaptivePolicy = true;
        std::uint64_t seed = 1;
    };

    explicit Routing(Options options);
    ~Routing();
    Routing(const Routing &) = delete;
    Routing &operator=(const Routing &) = delete;

    void onAnnouncement(TimePoint now, const Announcement &announcement);
    void setSheet(std::shared_ptr<const Sheet> sheet);

    /// Sets the hosts whose upstreams get no new requests because an operator drains them.
    void setDrainedHosts(std::vector<std::string> hosts);

    /// Removes announcements that have timed out; called a few times a second.
    void expire(TimePoint now);

    /// Chooses an upstream of the service and counts one outstanding attempt on it; the caller ends it with settle().
    /// Returns nothing when there is no upstream in service outside `excludedHosts`. An ejected upstream is returned
    /// only as a probe, or when all others are ejected too.
    std::optional<Upstream>
    choose(TimePoint now, std::string_view service, std::span<const std::string> excludedHosts = {});

    /// Ends an attempt. `outstanding` is the number of requests in progress that the agent reported.
    void
    settle(TimePoint now, const Upstream &upstream, AttemptResult result, Duration latency, std::uint32_t outstanding);

    /// The sheet's entry of a service; empty when the sheet does not list it.
    [[nodiscard]] std::optional<ServiceEntry> findService(std::string_view service) const;

    /// The state of an upstream as shown to operators.
    struct View {
        Upstream upstream;
        bool inService = true;
        bool leaving = false;
        bool drained = false;
        bool ejected = false;
        std::uint32_t outstanding = 0;
        double latencyMilliseconds = 0;
    };

    [[nodiscard]] std::vector<View> list(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Carobflow
