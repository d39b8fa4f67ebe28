#include "carobflow/core/chargeflow.h"

#include "carobflow/core/internal/chargerow.h"
#include "carobflow/core/invariant.h"

#include <utility>

namespace Carobflow
{
namespace
{

constexpr Milliseconds StoreRetryAfter{1000};

} // namespace

ChargeFlow::ChargeFlow(Options options)
    : m_options(std::move(options))
{
}

std::string ChargeFlow::rowKey() const
{
    return "charge/" + m_options.service + "/" + m_options.key;
}

bool ChargeFlow::shouldBackOff() const
{
    return m_backOff;
}

ChargeFlow::Step ChargeFlow::next()
{
    if (m_stage == Stage::Start && !m_replied) {
        return create();
    }
    return m_stage == Stage::Releasing ? release() : finish();
}

ChargeFlow::ReadRowStep ChargeFlow::readRow() const
{
    return {.key = rowKey()};
}

ChargeFlow::TransactStep ChargeFlow::write(std::uint64_t version, const ChargeRow &row) const
{
    return {.transaction = {.conditions = {{.key = rowKey(), .version = version}},
                            .mutations = {{.key = rowKey(), .value = encodeChargeRow(row)}}}};
}

ChargeFlow::Step ChargeFlow::finish()
{
    m_stage = Stage::Done;
    return DoneStep{};
}

ChargeFlow::Step ChargeFlow::reply(ChargeReply reply, Stage next)
{
    requireInvariant(!m_replied, "charge-replies-once", m_options.key);
    m_replied = true;
    m_stage = next;
    return ReplyStep{.reply = std::move(reply), .more = next != Stage::Done};
}

ChargeFlow::Step ChargeFlow::create()
{
    requireInvariant(m_rowVersion == 0 && !m_attempted, "charge-creates-before-attempt", m_options.key);
    m_stage = Stage::Creating;
    m_rowExists = false;
    return write(m_baseVersion,
                 {.state = ChargeRow::State::Pending,
                  .token = m_options.token,
                  .digest = m_options.requestDigest,
                  .answer = {}});
}

ChargeFlow::Step ChargeFlow::onRowOwned(std::uint64_t version)
{
    m_rowVersion = version;
    if (m_replied) {
        return release();
    }
    requireInvariant(m_rowVersion != 0, "charge-row-before-attempt", m_options.key);
    requireInvariant(!m_attempted, "charge-attempts-once", m_options.key);
    m_attempted = true;
    m_stage = Stage::Attempting;
    return AttemptStep{};
}

ChargeFlow::Step ChargeFlow::store()
{
    m_stage = Stage::Storing;
    return write(m_rowVersion,
                 {.state = ChargeRow::State::Done,
                  .token = m_options.token,
                  .digest = m_options.requestDigest,
                  .answer = std::get<UpstreamAnswer>(*m_outcome)});
}

ChargeFlow::Step ChargeFlow::release()
{
    // A row whose charge may have run must be kept; otherwise a retry would run the charge a second time.
    requireInvariant(!m_attempted || (m_outcome && std::holds_alternative<NotRunOutcome>(*m_outcome)),
                     "charge-releases-only-after-not-run",
                     m_options.key);
    if (m_rowVersion == 0 && m_unresolvedCreates == 0) {
        return finish();
    }
    m_stage = Stage::Releasing;
    if (m_rowVersion != 0 && m_unresolvedCreates == 0 && m_baseVersion == 0) {
        return TransactStep{.transaction = {.conditions = {{.key = rowKey(), .version = m_rowVersion}},
                                            .mutations = {{.key = rowKey(), .value = std::nullopt}}}};
    }
    return write(m_rowVersion != 0 ? m_rowVersion : m_baseVersion,
                 {.state = ChargeRow::State::Released, .token = m_options.token, .digest = {}, .answer = {}});
}

ChargeFlow::Step ChargeFlow::onTransact(const TransactOutcome &outcome)
{
    m_backOff = std::holds_alternative<TableUnavailable>(outcome) || std::holds_alternative<ReplyLost>(outcome);
    switch (m_stage) {
    case Stage::Creating:
        return onCreated(outcome);
    case Stage::Storing:
        return onStored(outcome);
    case Stage::Releasing:
        return onReleased(outcome);
    default:
        invariantViolated("charge-step-order", "transaction result without a transaction");
    }
}

ChargeFlow::Step ChargeFlow::onCreated(const TransactOutcome &outcome)
{
    if (const auto *committed = std::get_if<Committed>(&outcome)) {
        if (m_baseVersion != 0) {
            m_unresolvedCreates = 0;
        }
        return onRowOwned(committed->version);
    }
    if (std::holds_alternative<TableUnavailable>(outcome)) {
        return m_replied ? release() : create();
    }
    if (std::holds_alternative<Conflict>(outcome)) {
        m_rowExists = true;
    } else {
        ++m_unresolvedCreates;
    }
    m_stage = Stage::CheckingCreate;
    return readRow();
}

ChargeFlow::Step ChargeFlow::onStored(const TransactOutcome &outcome)
{
    if (std::holds_alternative<Committed>(outcome)) {
        return onRowAfterStore(nullptr, nullptr);
    }
    if (std::holds_alternative<TableUnavailable>(outcome)) {
        return store();
    }
    m_stage = Stage::CheckingStore;
    return readRow();
}

ChargeFlow::Step ChargeFlow::onReleased(const TransactOutcome &outcome)
{
    if (std::holds_alternative<Committed>(outcome)) {
        return finish();
    }
    if (std::holds_alternative<TableUnavailable>(outcome)) {
        return release();
    }
    if (std::holds_alternative<Conflict>(outcome) && m_rowVersion != 0) {
        // Only its owner changes a pending row, so an earlier release was applied.
        return finish();
    }
    m_stage = Stage::CheckingRelease;
    return readRow();
}

ChargeFlow::Step ChargeFlow::onRow(const Result<std::vector<Row>> &rows)
{
    m_backOff = !isOk(rows);
    if (m_backOff) {
        return readRow();
    }
    const Row *row = valueOf(rows).empty() ? nullptr : &valueOf(rows).front();
    const std::optional<ChargeRow> decoded = row != nullptr ? decodeChargeRow(row->value) : std::nullopt;
    const ChargeRow *content = decoded ? &*decoded : nullptr;
    switch (m_stage) {
    case Stage::CheckingCreate:
        return onRowAfterCreate(row, content);
    case Stage::CheckingStore:
        return onRowAfterStore(row, content);
    case Stage::CheckingRelease:
        return onRowAfterRelease(row, content);
    default:
        invariantViolated("charge-step-order", "row without a read");
    }
}

bool ChargeFlow::isOwnPending(const ChargeRow *content) const
{
    return content != nullptr && content->state == ChargeRow::State::Pending && content->token == m_options.token;
}

void ChargeFlow::countAppliedCreate()
{
    // Versions are never reused, so of several creates conditional on the same released row only one can be applied. On
    // an absent row each could be, one after another.
    if (m_baseVersion != 0) {
        m_unresolvedCreates = 0;
    } else if (m_unresolvedCreates > 0) {
        --m_unresolvedCreates;
    }
}

ChargeFlow::Step ChargeFlow::onRowAfterCreate(const Row *row, const ChargeRow *content)
{
    if (row == nullptr) {
        if (m_baseVersion != 0) {
            m_baseVersion = 0;
            m_unresolvedCreates = 0;
        }
        return m_replied ? release() : create();
    }
    if (content == nullptr) {
        m_unresolvedCreates = 0;
        return replyFromExistingRow(
            UnknownOutcome{"the row " + row->key + " is not a charge row: correct or delete it"});
    }
    if (isOwnPending(content)) {
        countAppliedCreate();
        return onRowOwned(row->version);
    }
    if (content->state == ChargeRow::State::Released) {
        if (row->version != m_baseVersion) {
            m_baseVersion = row->version;
            m_unresolvedCreates = 0;
        }
        return m_replied ? release() : create();
    }
    // A row with state done never changes, and one that replaced a released row has a newer version: in both cases the
    // creates of this flow can no longer be applied.
    if (content->state == ChargeRow::State::Done || m_baseVersion != 0) {
        m_unresolvedCreates = 0;
    }
    if (content->digest != m_options.requestDigest) {
        return replyFromExistingRow(KeyReused{});
    }
    if (content->state == ChargeRow::State::Done) {
        return replyFromExistingRow(content->answer);
    }
    return replyFromExistingRow(
        UnknownOutcome{"an earlier call with this key has no result yet: repeat the call later"});
}

ChargeFlow::Step ChargeFlow::replyFromExistingRow(ChargeReply reply)
{
    if (m_replied) {
        return release();
    }
    return this->reply(std::move(reply), m_unresolvedCreates > 0 ? Stage::Releasing : Stage::Done);
}

ChargeFlow::Step ChargeFlow::onRowAfterStore(const Row *row, const ChargeRow *content)
{
    if (row != nullptr && isOwnPending(content)) {
        return store();
    }
    // Stored, or the row was changed manually; the answer is valid in both cases.
    return m_replied ? finish() : reply(std::get<UpstreamAnswer>(*m_outcome), Stage::Done);
}

ChargeFlow::Step ChargeFlow::onRowAfterRelease(const Row *row, const ChargeRow *content)
{
    if (m_rowVersion != 0) {
        return row != nullptr && row->version == m_rowVersion ? release() : finish();
    }
    if (row == nullptr) {
        return m_baseVersion == 0 ? release() : finish();
    }
    if (isOwnPending(content)) {
        countAppliedCreate();
        m_rowVersion = row->version;
        return release();
    }
    if (m_baseVersion != 0) {
        return row->version == m_baseVersion ? release() : finish();
    }
    if (content != nullptr && content->state == ChargeRow::State::Pending) {
        // The other call may delete its row, and an unresolved create could then still be applied.
        m_backOff = true;
        return readRow();
    }
    return finish();
}

ChargeFlow::Step ChargeFlow::onAttempt(const AttemptOutcome &outcome)
{
    requireInvariant(m_stage == Stage::Attempting, "charge-step-order", "attempt result without an attempt");
    m_backOff = false;
    m_outcome = outcome;
    if (std::holds_alternative<UpstreamAnswer>(outcome)) {
        return store();
    }
    if (const auto *notRun = std::get_if<NotRunOutcome>(&outcome)) {
        return m_replied ? release() : reply(*notRun, Stage::Releasing);
    }
    return m_replied ? finish() : reply(std::get<UnknownOutcome>(outcome), Stage::Done);
}

std::optional<ChargeReply> ChargeFlow::onDeadline()
{
    if (m_replied || m_stage == Stage::Done) {
        return std::nullopt;
    }
    m_replied = true;
    switch (m_stage) {
    case Stage::Storing:
    case Stage::CheckingStore:
        return std::get<UpstreamAnswer>(*m_outcome);
    case Stage::Attempting:
        return UnknownOutcome{"no answer before the deadline: repeat the call with the same key"};
    default:
        break;
    }
    if (m_rowExists) {
        // The row may belong to an earlier call that ran.
        return UnknownOutcome{"the stored result could not be read before the deadline: repeat the call later"};
    }
    return NotRunOutcome{.reason = "the charge could not be recorded before the deadline: repeat the call later",
                         .retryAfter = StoreRetryAfter};
}

} // namespace Carobflow
