#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/table.h"
#include "carobflow/core/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace Carobflow
{

/// A complete answer of an upstream.
struct UpstreamAnswer {
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The request is known not to have run.
struct NotRunOutcome {
    std::string reason;
    Milliseconds retryAfter{0};
};

/// The request was sent and no complete answer arrived; it may have run.
struct UnknownOutcome {
    std::string reason;
};

/// How one attempt on an upstream ended.
using AttemptOutcome = std::variant<UpstreamAnswer, NotRunOutcome, UnknownOutcome>;

/// The idempotency key was used with a different request before.
struct KeyReused {
};

/// The reply to the caller of a charge.
using ChargeReply = std::variant<UpstreamAnswer, NotRunOutcome, UnknownOutcome, KeyReused>;

struct ChargeRow;

/// State machine of one charge: creates the row of its idempotency key, sends the request at most once and stores the
/// result. It does no I/O: the owner carries out each step and reports the result with the matching function, which
/// returns the next step. After the reply to the caller, a flow may have further steps that clean up.
///
/// A create whose reply was lost may still be applied later, but only while the row is absent. After not-run the flow
/// therefore deletes its row only when every create is accounted for. Otherwise it leaves a row with state `released`,
/// which prevents late creates from being applied. The next call replaces the row on condition of its version and,
/// after not-run, releases it again instead of deleting it.
///
/// When the process dies between a create that may have been applied and its release, the row may stay `pending`, or
/// appear as such later. Calls with the key are then answered with `unknown` permanently; none runs a second time.
class ChargeFlow
{
public:
    struct Options {
        std::string service;
        std::string key;
        /// Digest of the request; the same key with another digest is refused.
        std::string requestDigest;
        /// Unique for each call.
        std::string token;
    };

    struct ReadRowStep {
        std::string key;
    };

    struct TransactStep {
        Transaction transaction;
    };

    /// Send the request to an upstream. The owner retries on another upstream only after not-run.
    struct AttemptStep {
    };

    struct ReplyStep {
        ChargeReply reply;
        /// True when the owner continues with next() in the background after it replied.
        bool more = false;
    };

    struct DoneStep {
    };

    using Step = std::variant<ReadRowStep, TransactStep, AttemptStep, ReplyStep, DoneStep>;

    explicit ChargeFlow(Options options);

    /// The first step, and the step after a reply that has more.
    Step next();
    Step onRow(const Result<std::vector<Row>> &rows);
    Step onTransact(const TransactOutcome &outcome);
    Step onAttempt(const AttemptOutcome &outcome);

    /// True when the last step failed because of the store: the owner backs off before it carries out the step that was
    /// returned.
    [[nodiscard]] bool shouldBackOff() const;

    /// Called when the caller's deadline has passed. Returns the reply that is correct by then, or nothing after a
    /// reply.
    std::optional<ChargeReply> onDeadline();

    /// The row's key: charge/<service>/<idempotency key>.
    [[nodiscard]] std::string rowKey() const;

private:
    enum class Stage {
        Start,
        Creating,
        CheckingCreate,
        Attempting,
        Storing,
        CheckingStore,
        Releasing,
        CheckingRelease,
        Done
    };

    Step create();
    Step onRowOwned(std::uint64_t version);
    Step store();
    Step release();
    Step finish();
    Step reply(ChargeReply reply, Stage next);
    Step replyFromExistingRow(ChargeReply reply);
    [[nodiscard]] ReadRowStep readRow() const;
    [[nodiscard]] TransactStep write(std::uint64_t version, const ChargeRow &row) const;

    Step onCreated(const TransactOutcome &outcome);
    Step onStored(const TransactOutcome &outcome);
    Step onReleased(const TransactOutcome &outcome);
    Step onRowAfterCreate(const Row *row, const ChargeRow *content);
    Step onRowAfterStore(const Row *row, const ChargeRow *content);
    Step onRowAfterRelease(const Row *row, const ChargeRow *content);
    [[nodiscard]] bool isOwnPending(const ChargeRow *content) const;
    void countAppliedCreate();

    Options m_options;
    Stage m_stage = Stage::Start;
    bool m_replied = false;
    bool m_backOff = false;
    bool m_attempted = false;
    /// A create conflicted and the row has not been read since.
    bool m_rowExists = false;
    /// Version on which creates are conditional: 0 for an absent row, else that of a released row.
    std::uint64_t m_baseVersion = 0;
    /// Number of creates conditional on m_baseVersion whose reply was lost and that may still be applied.
    std::uint32_t m_unresolvedCreates = 0;
    /// Version of this flow's own pending row; 0 while it is not known to exist.
    std::uint64_t m_rowVersion = 0;
    std::optional<AttemptOutcome> m_outcome;
};

} // namespace Carobflow
