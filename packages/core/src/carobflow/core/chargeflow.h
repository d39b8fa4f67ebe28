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

/// A whole answer of an upstream.
struct UpstreamAnswer {
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The request certainly did not run.
struct NotRunOutcome {
    std::string reason;
    Milliseconds retryAfter{0};
};

/// The request was sent and there is no whole answer; it may have run.
struct UnknownOutcome {
    std::string reason;
};

/// How one attempt on an upstream ended.
using AttemptOutcome = std::variant<UpstreamAnswer, NotRunOutcome, UnknownOutcome>;

/// The key was used with another request before.
struct KeyReused {
};

/// What the caller of a charge is told.
using ChargeReply = std::variant<UpstreamAnswer, NotRunOutcome, UnknownOutcome, KeyReused>;

/// The protocol of one charge: create the row of its idempotency key, send the request at most once, store the result.
/// It does no I/O: the owner carries out each step and reports the result with the matching function, which returns the
/// next step. A reply ends the part that the caller waits for; a flow may then still have steps that clean up.
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

    /// Send the request to an upstream; retried elsewhere by the owner only after not-run.
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

    /// True when the last step failed for the store's sake: the owner waits with backoff before it carries out the
    /// step that was returned.
    [[nodiscard]] bool shouldBackOff() const;

    /// The caller's deadline has passed: the reply that is true now, given at most once.
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
        Deleting,
        CheckingDelete,
        Done
    };

    Options m_options;
    Stage m_stage = Stage::Start;
    bool m_replied = false;
    bool m_backOff = false;
    std::uint64_t m_rowVersion = 0;
    std::optional<AttemptOutcome> m_outcome;
};

} // namespace Carobflow
