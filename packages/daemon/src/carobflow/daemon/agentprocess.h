#pragma once

#include "carobflow/daemon/process.h"

#include <memory>

namespace Carobflow
{

/// The agent role: serves one host's upstream, runs its tasks, and may lead the host's shard.
/// Errors of its start are those of Process::start().
std::unique_ptr<Process> makeAgentProcess(boost::asio::io_context &context, Settings settings);

} // namespace Carobflow
