#pragma once

#include "carobflow/core/result.h"
#include "carobflow/daemon/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Carobflow
{

/// One role of the daemon: what main() starts and stops.
class Process
{
public:
    Process() = default;
    virtual ~Process() = default;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Binds all ports and starts the loops. Errors: Unavailable with the address that cannot be bound.
    virtual Status start() = 0;

    /// The settings have changed. What is not named here takes effect at the next start.
    virtual void reload(const Settings & /*settings*/)
    {
    }

    /// Stops gracefully: takes no new work, finishes what is in progress, and hands over what others continue.
    virtual boost::asio::awaitable<void> stop() = 0;
};

/// Runs a role until SIGTERM or SIGINT and stops it gracefully. SIGHUP, or a change of the settings file without a
/// signal, reloads the settings. Returns the exit code.
int runProcess(boost::asio::io_context &context, const Settings &settings, Process &process);

} // namespace Carobflow
