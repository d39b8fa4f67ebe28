#include "carobflow/control/ledger.h"

#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"
#include "carobflow/logging/log.h"

#include <algorithm>
#include <array>

#include <control.pb.h>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

namespace
{

/// Delay after a refused write. A write takes 5 ms, so a short refusal costs little time, and a store that refuses
/// writes for seconds is called ten times a second.
constexpr Milliseconds RefusedWriteDelay{100};
/// Every write contains the head row as a condition and as a mutation, with fewer bytes than this: a former term takes
/// up to 24 bytes, and there are at most 12.
constexpr std::size_t HeadEntries = 2;
constexpr std::size_t HeadBytes = 500;
/// Leases of leaders of earlier builds may last this much longer after their last write.
constexpr Seconds EarlierBuildExtra{11};
/// Delay after a lost reply; the call itself has already waited for its time-out.
constexpr Milliseconds LostReplyDelay{10};

Error deposed()
{
    return {ErrorKind::Conflict, "leadership lost: another process has taken over"};
}

} // namespace

Ledger::Ledger(Options options, WatchableTable &table)
    : m_options(std::move(options))
    , m_table(table)
{
}

std::string Ledger::headValue(std::uint64_t token, TimePoint sentAt) const
{
    wire::LedgerHead head;
    head.set_epoch(m_epoch);
    head.set_sequence(m_sequence);
    head.set_token(token);
    head.set_sent_store_ms(m_table.clock().latest(sentAt).value_or(Milliseconds(0)).count());
    for (const Scheduling::EndedTerm &term : m_formerTerms.terms()) {
        wire::EndedTerm &entry = *head.add_former_terms();
        entry.set_epoch(term.epoch);
        entry.set_last_write_store_ms(term.lastWrite.count());
    }
    return head.SerializeAsString();
}

void Ledger::recordFormerTerms(const wire::LedgerHead &before, TimePoint now)
{
    if (before.epoch() == 0) {
        return;
    }
    std::vector<Scheduling::EndedTerm> terms;
    for (const wire::EndedTerm &entry : before.former_terms()) {
        terms.push_back({.epoch = entry.epoch(), .lastWrite = Milliseconds(entry.last_write_store_ms())});
    }
    m_formerTerms = Scheduling::TermHistory(std::move(terms));
    const Milliseconds storeNow = m_table.clock().latest(now).value_or(Milliseconds(0));
    // A row without the time dates from an earlier build, whose leader may have written until now.
    const Milliseconds lastWrite = before.sent_store_ms() > 0 ? Milliseconds(before.sent_store_ms())
                                                              : storeNow + EarlierBuildExtra;
    m_formerTerms.add({.epoch = before.epoch(), .lastWrite = lastWrite},
                      storeNow - std::chrono::duration_cast<Milliseconds>(m_options.termRetention));
}

std::string Ledger::leaderValue(const std::string &address, bool lostContact) const
{
    wire::Leadership leadership;
    leadership.set_epoch(m_epoch);
    leadership.set_name(m_options.name);
    leadership.set_address(address);
    leadership.set_renewal(m_renewal);
    leadership.set_lost_contact(lostContact);
    return leadership.SerializeAsString();
}

Mutation Ledger::renewal()
{
    ++m_renewal;
    return {.key = std::string(StoreLayout::LeaderKey), .value = leaderValue(m_options.address)};
}

Mutation Ledger::resignation(bool lostContact) const
{
    return {.key = std::string(StoreLayout::LeaderKey), .value = leaderValue({}, lostContact)};
}

asio::awaitable<Status> Ledger::takeOver(Epoch lastKnown)
{
    const std::vector<std::string> keys{std::string(StoreLayout::LedgerHeadKey)};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return errorOf(rows);
    }
    wire::LedgerHead before;
    m_headVersion = 0;
    if (!valueOf(rows).empty()) {
        m_headVersion = valueOf(rows).front().version;
        if (!before.ParseFromString(valueOf(rows).front().value) || before.epoch() == 0
            || before.epoch() > StoreLayout::HighestEpoch) {
            logError("head-unreadable")
                .with("row", StoreLayout::LedgerHeadKey)
                .with("row_version", m_headVersion)
                .with("remedy", "none needed; the next leader writes it again");
            const auto epoch = co_await readLeaderEpoch();
            if (!isOk(epoch)) {
                co_return errorOf(epoch);
            }
            // Nothing is known of former terms, so the longest wait applies to every host.
            before.Clear();
            lastKnown = std::max(lastKnown, valueOf(epoch));
        }
    }
    if (before.epoch() > lastKnown) {
        co_return deposed();
    }
    m_epoch = std::max(before.epoch(), lastKnown) + 1;
    m_sequence = 0;
    const TimePoint sentAt = suspendAwareNow();
    recordFormerTerms(before, sentAt);
    const std::uint64_t token = randomNumber();
    Transaction transaction;
    transaction.conditions.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .version = m_headVersion});
    transaction.mutations.push_back(
        {.key = std::string(StoreLayout::LedgerHeadKey), .value = headValue(token, sentAt)});
    transaction.mutations.push_back(renewal());
    const TransactOutcome outcome = co_await m_table.transact(transaction);
    if (const auto *committed = std::get_if<Committed>(&outcome)) {
        m_headVersion = committed->version;
        m_confirmedAt = sentAt;
        co_return std::monostate{};
    }
    if (std::holds_alternative<Conflict>(outcome)) {
        co_return deposed();
    }
    if (std::holds_alternative<TableUnavailable>(outcome)) {
        co_return Error{ErrorKind::Unavailable, std::get<TableUnavailable>(outcome).reason};
    }
    if (const Status found = co_await findToken(token); !isOk(found)) {
        co_return Error{ErrorKind::Unavailable, "the reply to the take-over transaction was lost"};
    }
    m_confirmedAt = sentAt;
    co_return std::monostate{};
}

asio::awaitable<Result<Epoch>> Ledger::readLeaderEpoch()
{
    const std::vector<std::string> keys{std::string(StoreLayout::LeaderKey)};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return errorOf(rows);
    }
    wire::Leadership leadership;
    if (!valueOf(rows).empty() && leadership.ParseFromString(valueOf(rows).front().value)
        && leadership.epoch() <= StoreLayout::HighestEpoch) {
        co_return leadership.epoch();
    }
    co_return Epoch{0};
}

asio::awaitable<Status> Ledger::findToken(std::uint64_t token)
{
    const std::vector<std::string> keys{std::string(StoreLayout::LedgerHeadKey)};
    const auto rows = co_await m_table.read(keys);
    if (!isOk(rows)) {
        co_return errorOf(rows);
    }
    wire::LedgerHead head;
    if (valueOf(rows).empty() || !head.ParseFromString(valueOf(rows).front().value)) {
        co_return deposed();
    }
    if (head.token() == token) {
        m_headVersion = valueOf(rows).front().version;
        co_return std::monostate{};
    }
    if (head.epoch() != m_epoch) {
        co_return deposed();
    }
    m_headVersion = valueOf(rows).front().version;
    co_return Error{ErrorKind::NotFound, "the write was not applied"};
}

TransactionLimits Ledger::commitLimits() const
{
    const TransactionLimits limits = m_table.limits();
    return {.entries = limits.entries - HeadEntries, .bytes = limits.bytes - HeadBytes, .rowBytes = limits.rowBytes};
}

asio::awaitable<Status> Ledger::commit(std::vector<Mutation> mutations)
{
    ++m_sequence;
    const std::uint64_t token = randomNumber();
    Transaction transaction;
    transaction.mutations = std::move(mutations);
    transaction.mutations.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .value = std::nullopt});
    transaction.conditions.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .version = m_headVersion});
    // Any attempt may be the one that is applied. A confirmation counts from the first: the head row of that attempt
    // has the earliest time, from which a successor derives when the leases of this leader end.
    const TimePoint firstSentAt = suspendAwareNow();
    for (;;) {
        if (m_options.isDeposed(m_epoch)) {
            co_return deposed();
        }
        transaction.conditions.front().version = m_headVersion;
        const TimePoint sentAt = suspendAwareNow();
        transaction.mutations.back().value = headValue(token, sentAt);
        const TransactOutcome outcome = co_await m_table.transact(transaction);
        if (const auto *committed = std::get_if<Committed>(&outcome)) {
            m_headVersion = committed->version;
            m_confirmedAt = sentAt;
            co_return std::monostate{};
        }
        ++m_retries;
        if (std::holds_alternative<Conflict>(outcome)) {
            const Status found = co_await findToken(token);
            if (isOk(found)) {
                m_confirmedAt = firstSentAt;
                co_return std::monostate{};
            }
            if (errorOf(found).kind == ErrorKind::Conflict) {
                co_return deposed();
            }
            logWarning("ledger-conflict")
                .with("epoch", m_epoch)
                .with("sequence", m_sequence)
                .with("error", errorOf(found).message);
            continue;
        }
        const bool lost = std::holds_alternative<ReplyLost>(outcome);
        logWarning("ledger-retry")
            .with("epoch", m_epoch)
            .with("sequence", m_sequence)
            .with("outcome", lost ? "reply-lost" : "refused")
            .with("error", lost ? std::get<ReplyLost>(outcome).reason : std::get<TableUnavailable>(outcome).reason);
        co_await sleepFor(lost ? LostReplyDelay : RefusedWriteDelay);
    }
}

} // namespace Carobflow
