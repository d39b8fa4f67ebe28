#include "carobflow/control/hostagent.h"

#include "carobflow/control/conversion.h"
#include "carobflow/core/clock.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;
using Scheduling::StartOutcome;
using Scheduling::StopOutcome;

namespace
{

/// Long-poll time of a call for lists. The list of current runs is at most this old; ended runs are returned at once.
constexpr Milliseconds RenewWait{400};
/// The same while fillers run beside services, whose tail latency can exceed its target within a second.
constexpr Milliseconds PacedRenewWait{100};
constexpr Milliseconds RenewRetryDelay{100};
/// Time after which a pending announcement is looked for without a notice.
constexpr Seconds ConfirmIdleInterval{10};
/// Time after an answer of the upstream for which it proves that announcements of earlier incarnations are late. Later
/// the upstream is asked again, since an incarnation whose clock was set back has an earlier start time.
constexpr Milliseconds ListedProofTime{5000};
/// Delay between calls while ended runs are not acknowledged, since the upstream then answers at once. Newly ended runs
/// are seen this much later.
constexpr Milliseconds PendingEndsRenewInterval{25};
/// Report interval while ended runs are not acknowledged. Acknowledgements come with the replies to reports; the write
/// that they wait for takes about 10 ms.
constexpr Milliseconds PendingEndsReportInterval{60};
/// Three reports fit into the time after which a silent host is sent no start orders.
constexpr Milliseconds ReportInterval{400};
constexpr Milliseconds ReportTimeout{600};
constexpr Milliseconds ReportRetryDelay{60};
/// Several times the number of runs on a host. Entries of ended tasks are not removed one by one; beyond this size all
/// are dropped.
constexpr std::size_t MaxDescriptions = 1000;
/// A run is not started under a shorter lease; renewals arrive every 0.4 s.
constexpr Milliseconds ShortestStartLease{1000};
/// Leases that end sooner are renewed at once when the leader allows longer ones again.
constexpr Milliseconds ShortLease{2000};
/// A report that is answered within this time has not waited for a busy leader; a write of the store takes 5 to 10 ms.
constexpr Milliseconds PromptAnswer{50};

/// Negative when the time has passed.
Milliseconds timeLeft(TimePoint until)
{
    return std::chrono::duration_cast<Milliseconds>(until - suspendAwareNow());
}

} // namespace

HostAgent::HostAgent(const asio::any_io_executor &executor,
                     Options options,
                     UpstreamLink &link,
                     LeaderDirectory &directory,
                     OperatorSync &operators,
                     ControlCaller &caller,
                     AnnouncementReport &announcements)
    : m_strand(asio::make_strand(executor))
    , m_options(std::move(options))
    , m_link(link)
    , m_directory(directory)
    , m_operators(operators)
    , m_caller(caller)
    , m_announcements(announcements)
    , m_incarnation(randomNumber())
    , m_reportNow(m_strand)
    , m_renewNow(m_strand)
    , m_confirmNow(m_strand)
    , m_leases(m_options.leaseTimes, suspendAwareNow())
    , m_leaderAnsweredAt(suspendAwareNow())
{
}

void HostAgent::start()
{
    spawnLoop(m_strand, renewLoop());
    spawnLoop(m_strand, reportLoop());
    spawnLoop(m_strand, confirmLoop());
}

Duration HostAgent::leaderSilence() const
{
    return suspendAwareNow() - m_leaderAnsweredAt;
}

void HostAgent::resetUpstream(const Scheduling::UpstreamAnnouncement &announcement)
{
    const Scheduling::UpstreamDescription &upstream = announcement.upstream;
    logInfo("upstream-known")
        .with("upstream", upstream.identity.id)
        .with("incarnation", upstream.identity.incarnation)
        .with("service", upstream.service)
        .with("service_configured", isNamedService(upstream.service))
        .with("before", m_upstream ? m_upstream->identity.id : "none");
    if (m_upstream && m_upstream->identity.id == upstream.identity.id) {
        m_leases.onRestarted(suspendAwareNow());
    }
    m_leases.onAnnounced();
    // A new incarnation knows no leader.
    m_upstream = upstream;
    m_listedIncarnation = upstream.identity.incarnation;
    m_fencedEpoch = 0;
    m_acknowledgedEnd = 0;
    m_listsStoredEnds = false;
    m_clockAt = {};
    m_running.clear();
    m_firstListedAt.clear();
    m_ended.clear();
    m_moreEnds = false;
    m_unreadable.clear();
    m_descriptions.clear();
    use(announcement, true);
    m_renewNow.notify();
}

void HostAgent::use(const Scheduling::UpstreamAnnouncement &announcement, bool isNew)
{
    const bool drainingNow = announcement.upstream.draining && (isNew || !m_upstream->draining);
    m_sequence = announcement.sequence;
    m_upstream = announcement.upstream;
    m_leaving = false;
    if (drainingNow) {
        logInfo("upstream-draining").with("upstream", m_upstream->identity.id);
        m_reportDue = true;
        m_reportNow.notify();
    }
}

bool HostAgent::isNamedService(std::string_view service) const
{
    const auto view = m_operators.current();
    return view && view->namesService(service);
}

bool HostAgent::isOutdated(const Scheduling::UpstreamIdentity &identity) const
{
    return m_upstream && identity.id == m_upstream->identity.id && identity.incarnation < m_listedIncarnation
        && suspendAwareNow() - m_listedAt <= ListedProofTime;
}

AnnouncementOutcome HostAgent::onAnnouncement(Scheduling::UpstreamAnnouncement announcement)
{
    const Scheduling::UpstreamIdentity &identity = announcement.upstream.identity;
    if (isOutdated(identity)) {
        logDebug("announcement-outdated").with("upstream", identity.id).with("listed", m_listedIncarnation);
        return AnnouncementOutcome::Late;
    }
    if (m_upstream && m_upstream->identity == identity && !isSuperseded()) {
        return update(announcement);
    }
    m_pending.add(std::move(announcement), suspendAwareNow());
    m_confirmNow.notify();
    return AnnouncementOutcome::Pending;
}

AnnouncementOutcome HostAgent::update(const Scheduling::UpstreamAnnouncement &announcement)
{
    const Scheduling::UpstreamDescription &upstream = announcement.upstream;
    // An upstream keeps its service for life. The service may be missing in the configuration for a while, so that of a
    // known upstream is not asked for.
    const bool isOtherService = upstream.service != m_upstream->service;
    if (isOtherService && !isNamedService(upstream.service)) {
        m_announcements.recordRefusal(upstream.identity.id, "service");
        return AnnouncementOutcome::Refused;
    }
    // A service that is not configured cannot have been announced by the upstream that announces a configured one.
    const bool isCorrection = isOtherService && !isNamedService(m_upstream->service);
    if (announcement.sequence <= m_sequence && !isCorrection) {
        logDebug("announcement-late").with("upstream", upstream.identity.id).with("sequence", announcement.sequence);
        return AnnouncementOutcome::Late;
    }
    use(announcement, false);
    return AnnouncementOutcome::Taken;
}

asio::awaitable<void> HostAgent::confirmLoop()
{
    for (;;) {
        const auto next = m_pending.next(suspendAwareNow());
        if (!next) {
            co_await m_confirmNow.waitUntil(std::chrono::steady_clock::now() + ConfirmIdleInterval);
            continue;
        }
        const bool answered = co_await confirm(next->upstream.identity);
        if (!answered) {
            co_await m_confirmNow.waitUntil(std::chrono::steady_clock::now() + RenewRetryDelay);
        }
    }
}

asio::awaitable<bool> HostAgent::confirm(Scheduling::UpstreamIdentity identity)
{
    const Epoch epoch = m_epoch;
    const TimePoint sentAt = suspendAwareNow();
    // No lease and no number of stored ends: the receiver may be another process than the announced one.
    LeaseRequest request{.upstream = identity, .fencingToken = epoch};
    const LeaseOutcome outcome = co_await m_link.renew(std::move(request));
    if (std::holds_alternative<UpstreamSilent>(outcome)) {
        co_return false;
    }
    const auto announcement = m_pending.take(identity);
    if (!announcement) {
        co_return true;
    }
    const auto *lists = std::get_if<UpstreamLists>(&outcome);
    if (lists == nullptr || lists->incarnation != identity.incarnation) {
        const bool isNamed = isNamedService(announcement->upstream.service);
        m_announcements.recordRefusal(identity.id, !isNamed ? "service" : lists == nullptr ? "id" : "incarnation");
        co_return true;
    }
    const TimePoint receivedAt = suspendAwareNow();
    resetUpstream(*announcement);
    m_listedAt = receivedAt;
    m_leases.onAnswered(sentAt, receivedAt);
    apply(*lists, epoch, receivedAt);
    co_return true;
}

void HostAgent::onLeave(std::string_view upstreamId)
{
    if (m_upstream && m_upstream->identity.id == upstreamId && !m_upstream->draining && !m_leaving) {
        logInfo("upstream-leaves").with("upstream", upstreamId);
        m_leaving = true;
    }
}

std::int64_t HostAgent::leaseUntil(TimePoint now, Milliseconds lease) const
{
    // A lower bound of the upstream's clock, since the answer was sent before it arrived here.
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - m_clockAt);
    return m_clockMs + elapsed.count() + lease.count();
}

asio::awaitable<void> HostAgent::renewLoop()
{
    bool reachable = false;
    for (;;) {
        if (!m_upstream || isSuperseded()) {
            reachable = false;
            co_await m_renewNow.waitUntil(std::chrono::steady_clock::now() + RenewRetryDelay);
            continue;
        }
        // An upstream that did not answer may have been restarted, which the first answer shows.
        const bool mayWait = m_leases.isConfirmed() && m_fencedEpoch == m_epoch;
        const bool answered = co_await renewOnce(mayWait ? listWait() : Milliseconds(0));
        if (answered != reachable) {
            reachable = answered;
            logInfo(answered ? "upstream-regained" : "upstream-lost").with("upstream", m_upstream->identity.id);
        }
        // The upstream answers at once for as long as it lists an end that cannot be read.
        if (!answered || m_epoch == 0 || !m_unreadable.empty()) {
            co_await m_renewNow.waitUntil(std::chrono::steady_clock::now() + RenewRetryDelay);
        } else if (!m_ended.empty()) {
            co_await m_renewNow.waitUntil(std::chrono::steady_clock::now() + PendingEndsRenewInterval);
        }
    }
}

Milliseconds HostAgent::listWait() const
{
    return m_pacer.isPacing() ? PacedRenewWait : RenewWait;
}

asio::awaitable<bool> HostAgent::renewOnce(Milliseconds wait)
{
    if (isSuperseded()) {
        co_return false;
    }
    const Epoch epoch = m_epoch;
    const TimePoint sentAt = suspendAwareNow();
    LeaseRequest request{.upstream = m_upstream->identity,
                         .fencingToken = epoch,
                         .acknowledgedEnd = endToDiscard(),
                         .leaseUntilMs = std::nullopt,
                         .wait = wait};
    const auto identity = request.upstream;
    if (const Milliseconds lease = m_leases.allowedLease(sentAt); lease > Milliseconds(0)) {
        request.leaseUntilMs = leaseUntil(sentAt, lease);
        m_leases.onRequested(sentAt, lease);
    }
    const LeaseOutcome outcome = co_await m_link.renew(std::move(request));
    const TimePoint endedAt = suspendAwareNow();
    const auto *lists = std::get_if<UpstreamLists>(&outcome);
    if (!m_upstream || m_upstream->identity != identity) {
        co_return false;
    }
    if (lists == nullptr) {
        m_leases.onUnanswered(endedAt);
        co_return false;
    }
    if (lists->incarnation != identity.incarnation) {
        m_leases.onUnanswered(endedAt);
        m_leases.onRestarted(endedAt);
        noteIncarnation(lists->incarnation);
        co_return false;
    }
    m_listedAt = endedAt;
    m_leases.onAnswered(sentAt, endedAt);
    apply(*lists, epoch, endedAt);
    co_return true;
}

std::uint64_t HostAgent::endToDiscard() const
{
    return m_listsStoredEnds ? m_acknowledgedEnd : 0;
}

void HostAgent::noteIncarnation(std::int64_t incarnation)
{
    if (incarnation <= m_listedIncarnation) {
        return;
    }
    m_listedIncarnation = incarnation;
    m_listedAt = suspendAwareNow();
    logWarning("upstream-restarted")
        .with("upstream", m_upstream->identity.id)
        .with("incarnation", m_upstream->identity.incarnation)
        .with("listed", incarnation)
        .with("leases_expire_in_ms", timeLeft(m_leases.expireBy()).count())
        .with("remedy", "none needed; starts are rejected until the upstream announces itself");
}

bool HostAgent::isSuperseded() const
{
    return m_upstream && m_listedIncarnation > m_upstream->identity.incarnation;
}

void HostAgent::apply(const UpstreamLists &lists, Epoch epoch, TimePoint receivedAt)
{
    if (lists.clockMs < m_clockMs && m_clockAt != TimePoint{}) {
        // A later answer has arrived first on another connection.
        return;
    }
    const bool wasKnown = m_clockAt != TimePoint{};
    m_clockMs = lists.clockMs;
    m_clockAt = receivedAt;
    const std::uint64_t newestBefore = m_ended.empty() ? m_acknowledgedEnd : m_ended.back().number;
    m_running = lists.running;
    observeRunning(receivedAt);
    observeOutlastedLeases();
    m_ended.clear();
    m_moreEnds = lists.moreEnds;
    for (const Scheduling::EndedRun &ended : lists.ended) {
        if (ended.number > m_acknowledgedEnd) {
            m_ended.push_back(ended);
        }
    }
    const bool newEnds = !m_ended.empty() && m_ended.back().number > newestBefore;
    observeUnreadable(lists);
    m_listsStoredEnds = (!lists.ended.empty() && lists.ended.front().number <= m_acknowledgedEnd)
        || (lists.unreadableEnd > 0 && lists.unreadableEnd <= m_acknowledgedEnd);
    if (epoch > m_fencedEpoch) {
        m_fencedEpoch = epoch;
        m_reportDue = true;
    }
    if (newEnds || !wasKnown) {
        m_reportDue = true;
    }
    if (m_reportDue) {
        m_reportNow.notify();
    }
    updatePacing(receivedAt);
}

void HostAgent::observeRunning(TimePoint receivedAt)
{
    std::map<Scheduling::RunId, TimePoint> firstListedAt;
    for (Scheduling::RunningRun &running : m_running) {
        const auto known = m_firstListedAt.find(running.run);
        const TimePoint first = known == m_firstListedAt.end() ? receivedAt : known->second;
        firstListedAt.emplace(running.run, first);
        running.listedFor = std::chrono::duration_cast<Milliseconds>(receivedAt - first);
    }
    m_firstListedAt = std::move(firstListedAt);
}

void HostAgent::observeOutlastedLeases()
{
    const bool outlasted = !m_running.empty() && timeLeft(m_leases.expireBy()) < Milliseconds(0);
    if (outlasted && !std::exchange(m_leasesOutlasted, true)) {
        logWarning("leases-outlasted")
            .with("upstream", m_upstream->identity.id)
            .with("runs", m_running.size())
            .with("first", m_running.front().run.task.toString())
            .with("by_ms", -timeLeft(m_leases.expireBy()).count())
            .with("remedy", "check the clock of the upstream; its tasks may have been started elsewhere too");
    }
    m_leasesOutlasted = outlasted;
}

void HostAgent::observeUnreadable(const UpstreamLists &lists)
{
    for (const std::string &entry : lists.unreadable) {
        if (std::ranges::find(m_unreadable, entry) == m_unreadable.end()) {
            logWarning("list-entry-unreadable")
                .with("upstream", m_upstream ? m_upstream->identity.id : "none")
                .with("entry", entry)
                .with("remedy", "check the program of the upstream; its other entries are used");
        }
    }
    m_unreadable = lists.unreadable;
    // An end that names no run concerns nobody. Ends before it have to be stored first.
    if (lists.unreadableEnd > m_acknowledgedEnd && (m_ended.empty() || m_ended.front().number > lists.unreadableEnd)) {
        m_acknowledgedEnd = lists.unreadableEnd;
    }
}

void HostAgent::updatePacing(TimePoint now)
{
    std::vector<Scheduling::PacedTask> tasks;
    for (const Scheduling::RunningRun &running : m_running) {
        const auto description = m_descriptions.find(running.run.task);
        if (description != m_descriptions.end()) {
            tasks.push_back({.run = running.run,
                             .image = description->second.image,
                             .tailTarget = description->second.tailTarget,
                             .fillsLeftover = description->second.fillsLeftover,
                             .load = running.load});
        }
    }
    if (m_descriptions.size() > MaxDescriptions) {
        // The next report requests those of running tasks again.
        m_descriptions.clear();
    }
    const TimePoint changedBefore = m_pacer.changedAt();
    for (const Scheduling::Pacer::Command &command : m_pacer.update(tasks, now)) {
        asio::co_spawn(m_strand, sendPace(command), asio::detached);
    }
    if (m_pacer.changedAt() != changedBefore) {
        logInfo("fillers-paced").with("shares", m_pacer.describeShares()).with("tail_pressure", m_pacer.pressure());
    }
}

asio::awaitable<void> HostAgent::sendPace(Scheduling::Pacer::Command command)
{
    if (!m_upstream) {
        co_return;
    }
    // Awaited outside the condition: GCC 12 destroys arguments of a conditional co_await that were never constructed.
    const bool paced = co_await m_link.pace(m_upstream->identity, command.run, command.percent, m_epoch);
    if (!paced) {
        m_pacer.forget(command.run);
    }
}

bool HostAgent::isListed(const Scheduling::RunId &run) const
{
    return std::ranges::find(m_running, run, &Scheduling::RunningRun::run) != m_running.end()
        || std::ranges::find(m_ended, run, &Scheduling::EndedRun::run) != m_ended.end();
}

Scheduling::HostReport HostAgent::report() const
{
    const TimePoint now = suspendAwareNow();
    Scheduling::HostReport report{.host = m_options.name,
                                  .address = m_options.address,
                                  .dataCentre = m_options.dataCentre,
                                  .agentIncarnation = m_incarnation,
                                  .fencedEpoch = m_fencedEpoch,
                                  .upstream = m_upstream,
                                  .silence = std::chrono::duration_cast<Milliseconds>(now - m_leases.answeredAt()),
                                  .leaseLeft = timeLeft(m_leases.expireBy()),
                                  .formerLeaseLeft = std::max(timeLeft(m_leases.formerExpireBy()), Milliseconds(0)),
                                  .tailPressure = m_pacer.pressure(),
                                  .running = m_running,
                                  .ended = m_ended,
                                  .moreEnds = m_moreEnds};
    for (Scheduling::RunningRun &running : report.running) {
        const auto description = m_descriptions.find(running.run.task);
        if (description != m_descriptions.end() && description->second.fillsLeftover) {
            running.share = m_pacer.share(description->second.image);
        }
    }
    return report;
}

asio::awaitable<void> HostAgent::reportLoop()
{
    for (;;) {
        m_reportDue = false;
        const bool answered = co_await reportOnce();
        if (!answered) {
            co_await sleepFor(ReportRetryDelay);
            continue;
        }
        co_await sleepFor(reportPause());
        if (!m_reportDue) {
            const Milliseconds interval = m_ended.empty() ? ReportInterval : PendingEndsReportInterval;
            co_await m_reportNow.waitUntil(std::chrono::steady_clock::now() + interval);
        }
    }
}

Milliseconds HostAgent::reportPause() const
{
    // The leader reads the reports of all hosts. When it answers slowly, reports come less often, each with more news.
    return m_reportTook < PromptAnswer
        ? Milliseconds(0)
        : std::min(std::chrono::duration_cast<Milliseconds>(m_reportTook * 2), ReportInterval);
}

asio::awaitable<bool> HostAgent::reportOnce()
{
    const LeaderDirectory::Leader leader = m_directory.current();
    if (leader.epoch > m_epoch) {
        adoptEpoch(leader.epoch);
    }
    if (leader.address.empty()) {
        co_return false;
    }
    wire::ReportRequest request = toMessage(report());
    for (const Scheduling::RunningRun &running : m_running) {
        if (!m_descriptions.contains(running.run.task)) {
            request.add_undescribed(running.run.task.toString());
        }
    }
    const TimePoint sentAt = suspendAwareNow();
    const auto reply = co_await m_caller.report(leader.address, std::move(request), ReportTimeout);
    if (!reply) {
        co_return false;
    }
    m_directory.learn(reply->leader());
    if (!reply->is_leader()) {
        co_return false;
    }
    m_reportTook = suspendAwareNow() - sentAt;
    applyReply(*reply, sentAt);
    co_return true;
}

void HostAgent::applyReply(const wire::ReportReply &reply, TimePoint sentAt)
{
    if (reply.leader().epoch() < m_epoch) {
        return;
    }
    adoptEpoch(reply.leader().epoch());
    m_leaderAnsweredAt = suspendAwareNow();
    m_directory.noteAnswer(m_epoch, m_leaderAnsweredAt);
    const Milliseconds allowed(reply.lease_ms());
    const bool wasShort = m_leases.allowedUntil() - m_leaderAnsweredAt < ShortLease;
    m_leases.allowUntil(sentAt
                        + std::clamp(allowed, Milliseconds(0), m_options.leaseTimes.leaseAfterReport(Duration(0))));
    if (wasShort && m_upstream && m_leases.allowedUntil() - m_leaderAnsweredAt >= ShortLease) {
        // The pending long poll may last longer than the leases.
        asio::co_spawn(
            m_strand, [this]() -> asio::awaitable<void> { co_await renewOnce(Milliseconds(0)); }, asio::detached);
    }
    const Scheduling::UpstreamIdentity acknowledged{.id = reply.upstream_id(),
                                                    .incarnation = reply.upstream_incarnation()};
    if (m_upstream && acknowledged == m_upstream->identity && reply.acknowledged_end() > m_acknowledgedEnd) {
        m_acknowledgedEnd = reply.acknowledged_end();
        m_listsStoredEnds = true;
        std::erase_if(m_ended, [&](const auto &ended) { return ended.number <= m_acknowledgedEnd; });
        m_renewNow.notify();
    }
    Scheduling::Pacer::Effects effects;
    for (const wire::InterferenceEffect &effect : reply.effects()) {
        effects[{effect.service_image(), effect.filler_image()}] = effect.headroom_per_core();
    }
    m_pacer.setEffects(std::move(effects));
    for (const wire::TaskDescription &description : reply.descriptions()) {
        if (const auto task = Scheduling::parseTaskId(description.task())) {
            m_descriptions[*task] = {.image = description.image(),
                                     .tailTarget = Milliseconds(description.tail_target_ms()),
                                     .fillsLeftover = description.fills_leftover()};
        }
    }
}

void HostAgent::adoptEpoch(Epoch epoch)
{
    if (epoch <= m_epoch) {
        return;
    }
    logInfo("leader-adopted").with("epoch", epoch).with("before", m_epoch);
    m_epoch = epoch;
    m_renewNow.notify();
    if (m_upstream) {
        // The pending long poll may last for a while; this call makes the upstream reject the previous leader now.
        asio::co_spawn(
            m_strand, [this]() -> asio::awaitable<void> { co_await renewOnce(Milliseconds(0)); }, asio::detached);
    }
}

bool HostAgent::mayStart(const Scheduling::StartOrder &order, Epoch epoch) const
{
    const auto view = m_operators.current();
    return m_upstream && m_upstream->identity == order.upstream && !isSuperseded() && !m_upstream->draining
        && !m_leaving && m_epoch == epoch && m_fencedEpoch == epoch && view
        && !view->isEvacuated(m_upstream->dataCentre);
}

asio::awaitable<StartOutcome> HostAgent::startRun(Scheduling::StartOrder order, Epoch epoch)
{
    if (!mayStart(order, epoch)) {
        co_return epoch < m_epoch ? StartOutcome::Fenced : StartOutcome::NotAccepted;
    }
    const TimePoint now = suspendAwareNow();
    const Milliseconds lease = m_leases.allowedLease(now);
    if (lease < ShortestStartLease) {
        co_return StartOutcome::LeaseOver;
    }
    const std::int64_t until = leaseUntil(now, lease);
    m_leases.onRequested(now, lease);
    m_descriptions[order.run.task] = {
        .image = order.image, .tailTarget = order.tailTarget, .fillsLeftover = order.fillsLeftover};
    co_return co_await m_link.start(std::move(order), epoch, until);
}

asio::awaitable<StopOutcome> HostAgent::stopRun(Scheduling::StopOrder order, Epoch epoch)
{
    if (!m_upstream || m_upstream->identity != order.upstream || isSuperseded() || epoch < m_epoch) {
        co_return StopOutcome::Unanswered;
    }
    const bool stopped = co_await m_link.stop(order.upstream, order.run, epoch);
    if (!stopped || !m_upstream || m_upstream->identity != order.upstream) {
        co_return StopOutcome::Unanswered;
    }
    const TimePoint answeredAt = suspendAwareNow();
    const bool renewed = co_await renewOnce(Milliseconds(0));
    if (!renewed || m_clockAt < answeredAt) {
        co_return StopOutcome::Unanswered;
    }
    if (isListed(order.run)) {
        co_return StopOutcome::Ending;
    }
    // The end of the run may be among those that are not listed yet.
    co_return m_moreEnds ? StopOutcome::Unanswered : StopOutcome::Absent;
}

asio::awaitable<wire::ExecuteReply> HostAgent::execute(wire::ExecuteRequest request)
{
    m_directory.learn(request.leader());
    wire::ExecuteReply reply;
    const Epoch epoch = request.leader().epoch();
    if (epoch < m_epoch) {
        *reply.mutable_leader() = m_directory.hint();
        co_return reply;
    }
    if (epoch > m_epoch) {
        adoptEpoch(epoch);
        m_reportDue = true;
        m_reportNow.notify();
    }
    reply.set_accepted(true);
    *reply.mutable_leader() = m_directory.hint();
    // Calls to the upstream run concurrently, so that one that hangs does not delay the others.
    auto pending = std::make_shared<std::size_t>(
        static_cast<std::size_t>(request.starts_size() + request.stops_size()));
    auto results = std::make_shared<wire::ExecuteReply>();
    auto done = std::make_shared<Notifier>(m_strand);
    for (const wire::StartOrder &message : request.starts()) {
        asio::co_spawn(
            m_strand,
            [this, order = fromMessage(message, m_options.name), epoch, pending, results, done]() mutable
            -> asio::awaitable<void> {
                const Scheduling::RunId run = order.run;
                const StartOutcome outcome = co_await startRun(std::move(order), epoch);
                logInfo("start")
                    .with("task", run.task.toString())
                    .with("run", run.run)
                    .with("epoch", epoch)
                    .with("outcome", outcomeName(outcome));
                wire::StartResult &result = *results->add_starts();
                result.set_task(run.task.toString());
                result.set_run(run.run);
                result.set_outcome(static_cast<std::uint32_t>(outcome));
                --*pending;
                done->notify();
            },
            asio::detached);
    }
    for (const wire::StopOrder &message : request.stops()) {
        asio::co_spawn(
            m_strand,
            [this, order = fromMessage(message, m_options.name), epoch, pending, results, done]() mutable
            -> asio::awaitable<void> {
                const Scheduling::RunId run = order.run;
                const StopOutcome outcome = co_await stopRun(std::move(order), epoch);
                logInfo("stop")
                    .with("task", run.task.toString())
                    .with("run", run.run)
                    .with("epoch", epoch)
                    .with("absent", outcome == StopOutcome::Absent)
                    .with("answered", outcome != StopOutcome::Unanswered);
                wire::StopResult &result = *results->add_stops();
                result.set_task(run.task.toString());
                result.set_run(run.run);
                result.set_outcome(static_cast<std::uint32_t>(outcome));
                --*pending;
                done->notify();
            },
            asio::detached);
    }
    while (*pending > 0) {
        co_await done->waitUntil(std::chrono::steady_clock::now() + Seconds(1));
    }
    reply.mutable_starts()->Swap(results->mutable_starts());
    reply.mutable_stops()->Swap(results->mutable_stops());
    co_return reply;
}

} // namespace Carobflow
