#pragma once

#include "carobflow/scheduler/job.h"

#include <cstdint>
#include <set>
#include <string_view>
#include <tuple>

namespace Carobflow::Scheduling
{

/// The kinds of tasks for which one plan has found no host. Under overload many jobs wait with tasks that differ in
/// nothing on which the choice of a host depends, and each search visits every host.
///
/// Within a plan hosts only fill up, so a kind that fits nowhere does not fit later either. A plan that gives resources
/// back has to call clear().
class UnplaceableShapes
{
public:
    /// True when no host can take a task of this step.
    [[nodiscard]] bool contains(const Job &job, const StepSpec &step) const;

    /// Notes that no host can take a task of this step, whatever its job. Steps that limit their tasks on each host are
    /// left out, since they may find no host for that reason.
    void add(const Job &job, const StepSpec &step);

    void clear()
    {
        m_shapes.clear();
    }

private:
    using Shape = std::
        tuple<std::string_view, std::string_view, std::string_view, bool, std::int64_t, std::int64_t, std::int64_t>;

    /// The views refer to the job, which outlives the plan.
    static Shape shapeOf(const Job &job, const StepSpec &step);

    std::set<Shape> m_shapes;
};

} // namespace Carobflow::Scheduling
