#include "carobflow/scheduler/unplaceableshapes.h"

namespace Carobflow::Scheduling
{

UnplaceableShapes::Shape UnplaceableShapes::shapeOf(const Job &job, const StepSpec &step)
{
    // The image decides how a filler affects the services of a host.
    return {job.queue().service,
            step.requiredLabel,
            step.fillsLeftover ? std::string_view(step.image) : std::string_view(),
            step.fillsLeftover,
            step.request.cpuMillis,
            step.request.memoryMiB,
            step.request.accelerators};
}

bool UnplaceableShapes::contains(const Job &job, const StepSpec &step) const
{
    return !m_shapes.empty() && m_shapes.contains(shapeOf(job, step));
}

void UnplaceableShapes::add(const Job &job, const StepSpec &step)
{
    if (step.maxPerUpstream == 0) {
        m_shapes.insert(shapeOf(job, step));
    }
}

} // namespace Carobflow::Scheduling
