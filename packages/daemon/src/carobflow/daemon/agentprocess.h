#pragma once

#include "carobflow/daemon/process.h"

#include <memory>

namespace Carobflow
{

/// The agent role: serves one host's upstream, runs its tasks, and may lead the host's shard.
class AgentProcess : public Process
{
public:
    AgentProcess(boost::asio::io_context &context, Settings settings);
    ~AgentProcess() override;

    Status start() override;
    boost::asio::awaitable<void> stop() override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Carobflow
