#include "carobflow/daemon/process.h"

#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/logging/log.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Carobflow
{

namespace asio = boost::asio;

namespace
{

/// A change of the settings file takes effect within this time without a signal.
constexpr Seconds FileCheckInterval{1};

std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Detects and applies changes of the settings file.
class SettingsWatcher
{
public:
    SettingsWatcher(const Settings &settings, Process &process)
        : m_path(settings.path)
        , m_process(process)
        , m_content(contentOf(m_path))
    {
    }

    void check(std::string_view cause)
    {
        std::string content = contentOf(m_path);
        if (content == m_content || content.empty()) {
            if (cause == "signal") {
                logInfo("settings-unchanged").with("path", m_path);
            }
            return;
        }
        m_content = std::move(content);
        const auto settings = parseSettings(m_content, m_path);
        if (!isOk(settings)) {
            logError("settings-refused")
                .with("path", m_path)
                .with("error", errorOf(settings).message)
                .with("remedy", "the previous settings remain in effect; correct the file");
            return;
        }
        configureLog(valueOf(settings).name, logLevelOf(valueOf(settings).logLevel));
        m_process.reload(valueOf(settings));
        logInfo("settings-reloaded").with("path", m_path).with("cause", cause);
    }

private:
    std::string m_path;
    Process &m_process;
    std::string m_content;
};

asio::awaitable<void> watchSignal(asio::signal_set &reloadSignals, SettingsWatcher &watcher)
{
    for (;;) {
        co_await reloadSignals.async_wait(asio::use_awaitable);
        watcher.check("signal");
    }
}

asio::awaitable<void> watchFile(SettingsWatcher &watcher)
{
    for (;;) {
        co_await sleepFor(FileCheckInterval);
        watcher.check("file");
    }
}

} // namespace

int runProcess(asio::io_context &context, const Settings &settings, Process &process)
{
    if (const Status started = process.start(); !isOk(started)) {
        logError("start-failed").with("error", errorOf(started).message);
        return 1;
    }
    auto workGuard = asio::make_work_guard(context);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    asio::steady_timer stopTimer(context);
    std::atomic<int> exitCode{0};
    signals.async_wait([&](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        logInfo("stopping").with("signal", signal);
        stopTimer.expires_after(settings.stopTimeout);
        stopTimer.async_wait([&context, &exitCode](boost::system::error_code cancelled) {
            if (!cancelled) {
                logWarning("stop-timed-out").with("remedy", "raise [timing] stop_timeout_ms if requests run longer");
                exitCode = 1;
                context.stop();
            }
        });
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await process.stop();
                stopTimer.cancel();
                logInfo("stopped");
                context.stop();
            },
            asio::detached);
    });
    asio::signal_set reloadSignals(context, SIGHUP);
    SettingsWatcher watcher(settings, process);
    const auto strand = asio::make_strand(context.get_executor());
    spawnLoop(strand, watchSignal(reloadSignals, watcher));
    spawnLoop(strand, watchFile(watcher));
    std::vector<std::thread> threads;
    for (std::int64_t index = 1; index < settings.threads; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
    return exitCode;
}

} // namespace Carobflow
