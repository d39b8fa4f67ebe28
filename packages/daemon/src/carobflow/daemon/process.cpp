#include "carobflow/daemon/process.h"

#include "carobflow/logging/log.h"

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Carobflow
{

namespace asio = boost::asio;

int runProcess(asio::io_context &context, const Settings &settings, Process &process)
{
    if (const Status started = process.start(); !isOk(started)) {
        logError("start-failed").with("error", errorOf(started).message);
        return 1;
    }
    auto guard = asio::make_work_guard(context);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    asio::steady_timer limit(context);
    std::atomic<int> code{0};
    signals.async_wait([&](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        logInfo("stopping").with("signal", signal);
        limit.expires_after(settings.stopTimeout);
        limit.async_wait([&context, &code](boost::system::error_code cancelled) {
            if (!cancelled) {
                logWarning("stop-timed-out").with("remedy", "raise [timing] stop_timeout_ms if requests run longer");
                code = 1;
                context.stop();
            }
        });
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await process.stop();
                limit.cancel();
                logInfo("stopped");
                context.stop();
            },
            asio::detached);
    });
    std::vector<std::thread> threads;
    for (std::int64_t index = 1; index < settings.threads; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
    return code;
}

} // namespace Carobflow
