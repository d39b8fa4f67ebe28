#pragma once

#include "carobflow/scheduler/host.h"
#include "carobflow/scheduler/job.h"
#include "carobflow/scheduler/orders.h"

#include <cstdint>
#include <optional>

#include <control.pb.h>

namespace Carobflow
{

/// Conversions between the scheduler's types and the messages of the control protocol, which are also the values of
/// rows in the store.
carobflow::control::Job toMessage(const Scheduling::JobSpec &job);

/// The settings of a queue that decide how its jobs run.
carobflow::control::QueueSettings toMessage(const Scheduling::Queue &queue);

/// The settings without the name, which the job has.
Scheduling::Queue fromMessage(const carobflow::control::QueueSettings &message);
Scheduling::JobSpec fromMessage(const carobflow::control::Job &message);

carobflow::control::JobProgress toMessage(const Scheduling::JobProgress &progress);
Scheduling::JobProgress fromMessage(const carobflow::control::JobProgress &message, const std::string &job);

carobflow::control::ReportRequest toMessage(const Scheduling::HostReport &report);
Scheduling::HostReport fromMessage(const carobflow::control::ReportRequest &message);

carobflow::control::StartOrder toMessage(const Scheduling::StartOrder &order);
Scheduling::StartOrder fromMessage(const carobflow::control::StartOrder &message, std::string_view host);

carobflow::control::StopOrder toMessage(const Scheduling::StopOrder &order);
Scheduling::StopOrder fromMessage(const carobflow::control::StopOrder &message, std::string_view host);

/// The run that a message identifies by the text form of its task id; the id is empty when the text is malformed.
Scheduling::RunId runOf(const std::string &task, std::uint32_t run);

/// What a peer says became of an order. A number that this build does not know counts as no answer, so that the order
/// is sent again or the run is stopped.
Scheduling::StartOutcome startOutcomeOf(std::uint32_t number);
Scheduling::StopOutcome stopOutcomeOf(std::uint32_t number);

/// The state of a job that a peer names; empty for one that this build does not know.
std::optional<Scheduling::JobPhase> phaseOf(std::uint32_t number);

} // namespace Carobflow
