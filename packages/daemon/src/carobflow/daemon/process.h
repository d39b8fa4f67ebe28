#pragma once

#include "carobflow/core/result.h"
#include "carobflow/daemon/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Carobflow
{

/// A role of the daemon, started and stopped by runProcess().
class Process
{
public:
    Process() = default;
    virtual ~Process() = default;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Binds all ports and starts the loops. Errors: Unavailable with the address that cannot be bound.
    virtual Status start() = 0;

    /// Applies changed settings. Settings that a role does not handle here take effect at the next start.
    virtual void reload(const Settings & /*settings*/)
    {
    }

    /// Stops gracefully: accepts no new work, finishes work in progress, and hands over work that other processes can
    /// continue.
    virtual boost::asio::awaitable<void> stop() = 0;
};

/// Runs a role until SIGTERM or SIGINT and stops it gracefully. SIGHUP, or a change of the settings file without a
/// signal, reloads the settings. Returns the exit code.
int runProcess(boost::asio::io_context &context, const Settings &settings, Process &process);

} // namespace Carobflow
