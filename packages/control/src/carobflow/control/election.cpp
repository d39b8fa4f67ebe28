#include "carobflow/control/election.h"

#include "carobflow/control/storelayout.h"
#include "carobflow/core/clock.h"
#include "carobflow/logging/log.h"

#include <algorithm>

#include <boost/asio/strand.hpp>

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

namespace
{

constexpr Milliseconds WatchTimeout{1000};
constexpr Milliseconds WatchRetryDelay{150};
constexpr Milliseconds CandidateInterval{40};
/// Candidates spread their attempts over this time by the hash of their names.
constexpr Milliseconds AttemptSpread{240};
/// A leader that has answered within this time is heard. Less than the five seconds without contact after which it
/// resigns, and longer than an answer of an overloaded leader takes.
constexpr Milliseconds HeardRecently{3500};
/// Delay after a failed attempt and after a term, while others lead.
constexpr Milliseconds CandidacyBackoff{1000};

} // namespace

Election::Election(const asio::any_io_executor &executor,
                   Options options,
                   WatchableTable &table,
                   LeaderDirectory &directory,
                   OperatorSync &operators,
                   ControlCaller &caller)
    : m_executor(executor)
    , m_strand(asio::make_strand(executor))
    , m_options(std::move(options))
    , m_table(table)
    , m_directory(directory)
    , m_operators(operators)
    , m_caller(caller)
    , m_candidacy({.delay = Milliseconds(stableHash(m_options.ledger.name) % AttemptSpread.count())})
{
}

void Election::start()
{
    spawnLoop(m_strand, watchLoop());
    if (m_options.isCandidate) {
        spawnLoop(m_strand, candidateLoop());
    }
}

void Election::onLeaderRow(const Row *row, TimePoint now)
{
    wire::Leadership leadership;
    if (row == nullptr) {
        m_candidacy.onRow(0, Scheduling::Vacancy::None, now);
        return;
    }
    if (!leadership.ParseFromString(row->value) || leadership.epoch() == 0
        || leadership.epoch() > StoreLayout::HighestEpoch) {
        // A leader writes its row again within its renewal interval, so the row says nothing about a vacancy.
        logWarning("leader-row-unreadable").with("row", row->key).with("row_version", row->version);
        m_candidacy.onRow(row->version, Scheduling::Vacancy::None, now);
        return;
    }
    m_directory.learn(leadership.epoch(), leadership.address());
    m_candidacy.onRow(row->version, vacancyOf(leadership, now), now);
}

Scheduling::Vacancy Election::vacancyOf(const wire::Leadership &leadership, TimePoint now) const
{
    if (leadership.address().empty()) {
        const bool isHeard = m_directory.hasAnsweredSince(leadership.epoch(), now - HeardRecently);
        return leadership.lost_contact() && isHeard ? Scheduling::Vacancy::LeftToOthers : Scheduling::Vacancy::Vacant;
    }
    // A row that names this process while it neither leads nor is taking over dates from before a restart.
    const bool isOwn = leadership.address() == m_options.ledger.address && !m_takingOver;
    return isOwn ? Scheduling::Vacancy::Vacant : Scheduling::Vacancy::None;
}

asio::awaitable<void> Election::watchLoop()
{
    std::uint64_t version = 0;
    std::optional<Row> row;
    for (;;) {
        bool answered = false;
        if (version == 0) {
            const auto snapshot = co_await m_table.snapshot(StoreLayout::ControlPrefix);
            if (isOk(snapshot)) {
                answered = true;
                version = valueOf(snapshot).version;
                row.reset();
                for (const Row &candidate : valueOf(snapshot).rows) {
                    if (candidate.key == StoreLayout::LeaderKey) {
                        row = candidate;
                    }
                }
            }
        } else {
            const ChangesOutcome outcome = co_await m_table.changes(StoreLayout::ControlPrefix, version, WatchTimeout);
            if (const auto *changes = std::get_if<TableChanges>(&outcome)) {
                answered = true;
                version = changes->version;
                for (const TableChange &change : changes->changes) {
                    if (change.key == StoreLayout::LeaderKey && change.value) {
                        row = Row{.key = change.key, .value = *change.value, .version = change.version};
                    }
                }
            } else if (std::holds_alternative<HistoryGone>(outcome)) {
                version = 0;
                continue;
            }
        }
        if (answered) {
            onLeaderRow(row ? &*row : nullptr, suspendAwareNow());
        } else {
            version = 0;
            m_candidacy.onStoreUnavailable();
            co_await sleepFor(WatchRetryDelay);
        }
    }
}

asio::awaitable<void> Election::candidateLoop()
{
    while (!m_leaving) {
        co_await sleepFor(CandidateInterval);
        if (m_candidacy.shouldTakeOver(suspendAwareNow()) && m_operators.current() && !m_leaving) {
            m_takingOver = true;
            co_await tryToLead();
            m_takingOver = false;
            m_candidacy.deferUntil(suspendAwareNow() + CandidacyBackoff);
        }
    }
}

asio::awaitable<void> Election::tryToLead()
{
    auto ledger = std::make_unique<Ledger>(m_options.ledger, m_table);
    const Status taken = co_await ledger->takeOver(m_directory.current().epoch);
    if (!isOk(taken)) {
        logInfo("take-over-failed").with("error", errorOf(taken).message);
        co_return;
    }
    m_directory.learn(ledger->epoch(), m_options.ledger.address);
    auto term = std::make_shared<LeaderTerm>(
        m_executor, m_options.term, std::move(ledger), m_table, m_directory, m_operators, m_caller);
    m_term.store(term);
    // A separate variable: GCC 12 destroys the captures of a lambda within a co_await expression twice.
    asio::awaitable<void> leading = term->run();
    co_await asio::co_spawn(term->strand(), std::move(leading), asio::use_awaitable);
    m_term.store(nullptr);
}

asio::awaitable<void> Election::leave()
{
    m_leaving = true;
    if (const auto term = m_term.load()) {
        asio::post(term->strand(), [term] { term->resign(); });
        while (m_term.load()) {
            co_await sleepFor(Milliseconds(10));
        }
    }
}

} // namespace Carobflow
