#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Runs the morning workload of a deployment, compressed to 40 s, under a policy: service requests, charges, batch
/// jobs, a burst of noisy tasks, and a data centre that is taken out of service and returned. The stand-ins derive from
/// the seed how much each job class slows the service; the policy does not know it.
int runPolicy(const MeasurementOptions &options);

} // namespace Carobflow::Bench
