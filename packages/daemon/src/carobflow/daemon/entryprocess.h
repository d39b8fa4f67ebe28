#pragma once

#include "carobflow/daemon/process.h"

#include <memory>

namespace Carobflow
{

/// The entry role: serves callers and operators over HTTP and agents over gRPC. start() fails with the errors of
/// Process::start().
std::unique_ptr<Process> makeEntryProcess(boost::asio::io_context &context, Settings settings);

} // namespace Carobflow
