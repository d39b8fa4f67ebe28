#include "carobflow/daemon/internal/asyncwait.h"

#include "carobflow/logging/log.h"

#include <cstdlib>
#include <exception>

#include <boost/asio/co_spawn.hpp>

namespace Carobflow
{

void spawnLoop(const boost::asio::any_io_executor &executor, boost::asio::awaitable<void> loop)
{
    boost::asio::co_spawn(executor, std::move(loop), [](const std::exception_ptr &failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &exception) {
            logError("loop-failed").with("error", exception.what());
        }
        std::abort();
    });
}

} // namespace Carobflow
