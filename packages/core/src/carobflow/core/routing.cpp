#include "carobflow/core/routing.h"

#include "carobflow/core/internal/announcementtable.h"
#include "carobflow/core/internal/rcupointer.h"
#include "carobflow/core/internal/servicegroup.h"
#include "carobflow/core/internal/upstreamhealth.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace Carobflow
{

namespace
{

/// The data that the request path reads. Successive snapshots share the groups that did not change.
struct Snapshot {
    std::shared_ptr<const Sheet> sheet;
    std::map<std::string, std::shared_ptr<const ServiceGroup>, std::less<>> groups;
};

std::uint64_t nextInstance()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

} // namespace

class Routing::Private
{
public:
    explicit Private(Options routingOptions)
        : options(std::move(routingOptions))
        , announcements(options.announcementTimeout,
                        {.ejectAfterFailures = options.ejectAfterFailures,
                         .ejectionTime = options.ejectionTime,
                         .canEject = options.adaptivePolicy})
        , snapshot(std::make_unique<Snapshot>())
    {
    }

    /// The calling thread's random engine for this instance.
    RandomEngine &engine()
    {
        struct ThreadEngine {
            std::uint64_t instance = 0;
            RandomEngine engine;
        };
        thread_local ThreadEngine current;
        if (current.instance != instance) {
            std::seed_seq sequence{
                options.seed & 0xffffffffU, options.seed >> 32U, std::uint64_t{threads.fetch_add(1)}};
            current.engine.seed(sequence);
            current.instance = instance;
        }
        return current.engine;
    }

    [[nodiscard]] bool isInService(const Upstream &upstream) const
    {
        return !sheet || sheet->isInService(upstream.dataCentre);
    }

    [[nodiscard]] std::shared_ptr<const ServiceGroup> makeGroup(const AnnouncementTable::Members &members) const
    {
        auto group = std::make_shared<ServiceGroup>();
        for (const auto &[host, member] : members) {
            if (!member.leaving && !drainedHosts.contains(host) && isInService(*member.upstream)) {
                const bool local = member.upstream->dataCentre == options.dataCentre;
                (local ? group->local : group->remote).push_back(member.upstream);
            }
        }
        return group;
    }

    /// Publishes a snapshot in which the groups of the given services are rebuilt.
    template<typename Names>
    void publish(const Names &names)
    {
        for (const auto &name : names) {
            const auto members = announcements.services().find(name);
            if (members == announcements.services().end()) {
                groups.erase(name);
            } else {
                groups[name] = makeGroup(members->second);
            }
        }
        snapshot.replace(std::make_unique<Snapshot>(Snapshot{.sheet = sheet, .groups = groups}));
    }

    void publishAll()
    {
        std::vector<std::string> names;
        for (const auto &service : announcements.services()) {
            names.push_back(service.first);
        }
        publish(names);
    }

    const Options options;
    const std::uint64_t instance = nextInstance();
    std::atomic<std::uint32_t> threads{0};

    /// Held by writers only.
    std::mutex mutex;
    AnnouncementTable announcements;
    std::set<std::string, std::less<>> drainedHosts;
    std::shared_ptr<const Sheet> sheet;
    std::map<std::string, std::shared_ptr<const ServiceGroup>, std::less<>> groups;

    RcuPointer<Snapshot> snapshot;
};

Routing::Routing(Options options)
    : m_d(std::make_unique<Private>(std::move(options)))
{
}

Routing::~Routing() = default;

void Routing::onAnnouncement(TimePoint now, const Announcement &announcement)
{
    const std::scoped_lock lock(m_d->mutex);
    if (const auto changed = m_d->announcements.apply(now, announcement); !changed.empty()) {
        m_d->publish(changed);
    }
}

void Routing::setSheet(std::shared_ptr<const Sheet> sheet)
{
    const std::scoped_lock lock(m_d->mutex);
    m_d->sheet = std::move(sheet);
    m_d->publishAll();
}

void Routing::setDrainedHosts(std::vector<std::string> hosts)
{
    const std::scoped_lock lock(m_d->mutex);
    std::set<std::string, std::less<>> drained(hosts.begin(), hosts.end());
    if (drained != m_d->drainedHosts) {
        m_d->drainedHosts = std::move(drained);
        m_d->publishAll();
    }
}

void Routing::expire(TimePoint now)
{
    const std::scoped_lock lock(m_d->mutex);
    if (const auto changed = m_d->announcements.expire(now); !changed.empty()) {
        m_d->publish(changed);
    }
}

std::optional<Upstream>
Routing::choose(TimePoint now, std::string_view service, std::span<const std::string> excludedHosts)
{
    const ChoiceRequest request{
        .now = now, .earliestAnnouncement = now - m_d->options.announcementTimeout, .excludedHosts = excludedHosts};
    return m_d->snapshot.read([&](const Snapshot &snapshot) -> std::optional<Upstream> {
        const auto group = snapshot.groups.find(service);
        if (group == snapshot.groups.end()) {
            return std::nullopt;
        }
        const Choice choice = m_d->options.adaptivePolicy ? chooseByLoad(*group->second, request, m_d->engine())
                                                          : chooseUniformly(*group->second, request, m_d->engine());
        if (choice.upstream == nullptr) {
            return std::nullopt;
        }
        choice.upstream->health->begin(now);
        std::optional<Upstream> result(*choice.upstream);
        result->probe = choice.probe;
        return result;
    });
}

void Routing::settle(
    TimePoint now, const Upstream &upstream, AttemptResult result, Duration latency, std::uint32_t outstanding)
{
    upstream.health->settle(now, result, latency, outstanding, upstream.probe);
}

std::optional<ServiceEntry> Routing::findService(std::string_view service) const
{
    return m_d->snapshot.read([&](const Snapshot &snapshot) -> std::optional<ServiceEntry> {
        const ServiceEntry *entry = snapshot.sheet ? snapshot.sheet->findService(service) : nullptr;
        return entry == nullptr ? std::nullopt : std::optional(*entry);
    });
}

std::vector<Routing::View> Routing::list(TimePoint now) const
{
    const std::scoped_lock lock(m_d->mutex);
    std::vector<View> views;
    for (const auto &[service, members] : m_d->announcements.services()) {
        for (const auto &[host, member] : members) {
            const UpstreamHealth &health = *member.upstream->health;
            views.push_back({.upstream = *member.upstream,
                             .inService = m_d->isInService(*member.upstream),
                             .leaving = member.leaving,
                             .drained = m_d->drainedHosts.contains(host),
                             .ejected = health.availability(now) != UpstreamHealth::Availability::Available,
                             .outstanding = health.outstanding(),
                             .latencyMilliseconds = health.load(now).latency.value_or(0)});
        }
    }
    return views;
}

} // namespace Carobflow
