#pragma once

#include "carobflow/scheduler/workload.h"

#include <string>

namespace Carobflow::Scheduling
{

/// Tells an agent to start a run on its upstream. Sending it again has no further effect.
struct StartOrder {
    RunId run;
    std::string host;
    /// The life of the upstream that the decision was made for; no other life takes the order.
    UpstreamIdentity upstream;
    std::string payload;
    std::string checkpoint;
    /// Proof that the advice service lets this upstream run the step; empty where none is needed.
    std::string permit;
    /// What the agent needs to pace tasks that share the host.
    std::string image;
    Milliseconds tailTarget{0};
    bool fillsLeftover = false;
};

/// Tells an agent to stop a run. After it the upstream never starts the run.
struct StopOrder {
    RunId run;
    std::string host;
    UpstreamIdentity upstream;
    /// Why, for the log.
    std::string_view reason;
};

/// What became of a start order.
enum class StartOutcome {
    Started,
    /// The upstream has stopped or ended this run or a higher one.
    Superseded,
    /// The upstream has orders of a newer leader.
    Fenced,
    NoRoom,
    /// The lease that came with the order was over when the upstream saw it.
    LeaseOver,
    NoPermit,
    /// The upstream is another incarnation than the order names, is leaving, or its data centre is out of service.
    NotAccepted,
    Unhealthy,
    Malformed,
    /// No answer; the upstream may start the run later.
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

/// What became of a stop order.
enum class StopOutcome {
    /// The run is listed and will end.
    Ending,
    /// The run is neither listed as running nor as ended, and will never start.
    Absent,
    /// No answer.
    Unanswered,
};

} // namespace Carobflow::Scheduling
