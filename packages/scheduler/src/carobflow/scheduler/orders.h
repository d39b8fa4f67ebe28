#pragma once

#include "carobflow/scheduler/workload.h"

#include <string>

namespace Carobflow::Scheduling
{

/// Tells an agent to start a run on its upstream. Idempotent.
struct StartOrder {
    RunId run;
    std::string host;
    /// The incarnation of the upstream that the run was placed on; any other incarnation rejects the order.
    UpstreamIdentity upstream;
    std::string payload;
    std::string checkpoint;
    /// Permit of the advice service for the step on this upstream; empty when none is needed.
    std::string permit;
    /// This and the following members are used by the agent to pace the tasks that share the host.
    std::string image;
    Milliseconds tailTarget{0};
    bool fillsLeftover = false;
};

/// Tells an agent to stop a run. An upstream that has received it never starts the run.
struct StopOrder {
    RunId run;
    std::string host;
    UpstreamIdentity upstream;
    /// The reason, for the log.
    std::string_view reason;
};

/// Outcome of a start order.
enum class StartOutcome {
    Started,
    /// This run of the task, or one with a higher number, has ended or was stopped on the upstream.
    Superseded,
    /// The upstream has received orders of a leader with a higher epoch.
    Fenced,
    NoRoom,
    /// The lease in the order had expired when the upstream received it.
    LeaseOver,
    NoPermit,
    /// The upstream is not the incarnation that the order names, is leaving, or its data centre is out of service.
    NotAccepted,
    Unhealthy,
    Malformed,
    /// No answer. The upstream may still start the run.
    Unanswered,
};
BOOST_DESCRIBE_ENUM(StartOutcome,
                    Started,
                    Superseded,
                    Fenced,
                    NoRoom,
                    LeaseOver,
                    NoPermit,
                    NotAccepted,
                    Unhealthy,
                    Malformed,
                    Unanswered)

/// The lower-case name of an outcome as it appears in logs.
std::string_view outcomeName(StartOutcome outcome);

/// Outcome of a stop order.
enum class StopOutcome {
    /// The run is in the upstream's lists and ends or has ended.
    Ending,
    /// The run is listed neither as running nor as ended, and will never start.
    Absent,
    /// No answer, or lists that do not show yet whether the run has ended.
    Unanswered,
};

} // namespace Carobflow::Scheduling
