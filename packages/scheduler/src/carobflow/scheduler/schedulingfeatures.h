#pragma once

namespace Carobflow::Scheduling
{

/// Decisions that a deployment switches on in its settings. Each takes effect only under the load that it answers.
struct SchedulingFeatures {
    /// Jobs are ordered by what their callers lose per unit of remaining work; see JobValue.
    bool orderByValue = false;
    /// Jobs that could only end when their results are worthless are rejected when they are submitted; see
    /// JobAdmission.
    bool admission = false;
    /// Batch work that has checkpoints is stopped for work that loses more by waiting; see PreemptionPlanner.
    bool preemption = false;
    /// Batch work that services hold back on its host continues on another; see Relocation.
    bool relocation = false;
    /// Services are grouped by image; see Placement.
    bool groupServices = false;
    /// Slow tasks of speculative steps get a second attempt; see CopyPlanner.
    bool copies = false;
    /// Tasks are placed by the speed of hosts that is learned from their runs; see HostSpeed.
    bool hostSpeed = false;
};

} // namespace Carobflow::Scheduling
