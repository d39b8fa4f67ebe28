#pragma once

#include "carobflow/core/types.h"

#include <string>

namespace Carobflow
{

/// The parameters with which a worker starts a task.
struct TaskStart {
    std::string job;
    Fence fence = 0;
    std::string jobClass;
    Resources reserved;
    /// The worker stops the task when the lease is not renewed for this long.
    Milliseconds lease{0};
    /// The object to resume from; empty for a start from the beginning.
    std::string checkpoint;
    std::int64_t runSeconds = 0;
};

enum class TaskState { Running, Stopping, Stopped, Finished, Failed };

/// The state of a task as the worker lists it. An ended task is listed until it is removed.
struct TaskInfo {
    std::string job;
    Fence fence = 0;
    TaskState state = TaskState::Running;
    std::string jobClass;
    Resources reserved;
    /// Measured usage; it is reported with a delay.
    Resources usage;
    /// Completed share of the work, from 0 to 1.
    double progress = 0;
    /// The last checkpoint that the task wrote; empty for none.
    std::string checkpoint;
    std::string result;
    std::string reason;
    Milliseconds runTime{0};
};

} // namespace Carobflow
