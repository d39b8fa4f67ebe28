#pragma once

#include "carobflow/core/types.h"

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Carobflow
{

/// Starts a coroutine that runs until the process ends. An exception that escapes it aborts the process: a restart
/// recovers, whereas a loop that stopped silently would leave the process partly working.
void spawnLoop(const boost::asio::any_io_executor &executor, boost::asio::awaitable<void> loop);

/// Suspends the calling coroutine on its own executor.
inline boost::asio::awaitable<void> sleepFor(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Wakes coroutines that wait for a condition. All calls are made on one strand.
class Notifier
{
public:
    explicit Notifier(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
    {
    }

    /// Waits until notify() is called or `time` is reached. The notifier must outlive the wait.
    boost::asio::awaitable<void> waitUntil(TimePoint time)
    {
        m_timer.expires_at(time);
        boost::system::error_code cancelled;
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }

    void notify()
    {
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace Carobflow
