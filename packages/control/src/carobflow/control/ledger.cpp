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
/// Every write contains the head row as a condition and as a mutation, with fewer bytes than this.
constexpr std::size_t HeadEntries = 2;
constexpr std::size_t HeadBytes = 200;
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

std::string Ledger::headValue(std::uint64_t token) const
{
    wire::LedgerHead head;
    head.set_epoch(m_epoch);
    head.set_sequence(m_sequence);
    head.set_token(token);
    return head.SerializeAsString();
}

std::string Ledger::leaderValue(const std::string &address) const
{
    wire::Leadership leadership;
    leadership.set_epoch(m_epoch);
    leadership.set_name(m_options.name);
    leadership.set_address(address);
    leadership.set_renewal(m_renewal);
    return leadership.SerializeAsString();
}

Mutation Ledger::renewal()
{
    ++m_renewal;
    return {.key = std::string(StoreLayout::LeaderKey), .value = leaderValue(m_options.address)};
}

Mutation Ledger::resignation() const
{
    return {.key = std::string(StoreLayout::LeaderKey), .value = leaderValue({})};
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
        if (!before.ParseFromString(valueOf(rows).front().value)) {
            co_return Error{ErrorKind::Internal, "the row ledger/head cannot be read; remove it while no leader runs"};
        }
    }
    if (before.epoch() > lastKnown) {
        co_return deposed();
    }
    m_epoch = before.epoch() + 1;
    m_sequence = 0;
    const std::uint64_t token = randomNumber();
    Transaction transaction;
    transaction.conditions.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .version = m_headVersion});
    transaction.mutations.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .value = headValue(token)});
    transaction.mutations.push_back(renewal());
    const TimePoint sentAt = suspendAwareNow();
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
    return {.entries = limits.entries - HeadEntries, .bytes = limits.bytes - HeadBytes};
}

asio::awaitable<Status> Ledger::commit(std::vector<Mutation> mutations)
{
    ++m_sequence;
    const std::uint64_t token = randomNumber();
    Transaction transaction;
    transaction.mutations = std::move(mutations);
    transaction.mutations.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .value = headValue(token)});
    transaction.conditions.push_back({.key = std::string(StoreLayout::LedgerHeadKey), .version = m_headVersion});
    for (;;) {
        if (m_options.isDeposed(m_epoch)) {
            co_return deposed();
        }
        transaction.conditions.front().version = m_headVersion;
        const TimePoint sentAt = suspendAwareNow();
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
                m_confirmedAt = sentAt;
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
