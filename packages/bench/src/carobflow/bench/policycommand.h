#pragma once

#include "carobflow/bench/measurementoptions.h"

namespace Carobflow::Bench
{

/// Runs a morning of a deployment, compressed to 40 s, under a policy: counter service, charges, batch jobs, a wave of
/// noisy tasks, and a data centre that leaves and returns. How much a job class slows the service is drawn from the
/// seed by the stand-ins and unknown to the policy.
int runPolicy(const MeasurementOptions &options);

} // namespace Carobflow::Bench
