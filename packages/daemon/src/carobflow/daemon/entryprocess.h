#pragma once

#include "carobflow/daemon/process.h"

#include <memory>

namespace Carobflow
{

/// The entry role: serves callers and operators over HTTP and agents over gRPC.
class EntryProcess : public Process
{
public:
    EntryProcess(boost::asio::io_context &context, Settings settings);
    ~EntryProcess() override;

    Status start() override;
    boost::asio::awaitable<void> stop() override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Carobflow
