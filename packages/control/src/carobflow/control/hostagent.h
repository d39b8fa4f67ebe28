#pragma once

#include "carobflow/control/announcementreport.h"
#include "carobflow/control/controlcaller.h"
#include "carobflow/control/leaderdirectory.h"
#include "carobflow/control/operatorsync.h"
#include "carobflow/control/upstreamlink.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/leaseaccount.h"
#include "carobflow/scheduler/pacer.h"
#include "carobflow/scheduler/pendingannouncements.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

namespace Carobflow
{

enum class AnnouncementOutcome {
    /// It is in use now.
    Taken,
    /// It is used as soon as the upstream has answered under the announced identity.
    Pending,
    /// A newer one is in use.
    Late,
    /// It names no usable upstream.
    Refused,
};

/// The agent of an upstream, and the only process that calls it. Renews the upstream's leases as the leader allows,
/// executes the leader's orders, reports running and ended runs, and paces fillers.
///
/// Any program can send an announcement. One of another identity than the known one therefore changes nothing until the
/// upstream itself, at its address on this host, has answered a call under that identity. That answer also proves that
/// the process before it is gone, since only one process listens there.
///
/// All members but the constructor run on the agent's strand.
class HostAgent
{
public:
    struct Options {
        std::string name;
        /// Address at which the leader reaches this agent.
        std::string address;
        std::string dataCentre;
        Scheduling::LeaseTimes leaseTimes;
    };

    HostAgent(const boost::asio::any_io_executor &executor,
              Options options,
              UpstreamLink &link,
              LeaderDirectory &directory,
              OperatorSync &operators,
              ControlCaller &caller,
              AnnouncementReport &announcements);

    [[nodiscard]] const boost::asio::any_io_executor &strand() const
    {
        return m_strand;
    }

    void start();

    /// Handles an announcement that may be the upstream's.
    AnnouncementOutcome onAnnouncement(Scheduling::UpstreamAnnouncement announcement);

    /// Handles a notice that the upstream is about to shut down. Any program can send one, and an upstream announces
    /// before that it drains. So a notice without such an announcement only keeps starts away until the next one;
    /// reported as draining, it would make the leader stop runs.
    void onLeave(std::string_view upstreamId);

    /// Executes a leader's orders.
    boost::asio::awaitable<carobflow::control::ExecuteReply> execute(carobflow::control::ExecuteRequest request);

    /// What the agent reports to the leader now.
    [[nodiscard]] Scheduling::HostReport report() const;

    /// Time since a leader last answered a report.
    [[nodiscard]] Duration leaderSilence() const;

private:
    boost::asio::awaitable<void> renewLoop();
    boost::asio::awaitable<void> reportLoop();
    /// Asks the upstream whether pending announcements are its own.
    boost::asio::awaitable<void> confirmLoop();
    /// Returns false when the upstream does not answer.
    boost::asio::awaitable<bool> confirm(Scheduling::UpstreamIdentity identity);
    /// Handles an announcement of the known identity.
    AnnouncementOutcome update(const Scheduling::UpstreamAnnouncement &announcement);
    /// True when the upstream itself has lately listed a later incarnation of the same id.
    [[nodiscard]] bool isOutdated(const Scheduling::UpstreamIdentity &identity) const;
    [[nodiscard]] bool isNamedService(std::string_view service) const;
    /// Long-poll time of a call for the upstream's lists.
    [[nodiscard]] Milliseconds listWait() const;
    boost::asio::awaitable<bool> renewOnce(Milliseconds wait);
    void noteIncarnation(std::int64_t incarnation);
    boost::asio::awaitable<bool> reportOnce();
    boost::asio::awaitable<Scheduling::StartOutcome> startRun(Scheduling::StartOrder order, Epoch epoch);
    boost::asio::awaitable<Scheduling::StopOutcome> stopRun(Scheduling::StopOrder order, Epoch epoch);
    boost::asio::awaitable<void> sendPace(Scheduling::Pacer::Command command);
    void apply(const UpstreamLists &lists, Epoch epoch, TimePoint receivedAt);
    /// Notes how long each running run has been listed.
    void observeRunning(TimePoint receivedAt);
    /// Logs when runs are listed after the time by which their leases have to have expired.
    void observeOutlastedLeases();
    /// The number of stored ends for the next call. It is left out when no such end is listed: an upstream that has
    /// restarted numbers its ends from 1 again and would discard ends that nobody has seen.
    [[nodiscard]] std::uint64_t endToDiscard() const;
    /// Logs entries that cannot be used, once each, and lets the upstream discard ends among them.
    void observeUnreadable(const UpstreamLists &lists);
    void updatePacing(TimePoint now);
    void applyReply(const carobflow::control::ReportReply &reply, TimePoint sentAt);
    void adoptEpoch(Epoch epoch);
    void resetUpstream(const Scheduling::UpstreamAnnouncement &announcement);
    /// Uses an announcement of the known identity.
    void use(const Scheduling::UpstreamAnnouncement &announcement, bool isNew);
    /// The time on the upstream's clock at which a lease of this duration ends.
    [[nodiscard]] std::int64_t leaseUntil(TimePoint now, Milliseconds lease) const;
    /// Time for which the agent waits after an answered report although there is something to report.
    [[nodiscard]] Milliseconds reportPause() const;
    /// True when the upstream's lists have shown a later incarnation than the announced one. Nothing is known of that
    /// incarnation but its existence, so it gets no calls until it announces itself.
    [[nodiscard]] bool isSuperseded() const;
    [[nodiscard]] bool mayStart(const Scheduling::StartOrder &order, Epoch epoch) const;
    [[nodiscard]] bool isListed(const Scheduling::RunId &run) const;

    struct Description {
        std::string image;
        Milliseconds tailTarget{0};
        bool fillsLeftover = false;
    };

    boost::asio::any_io_executor m_strand;
    Options m_options;
    UpstreamLink &m_link;
    LeaderDirectory &m_directory;
    OperatorSync &m_operators;
    ControlCaller &m_caller;
    AnnouncementReport &m_announcements;
    std::uint64_t m_incarnation;
    Notifier m_reportNow;
    Notifier m_renewNow;
    Notifier m_confirmNow;

    Scheduling::PendingAnnouncements m_pending{Scheduling::PendingAnnouncements::Options{}};
    std::optional<Scheduling::UpstreamDescription> m_upstream;
    std::uint64_t m_sequence = 0;
    /// A notice that the upstream leaves has come after its last announcement.
    bool m_leaving = false;
    /// The latest incarnation in the lists of an upstream with the id of the announced one.
    std::int64_t m_listedIncarnation = 0;
    /// When it was last listed.
    TimePoint m_listedAt;
    Epoch m_epoch = 0;
    Epoch m_fencedEpoch = 0;
    Scheduling::LeaseAccount m_leases;
    /// Duration of the last report that was answered.
    Duration m_reportTook{0};
    TimePoint m_leaderAnsweredAt;
    std::uint64_t m_acknowledgedEnd = 0;
    /// The upstream may still list ends up to that number.
    bool m_listsStoredEnds = false;
    /// The upstream's clock in its last answer, and the local time at which the answer arrived.
    std::int64_t m_clockMs = 0;
    TimePoint m_clockAt;
    /// The last lists contained runs although their leases should have expired.
    bool m_leasesOutlasted = false;
    std::vector<Scheduling::RunningRun> m_running;
    /// When each running run was first listed.
    std::map<Scheduling::RunId, TimePoint> m_firstListedAt;
    std::vector<Scheduling::EndedRun> m_ended;
    /// The last lists did not contain all ended runs.
    bool m_moreEnds = false;
    /// The entries of the last lists that cannot be used.
    std::vector<std::string> m_unreadable;
    std::map<Scheduling::TaskId, Description> m_descriptions;
    Scheduling::Pacer m_pacer{Scheduling::Pacer::Options{}};
    bool m_reportDue = false;
};

} // namespace Carobflow
