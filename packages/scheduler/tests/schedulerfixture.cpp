#include "schedulerfixture.h"

namespace Carobflow::Scheduling
{

SchedulerFixture::SchedulerFixture()
    : scheduler(std::make_unique<Scheduler>(Scheduler::Options{.epoch = epoch}))
{
    view->queues["quick"] = {.name = "quick", .service = "desk", .priority = 0, .maxAttempts = 2, .stretch = 1.5};
    view->queues["batch"] = {.name = "batch", .service = "desk", .priority = 2, .maxAttempts = 2, .stretch = 2};
    scheduler->setOperatorView(view);
    reportAll();
}

JobSpec SchedulerFixture::quickJob(const std::string &id, std::uint32_t tasks)
{
    return {
        .id = id,
        .queue = "quick",
        .payload = "payload",
        .steps = {{.count = tasks, .request = {.cpuMillis = 1000, .memoryMiB = 500}, .estimate = Milliseconds(1000)}}};
}

HostReport SchedulerFixture::reportOf(const std::string &host) const
{
    return {.host = host,
            .address = host,
            .dataCentre = "dc-" + host,
            .agentIncarnation = 1,
            .fencedEpoch = epoch,
            .upstream = UpstreamDescription{.identity = {.id = "up-" + host, .incarnation = 1},
                                            .service = "desk",
                                            .dataCentre = "dc-" + host,
                                            .capacity = {.cpuMillis = 4000, .memoryMiB = 32000},
                                            .rack = "rack-" + host}};
}

std::vector<StartOrder> SchedulerFixture::step(Milliseconds later)
{
    advance(later);
    scheduler->plan(now, unixMs);
    for (const std::string &id : scheduler->takeDirtyJobs(1000)) {
        scheduler->commitJob(id, now);
    }
    return scheduler->takeStarts();
}

void SchedulerFixture::end(const StartOrder &start, RunEnd how, std::uint64_t number)
{
    HostReport report = reportOf(start.host);
    report.ended.push_back({.number = number, .run = start.run, .end = how});
    scheduler->onReport(report, now);
}

void SchedulerFixture::reportAll(const std::vector<StartOrder> &running)
{
    for (const std::string &name : hostNames) {
        HostReport report = reportOf(name);
        for (const StartOrder &start : running) {
            if (start.host == name) {
                report.running.push_back({.run = start.run, .percent = 50});
            }
        }
        scheduler->onReport(report, now);
    }
}

} // namespace Carobflow::Scheduling
