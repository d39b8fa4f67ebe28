#include "carobflow/control/jobrouter.h"

#include "carobflow/control/conversion.h"
#include "carobflow/control/storedrows.h"
#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

namespace
{

constexpr Milliseconds LeaderTimeout{700};
constexpr Milliseconds ConnectTimeout{40};
constexpr Milliseconds RetryInterval{25};
/// A change of leader takes about this long after a planned stop. A request that has waited longer uses the store
/// directly.
constexpr Milliseconds StoreFallbackDelay{350};
/// A request that reached neither a leader nor the store is rejected after this time, so that the client tries another
/// entry.
constexpr Milliseconds UnreachableTimeout{900};
/// Minimum interval between two store calls for one request. All processes share the store's request rate, and a store
/// that recovers would otherwise receive the retries of all waiting requests at once.
constexpr Milliseconds StoreCallInterval{200};
/// Clients may be shown a count that is up to 2 s old.
constexpr Milliseconds MaxPendingCountAge{1000};
/// A leader that keeps up has read the inbox within 2 s. With the age of a count and the time-out of a call, a count is
/// less than 5 s old, the most that clients accept.
constexpr Milliseconds MaxInboxAge{2500};
/// Cancellations of unknown jobs that an entry puts into the inbox in one interval. A leader keeps each for minutes,
/// beyond the limit that it keeps to itself.
constexpr std::size_t MaxInboxTombstones = 200;
constexpr Seconds InboxTombstoneInterval{120};
constexpr Milliseconds StallTickInterval{1000};

Milliseconds remaining(TimePoint deadline)
{
    return std::chrono::duration_cast<Milliseconds>(deadline - suspendAwareNow());
}

Milliseconds callTimeout(TimePoint deadline)
{
    return std::clamp(remaining(deadline), Milliseconds(1), LeaderTimeout);
}

/// Number of jobs of a queue that entries have put into the inbox after a version of the table, without those that have
/// due times or are cancelled there.
std::uint32_t countInbox(const TableSnapshot &inbox, std::string_view queue, std::uint64_t after)
{
    std::set<std::string_view> keys;
    std::ranges::transform(inbox.rows, std::inserter(keys, keys.end()), &Row::key);
    return static_cast<std::uint32_t>(std::ranges::count_if(inbox.rows, [&](const Row &row) {
        const std::string name = row.key.substr(StoreLayout::InboxPrefix.size());
        wire::Job job;
        return row.version > after && name.find('.') == std::string::npos
            && !keys.contains(StoreLayout::cancellationKey(name)) && job.ParseFromString(row.value)
            && job.queue() == queue && !job.scheduled();
    }));
}

/// Limits the rate of store calls for one request; calls to the leader are not limited.
class StoreCallThrottle
{
public:
    /// Returns true, and starts the next interval, when a call may be made now.
    bool tryAcquire()
    {
        const TimePoint now = suspendAwareNow();
        if (now < m_next) {
            return false;
        }
        m_next = now + StoreCallInterval;
        return true;
    }

private:
    TimePoint m_next;
};

} // namespace

JobRouter::JobRouter(WatchableTable &table,
                     LeaderDirectory &directory,
                     OperatorSync &operators,
                     ControlCaller &caller,
                     StallWatch::Options stalls)
    : m_table(table)
    , m_directory(directory)
    , m_operators(operators)
    , m_caller(caller)
    , m_stalls(stalls, suspendAwareNow())
{
}

asio::awaitable<void> JobRouter::watchStalls()
{
    for (;;) {
        m_stalls.tick(suspendAwareNow());
        co_await sleepFor(StallTickInterval);
    }
}

std::uint64_t JobRouter::configurationVersion() const
{
    const auto view = m_operators.current();
    return view ? view->configurationVersion : 0;
}

bool JobRouter::isUsable() const
{
    return m_operators.current() != nullptr && !m_directory.current().address.empty();
}

asio::awaitable<JobRouter::InboxOutcome> JobRouter::writeInbox(std::string key, std::string value)
{
    Transaction transaction;
    transaction.conditions.push_back({.key = key, .version = 0});
    transaction.mutations.push_back({.key = key, .value = std::move(value)});
    const TransactOutcome outcome = co_await m_table.transact(transaction);
    if (std::holds_alternative<Committed>(outcome) || std::holds_alternative<Conflict>(outcome)) {
        // An existing row holds the same request.
        co_return InboxOutcome::Written;
    }
    co_return std::holds_alternative<ReplyLost>(outcome) ? InboxOutcome::Unknown : InboxOutcome::Refused;
}

asio::awaitable<SubmitOutcome> JobRouter::submit(Scheduling::JobSpec job, TimePoint deadline)
{
    wire::SubmitRequest request;
    *request.mutable_job() = toMessage(job);
    request.set_configuration_version(configurationVersion());
    const TimePoint began = suspendAwareNow();
    if (m_stalls.isSuspect(began)) {
        // An earlier request with this id may have been stored, so this is no rejection.
        logWarning("job-refused").with("job", job.id).with("reason", "entry-stood-still");
        co_return JobOutcomeUnknown{};
    }
    bool mayBeStored = false;
    bool storeUnavailable = false;
    StoreCallThrottle storeThrottle;
    while (remaining(deadline) > RetryInterval) {
        const std::string leader = m_directory.current().address;
        bool connected = false;
        if (!leader.empty()) {
            connected = co_await m_caller.waitConnected(leader, ConnectTimeout);
        }
        if (connected) {
            request.set_may_be_stored(mayBeStored);
            const auto reply = co_await m_caller.submit(leader, request, callTimeout(deadline));
            if (reply) {
                m_directory.learn(reply->leader());
                if (reply->outcome() == wire::SubmitReply::STORED) {
                    co_return JobStored{};
                }
                if (reply->outcome() == wire::SubmitReply::OVERLOADED && !mayBeStored) {
                    co_return JobRejected{.retryAfter = Milliseconds(reply->retry_after_ms()), .overloaded = true};
                }
                if (reply->outcome() == wire::SubmitReply::QUEUE_REMOVED && !mayBeStored) {
                    co_return QueueRemoved{};
                }
                mayBeStored = mayBeStored || reply->outcome() == wire::SubmitReply::UNCERTAIN;
                storeUnavailable = reply->outcome() == wire::SubmitReply::STORE_AWAY && !m_operators.isStoreFresh();
                if (storeUnavailable && !mayBeStored) {
                    // Neither the leader nor this entry reaches the store, so waiting would only delay the client.
                    co_return JobRejected{};
                }
            } else {
                mayBeStored = true;
            }
        }
        if (suspendAwareNow() - began > StoreFallbackDelay && !storeUnavailable && storeThrottle.tryAcquire()) {
            if (const auto view = m_operators.current()) {
                if (const Scheduling::Queue *queue = view->findQueue(job.queue)) {
                    // The queue may be removed before a leader reads the row.
                    *request.mutable_job()->mutable_queue_settings() = toMessage(*queue);
                }
            }
            request.mutable_job()->set_accepted_unix_ms(
                std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
            const InboxOutcome written = co_await writeInbox(StoreLayout::keyOf(StoreLayout::InboxPrefix, job.id),
                                                             request.job().SerializeAsString());
            logInfo("inbox-written")
                .with("job", job.id)
                .with("stored", written == InboxOutcome::Written)
                .with("leader", leader);
            if (written == InboxOutcome::Written) {
                co_return JobStored{};
            }
            mayBeStored = mayBeStored || written == InboxOutcome::Unknown;
        }
        if (!mayBeStored && suspendAwareNow() - began > UnreachableTimeout) {
            co_return JobRejected{};
        }
        co_await sleepFor(RetryInterval);
    }
    if (mayBeStored) {
        co_return JobOutcomeUnknown{};
    }
    co_return JobRejected{};
}

asio::awaitable<JobRouter::InboxOutcome> JobRouter::writeCancellation(std::string id, std::string queue)
{
    wire::InboxCancellation cancellation;
    cancellation.set_queue(queue);
    const std::string key = StoreLayout::cancellationKey(id);
    const std::string value = cancellation.SerializeAsString();
    Transaction transaction;
    transaction.conditions.push_back({.key = key, .version = 0});
    transaction.mutations.push_back({.key = key, .value = value});
    const TransactOutcome outcome = co_await m_table.transact(transaction);
    bool written = std::holds_alternative<Committed>(outcome);
    if (std::holds_alternative<Conflict>(outcome)) {
        const std::vector<std::string> keys{key};
        const auto rows = co_await m_table.read(keys);
        written = isOk(rows) && !valueOf(rows).empty() && valueOf(rows).front().value == value;
    }
    logInfo("inbox-written").with("job", id).with("cancel", written);
    co_return written ? InboxOutcome::Written : InboxOutcome::Unknown;
}

bool JobRouter::admitTombstone(const std::string &id)
{
    const TimePoint now = suspendAwareNow();
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_inboxTombstones, [&](const auto &entry) { return now - entry.second > InboxTombstoneInterval; });
    if (!m_inboxTombstones.contains(id) && m_inboxTombstones.size() >= MaxInboxTombstones) {
        return false;
    }
    m_inboxTombstones.try_emplace(id, now);
    return true;
}

asio::awaitable<std::optional<CancelOutcome>> JobRouter::cancelInInbox(std::string id, std::string queue)
{
    const QueryOutcome known = co_await readPhase(id);
    const bool isUnknown = std::holds_alternative<JobUnknown>(known);
    if (std::holds_alternative<JobOutcomeUnknown>(known)) {
        co_return std::nullopt;
    }
    if (isUnknown && !admitTombstone(id)) {
        logWarning("cancellation-refused")
            .with("job", id)
            .with("remedy", "none while leaders change; else find the client that cancels jobs which do not exist");
        co_return CancelOutcome(CancelRefused{});
    }
    const InboxOutcome written = co_await writeCancellation(id, std::move(queue));
    if (written != InboxOutcome::Written) {
        co_return std::nullopt;
    }
    co_return isUnknown ? CancelOutcome(JobUnknown{}) : CancelOutcome(JobCancelled{});
}

asio::awaitable<CancelOutcome> JobRouter::cancel(std::string id, std::string queue, TimePoint deadline)
{
    wire::CancelRequest request;
    request.set_id(id);
    request.set_queue(queue);
    const TimePoint began = suspendAwareNow();
    StoreCallThrottle storeThrottle;
    while (remaining(deadline) > RetryInterval) {
        const std::string leader = m_directory.current().address;
        if (!leader.empty()) {
            const auto reply = co_await m_caller.cancel(leader, request, callTimeout(deadline));
            if (reply) {
                m_directory.learn(reply->leader());
                if (reply->outcome() == wire::CancelReply::CANCELLED) {
                    co_return JobCancelled{};
                }
                if (reply->outcome() == wire::CancelReply::TOO_MANY) {
                    co_return CancelRefused{};
                }
            }
            if (reply && reply->outcome() == wire::CancelReply::UNKNOWN_JOB && reply->remembered()) {
                // An entry may have put the job into the inbox while the leader could not be reached. The leader takes
                // it from there as cancelled.
                const QueryOutcome known = co_await readPhase(id);
                if (std::holds_alternative<JobUnknown>(known)) {
                    co_return JobUnknown{};
                }
                co_return JobCancelled{};
            }
        }
        if (suspendAwareNow() - began > StoreFallbackDelay && storeThrottle.tryAcquire()) {
            const auto outcome = co_await cancelInInbox(id, queue);
            if (outcome) {
                co_return *outcome;
            }
        }
        co_await sleepFor(RetryInterval);
    }
    co_return JobOutcomeUnknown{};
}

asio::awaitable<QueryOutcome> JobRouter::readPhase(std::string id)
{
    // The leader moves a job out of the inbox in one transaction, so a job that this read finds in neither place does
    // not exist.
    const std::string inboxKey = StoreLayout::keyOf(StoreLayout::InboxPrefix, id);
    const std::string jobKey = StoreLayout::keyOf(StoreLayout::JobPrefix, id);
    const std::string progressKey = StoreLayout::keyOf(StoreLayout::ProgressPrefix, id);
    const std::vector<std::string> keys{inboxKey, jobKey, progressKey};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return JobOutcomeUnknown{};
    }
    std::optional<StoredRows::StoredJob> job;
    std::optional<Scheduling::JobProgress> progress;
    bool inInbox = false;
    bool stored = false;
    for (const Row &row : valueOf(rows)) {
        if (row.key == inboxKey) {
            inInbox = true;
        } else if (row.key == jobKey) {
            stored = true;
            job = StoredRows::readJob(row, StoreLayout::JobPrefix);
        } else {
            progress = StoredRows::readProgress(row, StoreLayout::ProgressPrefix);
        }
    }
    if (stored) {
        if (!job || !progress) {
            co_return JobOutcomeUnknown{};
        }
        Scheduling::Job restored(std::move(job->spec), {}, {});
        restored.restore(*progress, {});
        co_return restored.phase();
    }
    if (inInbox) {
        co_return Scheduling::JobPhase::Queued;
    }
    co_return JobUnknown{};
}

asio::awaitable<QueryOutcome> JobRouter::query(std::string id, TimePoint deadline)
{
    wire::QueryRequest request;
    request.set_id(id);
    const TimePoint began = suspendAwareNow();
    StoreCallThrottle storeThrottle;
    while (remaining(deadline) > RetryInterval) {
        const std::string leader = m_directory.current().address;
        bool unknown = false;
        if (!leader.empty()) {
            const auto reply = co_await m_caller.query(leader, request, callTimeout(deadline));
            if (reply) {
                m_directory.learn(reply->leader());
                const auto phase = phaseOf(reply->phase());
                if (reply->outcome() == wire::QueryReply::FOUND && phase) {
                    co_return *phase;
                }
                unknown = reply->outcome() == wire::QueryReply::UNKNOWN_JOB;
            }
        }
        if ((unknown || suspendAwareNow() - began > StoreFallbackDelay) && storeThrottle.tryAcquire()) {
            QueryOutcome outcome = co_await readPhase(id);
            if (!std::holds_alternative<JobOutcomeUnknown>(outcome)) {
                co_return outcome;
            }
        }
        co_await sleepFor(RetryInterval);
    }
    co_return JobOutcomeUnknown{};
}

asio::awaitable<CountOutcome> JobRouter::countPending(std::string queue, TimePoint deadline)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_pending.find(queue);
        if (known != m_pending.end() && suspendAwareNow() - known->second.readAt < MaxPendingCountAge) {
            co_return known->second.count;
        }
    }
    wire::CountPendingRequest request;
    request.set_queue(queue);
    request.set_configuration_version(configurationVersion());
    std::optional<TableSnapshot> inbox;
    while (remaining(deadline) > RetryInterval) {
        const std::string leader = m_directory.current().address;
        const TimePoint sentAt = suspendAwareNow();
        if (!leader.empty()) {
            const auto reply = co_await m_caller.countPending(leader, request, callTimeout(deadline));
            if (reply) {
                m_directory.learn(reply->leader());
            }
            if (reply && reply->is_leader() && reply->queue_removed()) {
                co_return QueueRemoved{};
            }
            if (reply && reply->is_leader()) {
                const bool isInboxKnown = Milliseconds(reply->inbox_age_ms()) <= MaxInboxAge;
                if (isInboxKnown || inbox) {
                    const std::uint32_t unread = isInboxKnown ? 0 : countInbox(*inbox, queue, reply->inbox_version());
                    const std::uint32_t count = reply->pending() + unread;
                    const std::lock_guard lock(m_mutex);
                    m_pending[queue] = {.count = count, .readAt = sentAt};
                    co_return count;
                }
                // The leader is asked once more afterwards: it may take jobs out of the inbox before this read.
                const auto snapshot = co_await m_table.snapshot(StoreLayout::InboxPrefix);
                if (!isOk(snapshot)) {
                    co_return JobOutcomeUnknown{};
                }
                inbox = valueOf(snapshot);
                continue;
            }
        }
        co_await sleepFor(RetryInterval);
    }
    co_return JobOutcomeUnknown{};
}

} // namespace Carobflow
