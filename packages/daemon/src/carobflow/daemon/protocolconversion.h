#pragma once

#include "carobflow/core/chargeflow.h"
#include "carobflow/core/hostmessages.h"
#include "carobflow/core/routing.h"
#include "carobflow/core/shardleader.h"

#include <string_view>

#include <carobflow.pb.h>

namespace Carobflow
{

// Conversions between the types of core and the messages of the protocol.

carobflow::Resources toMessage(const Resources &resources);
Resources fromMessage(const carobflow::Resources &message);

carobflow::SyncRequest toMessage(const HostReport &report);
HostReport fromMessage(const carobflow::SyncRequest &message);

carobflow::SyncReply toMessage(const HostOrders &orders);
HostOrders fromMessage(const carobflow::SyncReply &message);

carobflow::Job toMessage(const JobSpec &spec);
JobSpec fromMessage(const carobflow::Job &message);

carobflow::JobStatus toMessage(const JobView &view);

Announcement fromMessage(const carobflow::AnnounceRequest &message);

/// The outcome of an attempt; a reply without an outcome is unknown.
AttemptOutcome takeOutcome(carobflow::ForwardReply &&message);
void setOutcome(carobflow::ForwardReply &message, AttemptOutcome &&outcome);

/// The name of an outcome as the protocol and the HTTP interface spell it.
std::string_view outcomeName(JobReply::Outcome outcome);

} // namespace Carobflow
