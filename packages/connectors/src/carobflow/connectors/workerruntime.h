#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"
#include "carobflow/core/worker.h"

#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// The platform's interface to the worker of one host. A start or renewal that the network delivers after its timeout
/// has no effect, so that it cannot outlive the agent that sent it.
class WorkerRuntime
{
public:
    WorkerRuntime() = default;
    virtual ~WorkerRuntime() = default;
    WorkerRuntime(const WorkerRuntime &) = delete;
    WorkerRuntime &operator=(const WorkerRuntime &) = delete;

    /// Starts a task. Errors: Conflict when the worker has seen the job under this fencing number or a newer one,
    /// ResourceExhausted when it does not fit, Unavailable when it was certainly not started, Unknown otherwise.
    virtual boost::asio::awaitable<Status> start(const TaskStart &start) = 0;

    /// Renews the lease of a task. Errors: NotFound when the task no longer runs, Unavailable, Timeout.
    virtual boost::asio::awaitable<Status> renew(std::string_view job, Fence fence, Milliseconds lease) = 0;

    /// Asks a task to write a checkpoint; the key appears in its TaskInfo. Errors: NotFound, Unavailable, Timeout.
    virtual boost::asio::awaitable<Status> checkpoint(std::string_view job, Fence fence) = 0;

    /// Limits a task to a share of its processor time in percent. Errors: NotFound, Unavailable, Timeout.
    virtual boost::asio::awaitable<Status> throttle(std::string_view job, Fence fence, std::uint32_t percent) = 0;

    /// Stops a running task; does nothing to an ended one, which keeps its result. Errors: NotFound when the worker
    /// does not list the task, Unavailable, Timeout.
    virtual boost::asio::awaitable<Status> stop(std::string_view job, Fence fence) = 0;

    /// Removes an ended task and its result from the list. Errors: NotFound when the worker lists no such ended task,
    /// Unavailable, Timeout.
    virtual boost::asio::awaitable<Status> remove(std::string_view job, Fence fence) = 0;

    /// Lists all tasks of the host. Errors: Unavailable, Timeout.
    virtual boost::asio::awaitable<Result<std::vector<TaskInfo>>> list() = 0;
};

} // namespace Carobflow
