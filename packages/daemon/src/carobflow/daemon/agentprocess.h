#pragma once

#include "carobflow/daemon/process.h"

#include <memory>

namespace Carobflow
{

/// The agent role: serves the upstreams of one host, runs its tasks, and may lead the host's shard. start() fails with
/// the errors of Process::start().
std::unique_ptr<Process> makeAgentProcess(boost::asio::io_context &context, Settings settings);

} // namespace Carobflow
