#pragma once

#include <thread>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace Carobflow
{

/// A thread with an event loop of its own, for work that must not wait behind the requests of a busy process. The loop
/// runs until stop() is called; handlers that are still pending then are dropped with the object.
class EventLoopThread
{
public:
    EventLoopThread()
        : m_guard(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~EventLoopThread()
    {
        stop();
    }

    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    /// Ends the loop and waits for the handler that runs. Called before anything that handlers refer to is destroyed.
    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    [[nodiscard]] boost::asio::any_io_executor executor()
    {
        return m_context.get_executor();
    }

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace Carobflow
