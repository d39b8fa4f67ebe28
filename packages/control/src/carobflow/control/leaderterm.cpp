#include "carobflow/control/leaderterm.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storedrows.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"
#include "carobflow/core/invariant.h"
#include "carobflow/logging/log.h"
#include "carobflow/scheduler/jobcheck.h"

#include <algorithm>
#include <iterator>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

namespace
{

/// Finished jobs that are removed in one sweep, so that their deletions leave room in the writes for other changes.
constexpr std::size_t JobsPerSweep = 20;
/// Takes about 0.2 s with the processor share of a small host, so that renewals between two reads come in time.
constexpr std::size_t RowsPerRead = 100;
constexpr Milliseconds LoadRetryDelay{50};
/// Longest time for which a leader waits for the leases of a host that it does not hear, whatever the rows of the store
/// say. Leaders of earlier builds, which did not store when they wrote, allowed renewals for 8.5 s after their last
/// write, and leases of up to 10 s.
constexpr Seconds LongestLeaseWait{20};
/// Other candidates take over after 1.8 s without a renewal.
constexpr Milliseconds RenewInterval{600};
/// Longest time between two plans, for decisions that depend on time alone.
constexpr Milliseconds PlanInterval{50};
/// The slowest store in the sites' records writes within 0.36 s.
constexpr Milliseconds StoreUnavailableAfter{500};
/// About the duration of one write.
constexpr Milliseconds CommitPollInterval{5};
constexpr Milliseconds ExecuteTimeout{700};
/// A third of the agents' time-out for reports. A write takes 5 to 10 ms; when the store is slower, the reply is sent
/// without the acknowledgement.
constexpr Milliseconds StoredTimeout{200};
/// Calls from hosts and clients wait this long while the leader loads. Otherwise the calls of all hosts, each repeated
/// every 60 ms, would take most of the processor share that the load needs.
constexpr Milliseconds HostLoadTimeout{400};
constexpr Milliseconds ClientLoadTimeout{150};
constexpr Milliseconds AnnounceInterval{300};
/// Under load, plans follow each other within 10 ms, which is more often than hosts need to be checked.
constexpr Milliseconds HostCheckInterval{50};
constexpr Milliseconds SweepInterval{5000};
/// Limits the log to one line a second, however often tasks are planned.
constexpr Milliseconds WaitLogInterval{1000};
/// The leader knows the inbox as of up to twice this time ago; entries read it themselves after 2.5 s.
constexpr Milliseconds InboxWatchTimeout{1000};
constexpr Milliseconds InboxRetryDelay{200};
/// A leader that receives reports from fewer than half of its hosts for this long resigns.
constexpr Milliseconds ContactTimeout{2500};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes one line for each copy, at its end.
void noteCopy(const Scheduling::CopyChange &change, const std::function<void(std::string_view event)> &countEvent)
{
    if (change.event == "started") {
        countEvent("copy-started");
        return;
    }
    logInfo("copy-ended")
        .with("task", change.run.task.toString())
        .with("run", change.run.run)
        .with("host", change.host)
        .with("how", change.event)
        .with("expected_gain_ms", change.expectedGain.count());
    countEvent(change.event == "won" ? "copy-won" : "copy-without-use");
}

} // namespace

LeaderTerm::LeaderTerm(const asio::any_io_executor &executor,
                       Options options,
                       std::unique_ptr<Ledger> ledger,
                       WatchableTable &table,
                       LeaderDirectory &directory,
                       OperatorSync &operators,
                       ControlCaller &caller)
    : m_strand(asio::make_strand(executor))
    , m_options(std::move(options))
    , m_ledger(std::move(ledger))
    , m_table(table)
    , m_directory(directory)
    , m_operators(operators)
    , m_caller(caller)
    , m_scheduler({.epoch = m_ledger->epoch(),
                   .leaseTimes = m_options.leaseTimes,
                   .features = m_options.features,
                   .admission = m_options.admission,
                   .onDecision =
                       [](const Scheduling::RunId &run, std::string_view host, std::string_view event) {
                           logInfo("run-ended")
                               .with("task", run.task.toString())
                               .with("run", run.run)
                               .with("host", host)
                               .with("how", event);
                       },
                   .onUpstreamCrash =
                       [countEvent = m_options.countEvent](const Scheduling::UpstreamCrash &crash) {
                           logWarning("upstream-crashed")
                               .with("host", crash.host)
                               .with("runs", crash.runs)
                               .with("recent_starts", crash.recentStarts)
                               .with("job", crash.job);
                           if (countEvent) {
                               countEvent(crash.recentStarts == 0 ? "upstream-crashed-alone"
                                              : crash.job.empty() ? "upstream-crashed-after-starts"
                                                                  : "upstream-crashed-by-job");
                           }
                       },
                   .onHostContact =
                       [](const Scheduling::HostContactChange &change) {
                           logInfo("host-contact")
                               .with("host", change.host)
                               .with("change", change.event)
                               .with("runs", change.runs)
                               .with("known_from", change.hasReported ? "report" : "store")
                               .with("leases_expire_in_ms", change.leasesExpireIn.count());
                       },
                   .onCopy =
                       [countEvent = m_options.countEvent](const Scheduling::CopyChange &change) {
                           noteCopy(
                               change, countEvent ? countEvent : [](std::string_view /*event*/) {});
                       },
                   .onCompletion =
                       [countEvent = m_options.countEvent](const Scheduling::JobCompletion &completion) {
                           const std::string_view outcome = Scheduling::nameOf(completion.timeliness);
                           logInfo("job-completed")
                               .with("job", completion.job->spec().id)
                               .with("queue", completion.job->spec().queue)
                               .with("outcome", outcome)
                               .with("took_ms", completion.took.count())
                               .with("objective_ms", completion.objective.count())
                               .with("tasks", completion.job->taskCount())
                               .with("runs", completion.runs);
                           if (countEvent) {
                               countEvent("job-" + std::string(outcome));
                           }
                       }})
    , m_tombstones(m_options.tombstones, m_table.clock())
    , m_wake(m_strand)
    , m_startedAt(suspendAwareNow())
    , m_renewedAt(m_startedAt)
    , m_sweptAt(m_startedAt)
    , m_contactAt(m_startedAt)
{
}

asio::awaitable<void> LeaderTerm::run()
{
    const auto self = shared_from_this();
    logInfo("leading").with("epoch", m_ledger->epoch());
    while (!m_over && !m_loaded) {
        m_loaded = co_await load();
        m_over = m_over || m_directory.current().epoch > m_ledger->epoch();
    }
    wakeWaiters();
    if (!m_over) {
        asio::co_spawn(
            m_strand, [self]() -> asio::awaitable<void> { co_await self->watchInbox(); }, asio::detached);
        co_await lead();
    }
    m_over = true;
    wakeWaiters();
    wakeEndWaiters();
    logInfo("leading-ended").with("epoch", m_ledger->epoch()).with("resigned", m_resigning);
}

void LeaderTerm::resign()
{
    m_resigning = true;
    m_wake.notify();
}

asio::awaitable<bool> LeaderTerm::loadRows(std::string_view prefix, std::vector<Row> &rows)
{
    std::string after;
    for (;;) {
        const auto page = co_await m_table.readRange(prefix, after, RowsPerRead);
        if (!isOk(page)) {
            logWarning("load-failed").with("rows", prefix).with("error", errorOf(page).message);
            co_return false;
        }
        rows.insert(rows.end(), valueOf(page).begin(), valueOf(page).end());
        const bool leads = co_await renewIfDue();
        if (!leads || valueOf(page).empty()) {
            co_return leads;
        }
        after = valueOf(page).back().key;
    }
}

asio::awaitable<bool> LeaderTerm::renewIfDue()
{
    const TimePoint now = suspendAwareNow();
    if (now - m_renewedAt < RenewInterval) {
        co_return true;
    }
    m_renewedAt = now;
    std::vector<Mutation> renewal{m_ledger->renewal()};
    const Status renewed = co_await m_ledger->commit(std::move(renewal));
    if (!isOk(renewed)) {
        logInfo("deposed").with("epoch", m_ledger->epoch()).with("reason", errorOf(renewed).message);
        m_over = true;
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> LeaderTerm::waitUntilLoaded(Milliseconds limit)
{
    if (m_loaded || m_over) {
        co_return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_strand, limit);
    m_waiters.push_back(timer);
    boost::system::error_code cancelled;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

asio::awaitable<bool> LeaderTerm::load()
{
    m_view = m_operators.current();
    std::vector<Row> jobs;
    std::vector<Row> progress;
    std::vector<Row> hosts;
    bool complete = m_view != nullptr;
    if (complete) {
        complete = co_await loadRows(StoreLayout::JobPrefix, jobs);
    }
    if (complete) {
        complete = co_await loadRows(StoreLayout::ProgressPrefix, progress);
    }
    if (complete) {
        complete = co_await loadRows(StoreLayout::HostPrefix, hosts);
    }
    std::vector<Row> tombstones;
    if (complete) {
        complete = co_await loadRows(StoreLayout::TombstonePrefix, tombstones);
    }
    // Jobs in the inbox are accepted. A leader that has not loaded them would return wrong counts of pending jobs.
    std::vector<Row> inbox;
    const TimePoint inboxReadAt = suspendAwareNow();
    if (complete) {
        const auto snapshot = co_await m_table.snapshot(StoreLayout::InboxPrefix);
        complete = isOk(snapshot);
        if (complete) {
            inbox = valueOf(snapshot).rows;
            m_inboxVersion = valueOf(snapshot).version;
        }
    }
    if (!complete) {
        co_await sleepFor(LoadRetryDelay);
        co_return false;
    }
    const TimePoint now = suspendAwareNow();
    m_scheduler.setOperatorView(m_view);
    restoreHosts(hosts, now);
    restoreJobs(jobs, progress, now);
    m_tombstones.restore(tombstones, now);
    processInboxRows(inbox);
    noteInboxRead(inboxReadAt);
    logInfo("state-loaded")
        .with("epoch", m_ledger->epoch())
        .with("jobs", jobs.size())
        .with("inbox", inbox.size())
        .with("hosts", hosts.size())
        .with("tombstones", m_tombstones.size())
        .with("configuration", m_view->configurationVersion)
        .with("took_ms", std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - m_startedAt).count());
    m_contactAt = now;
    publishPeers();
    co_return true;
}

void LeaderTerm::restoreJobs(std::span<const Row> jobs, std::span<const Row> progress, TimePoint now)
{
    const auto progressOf = StoredRows::readAllProgress(progress, StoreLayout::ProgressPrefix);
    std::set<std::string> stored;
    for (const Row &row : jobs) {
        stored.insert(StoredRows::nameOf(row, StoreLayout::JobPrefix));
    }
    for (const Row &row : progress) {
        // The leader before this one ended while it removed the rows of the job.
        if (!stored.contains(StoredRows::jobOf(row, StoreLayout::ProgressPrefix))) {
            m_deletions.push_back(row.key);
        }
    }
    const std::int64_t unixNow = unixMilliseconds();
    for (const Row &row : jobs) {
        const std::string id = StoredRows::nameOf(row, StoreLayout::JobPrefix);
        auto job = StoredRows::readJob(row, StoreLayout::JobPrefix);
        const auto known = progressOf.find(id);
        if (!job || known == progressOf.end()) {
            // Which tasks have finished, and whether the job was cancelled, is not known, so none may be started. The
            // two rows of a job are written together, and the job's is removed first.
            logError("job-held")
                .with("job", id)
                .with("job_readable", job.has_value())
                .with("progress_readable", known != progressOf.end())
                .with("remedy", "submit the job under another id and remove its rows");
            m_heldJobs.insert(id);
            continue;
        }
        const auto age = Milliseconds(std::clamp<std::int64_t>(unixNow - job->acceptedUnixMs, 0, 3'600'000));
        m_scheduler.restore(std::move(job->spec), known->second, now - age, now);
    }
}

void LeaderTerm::restoreHosts(std::span<const Row> rows, TimePoint now)
{
    for (const Row &row : rows) {
        const auto known = StoredRows::readHost(row);
        if (!known) {
            // Runs that are placed on such a host keep their tasks from starting elsewhere for the longest time.
            continue;
        }
        const std::string name = StoredRows::nameOf(row, StoreLayout::HostPrefix);
        m_contacts[name] = {.address = known->address()};
        m_scheduler.expectHost(name,
                               {.now = now,
                                .leasesExpireBy = leasesExpireBy(*known, now),
                                .formerExpireBy = formerLeasesExpireBy(*known, now)});
    }
}

TimePoint LeaderTerm::leasesExpireBy(const wire::KnownHost &host, TimePoint now) const
{
    const TimePoint latest = now + LongestLeaseWait;
    const auto storeNow = m_table.clock().earliest(now);
    const auto lastGrant = m_ledger->formerTerms().lastGrant(host.granted_by_epoch());
    if (!storeNow || !lastGrant) {
        return latest;
    }
    TimePoint expiry = now + (*lastGrant - *storeNow) + m_options.leaseTimes.untilFreeAfterWrite();
    if (host.leases_expire_store_ms() > 0) {
        expiry = std::min(expiry, now + (Milliseconds(host.leases_expire_store_ms()) - *storeNow));
    }
    return std::min(expiry, latest);
}

TimePoint LeaderTerm::formerLeasesExpireBy(const wire::KnownHost &host, TimePoint now) const
{
    if (host.former_leases_expire_store_ms() == 0) {
        return {};
    }
    // The restart was noticed before the row was written.
    const TimePoint latest = now + m_options.leaseTimes.untilFreeAfterRestart();
    const auto storeNow = m_table.clock().earliest(now);
    return storeNow ? std::min(latest, now + (Milliseconds(host.former_leases_expire_store_ms()) - *storeNow)) : latest;
}

void LeaderTerm::publishPeers()
{
    std::vector<std::string> peers;
    for (const auto &[name, contact] : m_contacts) {
        if (!contact.address.empty()) {
            peers.push_back(contact.address);
        }
    }
    m_directory.setPeers(std::move(peers));
}

Milliseconds LeaderTerm::leaseFor(const Scheduling::HostReport &report, TimePoint now) const
{
    const auto contact = m_contacts.find(report.host);
    const bool stored = contact != m_contacts.end() && contact->second.stored;
    return stored && Scheduling::Scheduler::mayRenew(report)
        ? m_options.leaseTimes.leaseAfterReport(now - m_ledger->confirmedAt())
        : Milliseconds(0);
}

bool LeaderTerm::isStoreUnavailable(TimePoint now) const
{
    return m_writingSince && now - *m_writingSince > StoreUnavailableAfter;
}

asio::awaitable<void> LeaderTerm::lead()
{
    // The first plan after a loss of power takes long.
    if (!co_await renewIfDue()) {
        co_return;
    }
    while (!m_over) {
        if (const Duration delay = m_pace.delay(suspendAwareNow()); delay > Duration(0) && !m_resigning) {
            co_await sleepFor(delay);
        }
        const TimePoint now = suspendAwareNow();
        m_pace.onRound(now);
        if (m_directory.current().epoch > m_ledger->epoch()) {
            logInfo("deposed").with("epoch", m_ledger->epoch()).with("by", m_directory.current().epoch);
            co_return;
        }
        adoptView();
        announceLeadership(now);
        sweep(now);
        checkContact(now);
        m_changed = false;
        m_scheduler.plan(now, unixMilliseconds());
        logWaitingTasks(now);
        logAdmission(now);
        const bool resigning = m_resigning;
        if (!co_await commitChanges()) {
            co_return;
        }
        sendOrders();
        if (resigning) {
            co_return;
        }
        if (!m_changed) {
            co_await m_wake.waitUntil(std::chrono::steady_clock::now() + PlanInterval);
        }
    }
}

void LeaderTerm::adoptView()
{
    if (const auto view = m_operators.current(); view != m_view) {
        m_view = view;
        m_scheduler.setOperatorView(m_view);
    }
}

bool LeaderTerm::isRemovedQueue(std::string_view queue, std::uint64_t callerVersion) const
{
    // Callers of earlier builds do not say their version.
    const auto view = m_operators.current();
    return callerVersion > 0 && view->configurationVersion > callerVersion && view->findQueue(queue) == nullptr;
}

void LeaderTerm::logWaitingTasks(TimePoint now)
{
    const Scheduling::WaitingTasks &waiting = m_scheduler.waitingTasks();
    const bool waits = waiting.unplaced > 0 || waiting.runsOnSilentHosts > 0;
    if (!waits || now - m_waitLoggedAt < WaitLogInterval) {
        return;
    }
    m_waitLoggedAt = now;
    const Scheduling::HeldBackRuns heldBack = m_scheduler.heldBackRuns(now);
    const Scheduling::Relocation::Summary relocation = m_scheduler.takeRelocationSummary();
    logInfo("tasks-waiting")
        .with("epoch", m_ledger->epoch())
        .with("unplaced", waiting.unplaced)
        .with("first", waiting.firstUnplaced)
        .with("silent_hosts", waiting.silentHosts)
        .with("runs_there", waiting.runsOnSilentHosts)
        .with("comparisons", waiting.comparisons)
        .with("fillers_refused", waiting.fillerRefusals.describe())
        .with("others_refused", waiting.otherRefusals.describe())
        .with("held_back", heldBack.count)
        .with("longest_ms", heldBack.longest.count())
        .with("moved", relocation.moves)
        .with("without_place", relocation.withoutPlace);
}

ProgressRows &LeaderTerm::progressRowsOf(const Scheduling::Job &job)
{
    return m_progressRows.try_emplace(job.spec().id, job.spec()).first->second;
}

void LeaderTerm::noteOmittedCheckpoints(const std::string &job, std::size_t count)
{
    if (count > 0 && m_omittedCheckpoints.insert(job).second) {
        logWarning("checkpoints-omitted")
            .with("job", job)
            .with("count", count)
            .with("remedy", "use shorter checkpoints or fewer tasks; these tasks may start from their beginning");
        if (m_options.countEvent) {
            m_options.countEvent("checkpoints-omitted");
        }
    }
}

void LeaderTerm::deleteRows(const Scheduling::Job &job)
{
    m_deletions.push_back(StoreLayout::keyOf(StoreLayout::JobPrefix, job.spec().id));
    std::ranges::move(progressRowsOf(job).keys(), std::back_inserter(m_deletions));
}

std::vector<Mutation> LeaderTerm::mutationsOf(const Scheduling::Job &job)
{
    const std::string &id = job.spec().id;
    std::vector<Mutation> mutations;
    if (const auto unstored = m_unstoredAcceptTimes.find(id); unstored != m_unstoredAcceptTimes.end()) {
        wire::Job message = toMessage(job.spec());
        message.set_accepted_unix_ms(unstored->second);
        mutations.push_back(
            {.key = StoreLayout::keyOf(StoreLayout::JobPrefix, id), .value = message.SerializeAsString()});
    }
    ProgressRows::Changes changes = progressRowsOf(job).changes(job.progress(), m_ledger->commitLimits());
    noteOmittedCheckpoints(id, changes.omittedCheckpoints);
    std::ranges::move(changes.mutations, std::back_inserter(mutations));
    if (const auto inbox = m_inboxKeys.find(id); inbox != m_inboxKeys.end()) {
        for (const std::string &key : inbox->second) {
            mutations.push_back({.key = key, .value = std::nullopt});
        }
    }
    return mutations;
}

void LeaderTerm::addLeadership(TransactionBatch &batch, TimePoint now)
{
    if (m_resigning) {
        batch.add({m_ledger->resignation(m_lostContact)});
    } else if (now - m_renewedAt >= RenewInterval) {
        m_renewedAt = now;
        batch.add({m_ledger->renewal()});
    }
}

Mutation LeaderTerm::hostRow(const std::string &name) const
{
    wire::KnownHost known;
    known.set_address(m_contacts.at(name).address);
    known.set_granted_by_epoch(m_ledger->epoch());
    const auto storeTimeOf = [&](std::optional<TimePoint> time) {
        return time ? m_table.clock().latest(*time).value_or(Milliseconds(0)).count() : 0;
    };
    known.set_leases_expire_store_ms(storeTimeOf(m_scheduler.silentUntil(name)));
    known.set_former_leases_expire_store_ms(storeTimeOf(m_scheduler.formerLeasesExpireBy(name)));
    return {.key = StoreLayout::keyOf(StoreLayout::HostPrefix, name), .value = known.SerializeAsString()};
}

std::vector<std::string> LeaderTerm::addHosts(TransactionBatch &batch)
{
    for (std::string &name : m_scheduler.takeSilentHosts()) {
        // No leases until a later row says that the host reports again.
        m_contacts[name].stored = false;
        m_silentHosts.push_back(std::move(name));
    }
    std::ranges::move(m_scheduler.takeNewHosts(), std::back_inserter(m_newHosts));
    for (std::string &name : m_scheduler.takeRestartedHosts()) {
        if (std::ranges::find(m_restartedHosts, name) == m_restartedHosts.end()) {
            m_restartedHosts.push_back(std::move(name));
        }
    }
    std::vector<std::string> reporting;
    const auto addRows = [&](std::deque<std::string> &names, const auto &added) {
        while (!names.empty()) {
            if (!batch.add({hostRow(names.front())})) {
                m_changed = true;
                return;
            }
            added(names.front());
            names.pop_front();
        }
    };
    std::erase_if(m_silentHosts, [&](const std::string &name) { return !m_scheduler.silentUntil(name); });
    std::erase_if(m_newHosts, [&](const std::string &name) { return m_scheduler.silentUntil(name).has_value(); });
    // The rows of new and silent hosts contain the times after a restart as well.
    std::erase_if(m_restartedHosts, [&](const std::string &name) {
        return std::ranges::find(m_silentHosts, name) != m_silentHosts.end()
            || std::ranges::find(m_newHosts, name) != m_newHosts.end();
    });
    const auto ignore = [](const std::string & /*name*/) {};
    addRows(m_restartedHosts, ignore);
    addRows(m_silentHosts, ignore);
    addRows(m_newHosts, [&](const std::string &name) {
        // A forgotten host may report again before its row is removed.
        std::erase(m_deletions, StoreLayout::keyOf(StoreLayout::HostPrefix, name));
        reporting.push_back(name);
    });
    return reporting;
}

std::vector<std::string> LeaderTerm::addJobs(TransactionBatch &batch)
{
    std::vector<std::string> ids;
    while (const Scheduling::Job *job = m_scheduler.firstDirtyJob()) {
        const bool wasEmpty = batch.isEmpty();
        if (!batch.add(mutationsOf(*job))) {
            requireInvariant(!wasEmpty, "job-fits-into-one-write", job->spec().id);
            m_changed = true;
            break;
        }
        progressRowsOf(*job).markWritten();
        m_inboxKeys.erase(job->spec().id);
        std::ranges::move(m_scheduler.takeDirtyJobs(1), std::back_inserter(ids));
    }
    return ids;
}

void LeaderTerm::addDeletions(TransactionBatch &batch)
{
    while (!m_deletions.empty()) {
        if (!batch.add({{.key = m_deletions.front(), .value = std::nullopt}})) {
            m_changed = true;
            return;
        }
        m_deletions.pop_front();
    }
}

asio::awaitable<bool> LeaderTerm::commitChanges()
{
    TransactionBatch batch(m_ledger->commitLimits());
    const TimePoint now = suspendAwareNow();
    addLeadership(batch, now);
    const std::vector<std::string> hosts = addHosts(batch);
    const std::vector<std::string> ids = addJobs(batch);
    if (!m_tombstones.addTo(batch)) {
        m_changed = true;
    }
    addDeletions(batch);
    if (batch.isEmpty()) {
        co_return true;
    }
    const std::uint64_t round = ++m_commitRound;
    m_writingSince = now;
    const Status committed = co_await m_ledger->commit(batch.take());
    m_writingSince.reset();
    if (!isOk(committed)) {
        logInfo("deposed").with("epoch", m_ledger->epoch()).with("reason", errorOf(committed).message);
        co_return false;
    }
    m_tombstones.onCommitted();
    adoptView();
    for (const std::string &host : hosts) {
        m_contacts[host].stored = true;
    }
    const TimePoint committedAt = suspendAwareNow();
    for (const std::string &id : ids) {
        m_unstoredAcceptTimes.erase(id);
        m_committedRound[id] = round;
        m_scheduler.commitJob(id, committedAt);
    }
    wakeWaiters();
    wakeEndWaiters();
    co_return true;
}

void LeaderTerm::wakeWaiters()
{
    for (const auto &waiter : m_waiters) {
        waiter->cancel();
    }
    m_waiters.clear();
}

asio::awaitable<void> LeaderTerm::waitForCommit(std::string job)
{
    // The next round covers the latest changes; a round in progress does not.
    const std::uint64_t needed = m_commitRound + 1;
    m_changed = true;
    m_wake.notify();
    while (!m_over) {
        const auto committed = m_committedRound.find(job);
        if (committed != m_committedRound.end() && committed->second >= needed) {
            co_return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_strand, Seconds(10));
        m_waiters.push_back(timer);
        boost::system::error_code cancelled;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<bool> LeaderTerm::isCertainlyUnknown(std::string id)
{
    // Another entry may have put the job into the inbox after the client gave up waiting there.
    const std::string inboxKey = StoreLayout::keyOf(StoreLayout::InboxPrefix, id);
    const std::string jobKey = StoreLayout::keyOf(StoreLayout::JobPrefix, id);
    const std::vector<std::string> keys{inboxKey, jobKey};
    const auto rows = co_await m_table.read(keys);
    co_return isOk(rows) && valueOf(rows).empty() && m_scheduler.find(id) == nullptr && !m_over && !m_resigning;
}

void LeaderTerm::rejectOverloaded(const std::string &id,
                                  const Scheduling::JobAdmission::Decision &decision,
                                  wire::SubmitReply &reply) const
{
    logInfo("job-refused")
        .with("job", id)
        .with("reason", "overload")
        .with("predicted_ms", std::chrono::duration_cast<Milliseconds>(decision.predicted).count())
        .with("objective_ms", std::chrono::duration_cast<Milliseconds>(decision.objective).count())
        .with("retry_after_ms", decision.retryAfter.count());
    if (m_options.countEvent) {
        m_options.countEvent("job-rejected-overload");
    }
    reply.set_outcome(wire::SubmitReply::OVERLOADED);
    reply.set_retry_after_ms(static_cast<std::uint32_t>(decision.retryAfter.count()));
}

void LeaderTerm::logAdmission(TimePoint now)
{
    if (!m_options.features.admission || now - m_admissionLoggedAt < WaitLogInterval) {
        return;
    }
    m_admissionLoggedAt = now;
    const Scheduling::JobAdmission::Summary summary = m_scheduler.takeAdmissionSummary();
    if (summary.rejected + summary.returned + summary.compared == 0) {
        return;
    }
    logInfo("admission")
        .with("accepted", summary.accepted)
        .with("rejected", summary.rejected)
        .with("returned", summary.returned)
        .with("remembered", summary.remembered)
        .with("compared", summary.compared)
        .with("mean_error_ms", summary.meanError.count())
        .with("mean_absolute_error_ms", summary.meanAbsoluteError.count());
}

asio::awaitable<wire::SubmitReply> LeaderTerm::submit(wire::SubmitRequest request)
{
    const auto self = shared_from_this();
    co_await waitUntilLoaded(ClientLoadTimeout);
    wire::SubmitReply reply;
    *reply.mutable_leader() = m_directory.hint();
    if (!m_loaded || m_over || m_resigning) {
        co_return reply;
    }
    const std::string id = request.job().id();
    if (m_heldJobs.contains(id)) {
        reply.set_outcome(wire::SubmitReply::STORED);
        co_return reply;
    }
    Scheduling::JobSpec spec = fromMessage(request.job());
    if (const std::string_view fault = Scheduling::findFault(spec); !fault.empty()) {
        logWarning("job-refused").with("job", id).with("reason", fault);
        reply.set_outcome(wire::SubmitReply::OVERLOADED);
        co_return reply;
    }
    adoptView();
    if (m_scheduler.find(id) == nullptr && isRemovedQueue(spec.queue, request.configuration_version())) {
        logInfo("job-refused")
            .with("job", id)
            .with("reason", "queue-removed")
            .with("configuration", m_view->configurationVersion)
            .with("caller", request.configuration_version());
        reply.set_outcome(wire::SubmitReply::QUEUE_REMOVED);
        co_return reply;
    }
    if (isStoreUnavailable(suspendAwareNow()) && m_scheduler.find(id) == nullptr) {
        logInfo("job-refused").with("job", id).with("reason", "store-away");
        reply.set_outcome(wire::SubmitReply::STORE_AWAY);
        co_return reply;
    }
    const TimePoint now = suspendAwareNow();
    Scheduling::JobAdmission::Decision decision{.submittedAt = now};
    if (!request.may_be_stored()) {
        decision = m_scheduler.admit(spec, now);
    }
    if (!decision.accepted) {
        const bool neverRuns = co_await isCertainlyUnknown(id);
        if (neverRuns) {
            rejectOverloaded(id, decision, reply);
            co_return reply;
        }
    }
    if (m_over || m_resigning) {
        co_return reply;
    }
    const auto outcome = takeJob(std::move(spec), decision.submittedAt);
    if (outcome == Scheduling::Scheduler::Submission::Accepted) {
        m_unstoredAcceptTimes[id] = unixMilliseconds()
            - std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - decision.submittedAt).count();
        logInfo("job-taken")
            .with("job", id)
            .with("queue", request.job().queue())
            .with("configuration", m_view->configurationVersion);
    }
    if (m_unstoredAcceptTimes.contains(id)) {
        const TimePoint began = suspendAwareNow();
        if (outcome == Scheduling::Scheduler::Submission::Accepted) {
            co_await waitForCommit(id);
        } else {
            // A concurrent request with the same id waits for the same write.
            while (!m_over && m_unstoredAcceptTimes.contains(id)) {
                co_await sleepFor(CommitPollInterval);
            }
        }
        if (m_unstoredAcceptTimes.contains(id)) {
            reply.set_outcome(wire::SubmitReply::UNCERTAIN);
            co_return reply;
        }
        logInfo("job-stored")
            .with("job", id)
            .with("round", m_committedRound[id])
            .with("took_ms", std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - began).count());
    }
    reply.set_outcome(wire::SubmitReply::STORED);
    co_return reply;
}

Scheduling::Scheduler::Submission
LeaderTerm::takeJob(Scheduling::JobSpec spec, TimePoint submittedAt, std::optional<Scheduling::Queue> lastKnownQueue)
{
    const std::string id = spec.id;
    const bool isCancelled = m_tombstones.covers(id, spec.queue);
    const auto outcome = m_scheduler.submit(std::move(spec), submittedAt, std::move(lastKnownQueue));
    if (isCancelled && outcome == Scheduling::Scheduler::Submission::Accepted) {
        m_scheduler.cancel(id);
        logInfo("job-cancelled").with("job", id).with("before_submission", true);
        if (m_options.countEvent) {
            m_options.countEvent("job-cancelled-before-submission");
        }
    }
    return outcome;
}

asio::awaitable<void> LeaderTerm::rememberCancellation(const wire::CancelRequest &request, wire::CancelReply &reply)
{
    const std::string &id = request.id();
    if (request.queue().empty() || m_heldJobs.contains(id)) {
        reply.set_outcome(wire::CancelReply::UNKNOWN_JOB);
        co_return;
    }
    const TimePoint now = suspendAwareNow();
    const auto outcome = m_tombstones.add(id, request.queue(), now);
    if (outcome == Scheduling::Tombstones::Outcome::Full) {
        if (const auto times = m_refusedCancellations.record(now)) {
            logWarning("cancellation-refused")
                .with("job", id)
                .with("times", *times)
                .with("tombstones", m_tombstones.size())
                .with("remedy", "find the client that cancels jobs which do not exist");
        }
        if (m_options.countEvent) {
            m_options.countEvent("cancellation-refused");
        }
        reply.set_outcome(wire::CancelReply::TOO_MANY);
        co_return;
    }
    if (outcome == Scheduling::Tombstones::Outcome::Added) {
        logInfo("tombstone-added").with("job", id).with("queue", request.queue());
    }
    m_changed = true;
    m_wake.notify();
    while (!m_over && !m_tombstones.isStored(id)) {
        auto timer = std::make_shared<asio::steady_timer>(m_strand, Seconds(10));
        m_waiters.push_back(timer);
        boost::system::error_code cancelled;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    if (!m_over) {
        reply.set_outcome(wire::CancelReply::UNKNOWN_JOB);
        reply.set_remembered(true);
    }
}

asio::awaitable<wire::CancelReply> LeaderTerm::cancel(wire::CancelRequest request)
{
    const auto self = shared_from_this();
    co_await waitUntilLoaded(ClientLoadTimeout);
    wire::CancelReply reply;
    *reply.mutable_leader() = m_directory.hint();
    if (!m_loaded || m_over || m_resigning) {
        co_return reply;
    }
    const Scheduling::Job *job = m_scheduler.find(request.id());
    if (job == nullptr) {
        co_await rememberCancellation(request, reply);
        co_return reply;
    }
    if (!job->isOver()) {
        m_scheduler.cancel(request.id());
        logInfo("job-cancelled").with("job", request.id());
        co_await waitForCommit(request.id());
    }
    // A repeated request finds the job cancelled already; it too is answered only when the cancellation is stored.
    while (!m_over && !m_scheduler.isFinalStateStored(request.id())) {
        co_await sleepFor(CommitPollInterval);
    }
    if (!m_over) {
        reply.set_outcome(wire::CancelReply::CANCELLED);
    }
    co_return reply;
}

asio::awaitable<wire::QueryReply> LeaderTerm::query(wire::QueryRequest request)
{
    const auto self = shared_from_this();
    co_await waitUntilLoaded(ClientLoadTimeout);
    wire::QueryReply reply;
    *reply.mutable_leader() = m_directory.hint();
    if (!m_loaded || m_over) {
        co_return reply;
    }
    const Scheduling::Job *job = m_scheduler.find(request.id());
    if (job == nullptr) {
        reply.set_outcome(wire::QueryReply::UNKNOWN_JOB);
        co_return reply;
    }
    reply.set_outcome(wire::QueryReply::FOUND);
    // A final state that is not stored yet could be lost in a crash, so it is not reported.
    const bool isUnstored = job->isOver() && !m_scheduler.isFinalStateStored(request.id());
    reply.set_phase(static_cast<std::uint32_t>(isUnstored ? Scheduling::JobPhase::Running : job->phase()));
    co_return reply;
}

wire::CountPendingReply LeaderTerm::countPending(const wire::CountPendingRequest &request) const
{
    wire::CountPendingReply reply;
    *reply.mutable_leader() = m_directory.hint();
    if (m_loaded && !m_over) {
        const auto inboxAge = std::chrono::duration_cast<Milliseconds>(suspendAwareNow() - m_inboxKnownAt);
        reply.set_is_leader(true);
        reply.set_pending(static_cast<std::uint32_t>(m_scheduler.countPending(request.queue())));
        reply.set_inbox_age_ms(static_cast<std::uint32_t>(std::max(inboxAge, Milliseconds(0)).count()));
        reply.set_inbox_version(m_inboxKnownVersion);
        reply.set_queue_removed(isRemovedQueue(request.queue(), request.configuration_version()));
    }
    return reply;
}

void LeaderTerm::processReport(const Scheduling::HostReport &report, TimePoint now)
{
    HostContact &contact = m_contacts[report.host];
    if (contact.address != report.address) {
        logInfo("host-address-changed")
            .with("host", report.host)
            .with("address", report.address)
            .with("before", contact.address);
        contact.address = report.address;
        publishPeers();
    }
    m_scheduler.onReport(report, now);
    if (!report.ended.empty()) {
        m_changed = true;
        m_wake.notify();
    }
}

bool LeaderTerm::isAcknowledged(const EndWaiter &waiter) const
{
    return m_scheduler.acknowledgedEnd(waiter.host, waiter.upstream) >= waiter.number;
}

asio::awaitable<void> LeaderTerm::waitForEnds(const Scheduling::HostReport &report)
{
    const auto until = std::chrono::steady_clock::now() + StoredTimeout;
    const auto waiter = m_endWaiters.insert(m_endWaiters.end(),
                                            EndWaiter{.host = report.host,
                                                      .upstream = report.upstream->identity,
                                                      .number = report.ended.back().number,
                                                      .timer = asio::steady_timer(m_strand, until)});
    while (!m_over && !isAcknowledged(*waiter) && std::chrono::steady_clock::now() < until) {
        boost::system::error_code cancelled;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    m_endWaiters.erase(waiter);
}

asio::awaitable<void> LeaderTerm::waitUntilStored(std::string host)
{
    const auto until = std::chrono::steady_clock::now() + StoredTimeout;
    m_changed = true;
    m_wake.notify();
    while (!m_over && !m_contacts[host].stored && std::chrono::steady_clock::now() < until) {
        auto timer = std::make_shared<asio::steady_timer>(m_strand, until);
        m_waiters.push_back(timer);
        boost::system::error_code cancelled;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

void LeaderTerm::wakeEndWaiters()
{
    for (EndWaiter &waiter : m_endWaiters) {
        if (m_over || isAcknowledged(waiter)) {
            waiter.timer.cancel();
        }
    }
}

asio::awaitable<wire::ReportReply> LeaderTerm::report(wire::ReportRequest request)
{
    const auto self = shared_from_this();
    co_await waitUntilLoaded(HostLoadTimeout);
    wire::ReportReply reply;
    *reply.mutable_leader() = m_directory.hint();
    if (!m_loaded || m_over) {
        co_return reply;
    }
    const Scheduling::HostReport report = fromMessage(request);
    processReport(report, suspendAwareNow());
    if (!m_contacts[report.host].stored && Scheduling::Scheduler::mayRenew(report)) {
        co_await waitUntilStored(report.host);
    }
    if (report.upstream && !report.ended.empty()) {
        co_await waitForEnds(report);
    }
    if (m_over) {
        co_return reply;
    }
    reply.set_is_leader(true);
    reply.set_lease_ms(leaseFor(report, suspendAwareNow()).count());
    if (report.upstream) {
        reply.set_acknowledged_end(m_scheduler.acknowledgedEnd(report.host, report.upstream->identity));
        reply.set_upstream_id(report.upstream->identity.id);
        reply.set_upstream_incarnation(report.upstream->identity.incarnation);
    }
    for (const std::string &task : request.undescribed()) {
        const auto id = Scheduling::parseTaskId(task);
        const Scheduling::Job *job = id ? m_scheduler.find(id->job) : nullptr;
        if (job == nullptr || job->findTask(*id) == nullptr) {
            continue;
        }
        const Scheduling::StepSpec &step = job->step(*id);
        wire::TaskDescription &description = *reply.add_descriptions();
        description.set_task(task);
        description.set_image(step.image);
        description.set_tail_target_ms(step.tailTarget.count());
        description.set_fills_leftover(step.fillsLeftover);
    }
    addEffects(report, reply);
    co_return reply;
}

void LeaderTerm::addEffects(const Scheduling::HostReport &report, wire::ReportReply &reply) const
{
    std::set<std::string_view> services;
    std::set<std::string_view> fillers;
    for (const Scheduling::RunningRun &running : report.running) {
        const Scheduling::Job *job = m_scheduler.find(running.run.task.job);
        if (job == nullptr || job->findTask(running.run.task) == nullptr) {
            continue;
        }
        const Scheduling::StepSpec &step = job->step(running.run.task);
        if (step.serves()) {
            services.insert(step.image);
        } else if (step.fillsLeftover) {
            fillers.insert(step.image);
        }
    }
    for (const std::string_view service : services) {
        for (const std::string_view filler : fillers) {
            wire::InterferenceEffect &effect = *reply.add_effects();
            effect.set_service_image(std::string(service));
            effect.set_filler_image(std::string(filler));
            effect.set_headroom_per_core(m_scheduler.effect(service, filler));
        }
    }
}

void LeaderTerm::sendOrders()
{
    std::map<std::string, wire::ExecuteRequest> requests;
    for (const Scheduling::StartOrder &order : m_scheduler.takeStarts()) {
        logInfo("start-ordered")
            .with("task", order.run.task.toString())
            .with("run", order.run.run)
            .with("host", order.host)
            .with("upstream", order.upstream.id)
            .with("epoch", m_ledger->epoch())
            .with("configuration", m_view->configurationVersion)
            .with("checkpoint", order.checkpoint);
        *requests[order.host].add_starts() = toMessage(order);
    }
    for (const Scheduling::StopOrder &order : m_scheduler.takeStops()) {
        logInfo("stop-ordered")
            .with("task", order.run.task.toString())
            .with("run", order.run.run)
            .with("host", order.host)
            .with("reason", order.reason)
            .with("epoch", m_ledger->epoch());
        *requests[order.host].add_stops() = toMessage(order);
    }
    for (auto &[host, request] : requests) {
        asio::co_spawn(
            m_strand,
            [self = shared_from_this(), host = host, request = std::move(request)]() mutable -> asio::awaitable<void> {
                co_await self->deliver(std::move(host), std::move(request));
            },
            asio::detached);
    }
}

asio::awaitable<void> LeaderTerm::deliver(std::string host, wire::ExecuteRequest request)
{
    request.mutable_leader()->set_epoch(m_ledger->epoch());
    request.mutable_leader()->set_address(m_options.address);
    const auto reply = co_await m_caller.execute(m_contacts[host].address, request, ExecuteTimeout);
    if (m_over) {
        co_return;
    }
    const TimePoint now = suspendAwareNow();
    if (reply) {
        m_directory.learn(reply->leader());
    }
    if (!reply || !reply->accepted()) {
        for (const wire::StartOrder &order : request.starts()) {
            m_scheduler.onNoReply(host, runOf(order.task(), order.run()), now);
        }
        m_changed = true;
        m_wake.notify();
        co_return;
    }
    for (const wire::StartResult &result : reply->starts()) {
        const auto outcome = startOutcomeOf(result.outcome());
        m_scheduler.onStartOutcome(host, runOf(result.task(), result.run()), outcome, now);
        m_changed = m_changed || outcome != Scheduling::StartOutcome::Started;
    }
    for (const wire::StopResult &result : reply->stops()) {
        m_scheduler.onStopOutcome(host, runOf(result.task(), result.run()), stopOutcomeOf(result.outcome()), now);
        m_changed = true;
    }
    if (m_changed) {
        m_wake.notify();
    }
}

void LeaderTerm::announceLeadership(TimePoint now)
{
    if (now - m_hostsCheckedAt < HostCheckInterval) {
        return;
    }
    m_hostsCheckedAt = now;
    for (const Scheduling::Host *host : m_scheduler.hosts()) {
        const bool follows = host->hasReported() && host->report().fencedEpoch == m_ledger->epoch();
        HostContact &contact = m_contacts[host->name()];
        if (follows || contact.address.empty() || now - contact.announcedAt < AnnounceInterval) {
            continue;
        }
        // An agent that cannot reach the store learns of the new leader from this call.
        contact.announcedAt = now;
        asio::co_spawn(
            m_strand,
            [self = shared_from_this(), name = host->name()]() -> asio::awaitable<void> {
                co_await self->deliver(name, wire::ExecuteRequest());
            },
            asio::detached);
    }
}

void LeaderTerm::sweep(TimePoint now)
{
    if (now - m_sweptAt < SweepInterval) {
        return;
    }
    m_sweptAt = now;
    m_tombstones.expire(now);
    for (const std::string &host : m_scheduler.forgetLostHosts(now)) {
        logInfo("host-forgotten").with("host", host);
        m_contacts.erase(host);
        std::erase(m_newHosts, host);
        m_deletions.push_back(StoreLayout::keyOf(StoreLayout::HostPrefix, host));
    }
    std::vector<std::string> forgotten;
    for (const auto &[id, job] : m_scheduler.jobs()) {
        if (job->isOver() && job->isIdle()
            && now - m_finishedSince.try_emplace(id, now).first->second > m_options.retention) {
            forgotten.push_back(id);
            if (forgotten.size() == JobsPerSweep) {
                break;
            }
        }
    }
    for (const std::string &id : forgotten) {
        deleteRows(*m_scheduler.find(id));
        m_scheduler.forget(id);
        m_finishedSince.erase(id);
        m_committedRound.erase(id);
        m_progressRows.erase(id);
        m_omittedCheckpoints.erase(id);
    }
}

void LeaderTerm::checkContact(TimePoint now)
{
    const Scheduling::ContactCount contact = m_scheduler.contact(now, ContactTimeout);
    if (contact.reporting * 2 >= contact.expected) {
        m_contactAt = now;
    } else if (now - m_contactAt > ContactTimeout && !m_resigning) {
        logWarning("contact-lost").with("reporting", contact.reporting).with("hosts", contact.expected);
        m_lostContact = true;
        m_resigning = true;
    }
}

bool LeaderTerm::processInboxCancellation(const Row &row, const std::string &job)
{
    if (m_scheduler.cancel(job)) {
        return true;
    }
    // Rows of earlier builds name no queue. Their clients were answered only when the job was known.
    wire::InboxCancellation cancellation;
    if (!cancellation.ParseFromString(row.value) || cancellation.queue().empty()) {
        return false;
    }
    m_tombstones.addFromInbox(job, cancellation.queue(), row.key, suspendAwareNow());
    return true;
}

void LeaderTerm::processInboxRow(const Row &row)
{
    const std::string name = StoredRows::nameOf(row, StoreLayout::InboxPrefix);
    const auto dot = name.find('.');
    const std::string id = name.substr(0, dot);
    if (dot != std::string::npos) {
        if (!processInboxCancellation(row, id)) {
            m_deletions.push_back(row.key);
            return;
        }
    } else if (auto job = StoredRows::readJob(row, StoreLayout::InboxPrefix); job && !m_heldJobs.contains(id)) {
        if (takeJob(std::move(job->spec), suspendAwareNow(), std::move(job->queue))
            == Scheduling::Scheduler::Submission::Accepted) {
            m_unstoredAcceptTimes[id] = job->acceptedUnixMs;
        }
    } else {
        m_deletions.push_back(row.key);
        return;
    }
    logInfo("inbox-taken").with("row", row.key);
    m_changed = true;
    m_wake.notify();
    if (m_scheduler.find(id) == nullptr) {
        // The row is removed with the write of the tombstone.
        return;
    }
    // The row is removed with the next write of the job, or on its own when the job is stored already.
    if (m_scheduler.isDirty(id)) {
        m_inboxKeys[id].insert(row.key);
    } else {
        m_deletions.push_back(row.key);
    }
}

void LeaderTerm::processInboxRows(std::span<const Row> rows)
{
    // A snapshot is ordered by key. A cancellation before a submission is that of a job which was not known then; rows
    // of one version are ordered by key, so that a submission precedes a cancellation of the same job.
    std::vector<const Row *> ordered;
    std::ranges::transform(rows, std::back_inserter(ordered), [](const Row &row) { return &row; });
    std::ranges::stable_sort(ordered, {}, &Row::version);
    for (const Row *row : ordered) {
        if (m_processedInboxKeys.insert(row->key).second) {
            processInboxRow(*row);
        }
    }
}

void LeaderTerm::noteInboxRead(TimePoint readAt)
{
    m_inboxKnownVersion = m_inboxVersion;
    m_inboxKnownAt = readAt;
}

asio::awaitable<void> LeaderTerm::watchInbox()
{
    while (!m_over) {
        const TimePoint readAt = suspendAwareNow();
        std::vector<Row> rows;
        bool answered = false;
        if (m_inboxVersion == 0) {
            const auto snapshot = co_await m_table.snapshot(StoreLayout::InboxPrefix);
            if (isOk(snapshot)) {
                rows = valueOf(snapshot).rows;
                m_inboxVersion = valueOf(snapshot).version;
                answered = true;
            }
        } else {
            const ChangesOutcome outcome = co_await m_table.changes(
                StoreLayout::InboxPrefix, m_inboxVersion, InboxWatchTimeout);
            if (const auto *changes = std::get_if<TableChanges>(&outcome)) {
                for (const TableChange &change : changes->changes) {
                    if (change.value) {
                        rows.push_back({.key = change.key, .value = *change.value, .version = change.version});
                    } else {
                        m_processedInboxKeys.erase(change.key);
                    }
                }
                m_inboxVersion = changes->version;
                answered = true;
            } else if (std::holds_alternative<HistoryGone>(outcome)) {
                m_inboxVersion = 0;
                answered = true;
            }
        }
        if (m_over) {
            co_return;
        }
        processInboxRows(rows);
        if (answered && m_inboxVersion > 0) {
            noteInboxRead(readAt);
        }
        if (!answered) {
            co_await sleepFor(InboxRetryDelay);
        }
    }
}

} // namespace Carobflow
