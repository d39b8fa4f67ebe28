#include "carobflow/bench/morning.h"

#include <array>

namespace Carobflow::Bench
{
namespace
{

struct JobClassSpec {
    const char *coopName;
    const char *cartaAndinaName;
    int count;
    /// A job reserves 1/hostDivisor of a host's processors and half that fraction of its memory.
    int hostDivisor;
    std::int64_t runSeconds;
    std::int64_t firstDeadline;
    std::int64_t lastDeadline;
};

constexpr std::array JobClasses{
    JobClassSpec{"reseam", "print-run", 100, 8, 4, 15, 40},
    JobClassSpec{"waterproofing", "lamination", 80, 4, 6, 20, 40},
    JobClassSpec{"pattern-cutting", "typesetting", 36, 2, 9, 25, 40},
};

constexpr int NoisyJobCount = 33;

MorningJob jobOf(const Deployment &deployment, std::string jobClass, int number, int hostDivisor)
{
    std::string id = jobClass + "-" + std::to_string(number);
    return {.id = std::move(id),
            .jobClass = std::move(jobClass),
            .cpuMillis = deployment.cpuMillis / hostDivisor,
            .memoryMiB = deployment.memoryMiB / hostDivisor / 2};
}

} // namespace

std::vector<MorningJob> morningJobs(const Deployment &deployment)
{
    std::vector<MorningJob> jobs;
    for (const JobClassSpec &spec : JobClasses) {
        const char *name = deployment.name == "coop" ? spec.coopName : spec.cartaAndinaName;
        for (int number = 0; number < spec.count; ++number) {
            MorningJob job = jobOf(deployment, name, number, spec.hostDivisor);
            job.runSeconds = spec.runSeconds;
            // Later jobs of a class have earlier deadlines, so that submission order differs from deadline order.
            job.deadlineSeconds = spec.lastDeadline
                - (spec.lastDeadline - spec.firstDeadline) * number / (spec.count - 1);
            jobs.push_back(std::move(job));
        }
    }
    return jobs;
}

std::vector<MorningJob> noisyWave(const Deployment &deployment)
{
    std::vector<MorningJob> jobs;
    for (int number = 0; number < NoisyJobCount; ++number) {
        MorningJob job = jobOf(deployment, "noisy", number, 8);
        job.runSeconds = 6;
        job.deadlineSeconds = 25;
        jobs.push_back(std::move(job));
    }
    return jobs;
}

std::string morningSheet(const Deployment &deployment, const std::vector<MorningJob> &jobs)
{
    std::string sheet = baseSheet(deployment);
    for (const MorningJob &job : jobs) {
        sheet += "job," + job.id + ",workshop," + job.jobClass + "," + std::to_string(job.cpuMillis) + ","
            + std::to_string(job.memoryMiB) + ",0," + std::to_string(job.runSeconds) + ",+"
            + std::to_string(job.deadlineSeconds) + ",normal\n";
    }
    for (const char *check : {"check-1", "check-2"}) {
        sheet += "check," + std::string(check) + ",workshop,watch,200,100,0,2\n";
    }
    return sheet;
}

} // namespace Carobflow::Bench
