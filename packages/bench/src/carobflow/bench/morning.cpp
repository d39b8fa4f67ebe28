#include "carobflow/bench/morning.h"

#include <array>

namespace Carobflow::Bench
{
namespace
{

struct ClassPlan {
    const char *coopName;
    const char *cartaAndinaName;
    int count;
    /// A job takes this part of a host's processors, and half of this part of its memory.
    int partOfHost;
    std::int64_t runSeconds;
    std::int64_t firstDeadline;
    std::int64_t lastDeadline;
};

constexpr std::array Classes{
    ClassPlan{"reseam", "print-run", 100, 8, 4, 15, 40},
    ClassPlan{"waterproofing", "lamination", 80, 4, 6, 20, 40},
    ClassPlan{"pattern-cutting", "typesetting", 36, 2, 9, 25, 40},
};

constexpr int NoisyJobs = 33;

MorningJob jobOf(const Deployment &deployment, std::string jobClass, int number, int partOfHost)
{
    std::string id = jobClass + "-" + std::to_string(number);
    return {.id = std::move(id),
            .jobClass = std::move(jobClass),
            .cpuMillis = deployment.cpuMillis / partOfHost,
            .memoryMiB = deployment.memoryMiB / partOfHost / 2};
}

} // namespace

std::vector<MorningJob> morningJobs(const Deployment &deployment)
{
    std::vector<MorningJob> jobs;
    for (const ClassPlan &plan : Classes) {
        const char *name = deployment.name == "coop" ? plan.coopName : plan.cartaAndinaName;
        for (int number = 0; number < plan.count; ++number) {
            MorningJob job = jobOf(deployment, name, number, plan.partOfHost);
            job.runSeconds = plan.runSeconds;
            // The later jobs of a class are due first, so that the order of submission is not the order of deadlines.
            job.deadlineSeconds = plan.lastDeadline
                - (plan.lastDeadline - plan.firstDeadline) * number / (plan.count - 1);
            jobs.push_back(std::move(job));
        }
    }
    return jobs;
}

std::vector<MorningJob> noisyWave(const Deployment &deployment)
{
    std::vector<MorningJob> jobs;
    for (int number = 0; number < NoisyJobs; ++number) {
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
