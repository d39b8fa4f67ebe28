#include "carobflow/bench/policycommand.h"

#include "carobflow/bench/cluster.h"
#include "carobflow/bench/load.h"
#include "carobflow/bench/morning.h"
#include "carobflow/bench/report.h"

#include <algorithm>
#include <future>
#include <map>
#include <thread>

#include <boost/json/value_to.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr Milliseconds MorningDuration{40000};
constexpr Milliseconds NoisyWaveOffset{10000};
constexpr Milliseconds DataCentreOutOffset{16000};
constexpr Milliseconds DataCentreBackOffset{28000};
constexpr double ChargesPerSecond = 15;
/// Long enough that the service's full capacity does not saturate the machine, which also generates the load.
constexpr std::uint32_t ServiceMilliseconds = 80;
/// Largest slowdown caused by one task. With the stand-in's default of 3, a few tasks on a host make the service miss
/// its deadline at any load.
constexpr const char *MaxSlowdown = "1";

struct StoreCounts {
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

StoreCounts storeCounts(Cluster &cluster)
{
    const auto stats = cluster.caller().getJson(cluster.platformControl(), "/control/stats");
    return {.writes = stats.at("writes").to_number<std::uint64_t>(),
            .reads = stats.at("reads").to_number<std::uint64_t>()};
}

/// Totals of the task events that the host stand-ins recorded.
struct BatchFigures {
    double workBefore = 0;
    double workOut = 0;
    double workBack = 0;
    std::uint64_t finished = 0;
    std::uint64_t late = 0;
    std::uint64_t throttles = 0;
    std::uint64_t stops = 0;
    std::uint64_t startsInOutDataCentre = 0;
};

struct JobDeadline {
    std::int64_t atMilliseconds = 0;
    double runSeconds = 0;
    bool finishedInTime = false;
};

std::int64_t clockMilliseconds(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/// Evaluates the event logs of the host stand-ins. They use the same monotonic clock as this process, so their times
/// can be compared with its own.
class HostEvents
{
public:
    HostEvents(TimePoint start, std::map<std::string, JobDeadline> due)
        : m_start(clockMilliseconds(start))
        , m_due(std::move(due))
    {
    }

    void add(const json::object &log, bool inLeavingDataCentre)
    {
        for (const auto &event : log.at("tasks").as_array()) {
            addEvent(event.as_object(), inLeavingDataCentre);
        }
    }

    BatchFigures figures()
    {
        for (const auto &[id, due] : m_due) {
            m_figures.late += due.atMilliseconds <= m_start + MorningDuration.count() && !due.finishedInTime ? 1 : 0;
        }
        return m_figures;
    }

private:
    void addEvent(const json::object &event, bool inLeavingDataCentre)
    {
        const auto kind = event.at("event").as_string();
        const auto at = event.at("atMs").to_number<std::int64_t>() - m_start;
        m_figures.throttles += kind == "throttle" ? 1 : 0;
        m_figures.stops += kind == "stop" ? 1 : 0;
        if (kind == "start" && inLeavingDataCentre && at > (DataCentreOutOffset + StartTolerance).count()
            && at < DataCentreBackOffset.count()) {
            ++m_figures.startsInOutDataCentre;
        }
        const auto found = m_due.find(json::value_to<std::string>(event.at("job")));
        if (kind != "end" || event.at("state") != "finished" || found == m_due.end() || at > MorningDuration.count()) {
            return;
        }
        JobDeadline &due = found->second;
        ++m_figures.finished;
        due.finishedInTime = at + m_start <= due.atMilliseconds;
        (at < DataCentreOutOffset.count()        ? m_figures.workBefore
             : at < DataCentreBackOffset.count() ? m_figures.workOut
                                                 : m_figures.workBack)
            += due.runSeconds;
    }

    /// Tasks that start in a data centre more than this time after it left service violate invariant 4.
    static constexpr Milliseconds StartTolerance{4000};

    std::int64_t m_start;
    std::map<std::string, JobDeadline> m_due;
    BatchFigures m_figures;
};

std::map<std::string, JobDeadline> dueTimes(TimePoint start, const Deployment &deployment)
{
    std::map<std::string, JobDeadline> due;
    const auto add = [&](const std::vector<MorningJob> &jobs, Milliseconds offset) {
        for (const MorningJob &job : jobs) {
            due[job.id] = {.atMilliseconds = clockMilliseconds(start + offset + Seconds(job.deadlineSeconds)),
                           .runSeconds = static_cast<double>(job.runSeconds)};
        }
    };
    add(morningJobs(deployment), Milliseconds(0));
    add(noisyWave(deployment), NoisyWaveOffset);
    return due;
}

void submitWave(Cluster &cluster)
{
    const auto unixSeconds = std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch());
    for (const MorningJob &job : noisyWave(cluster.deployment())) {
        cluster.submitJob(
            job.id, job.jobClass, job.runSeconds, job.cpuMillis, "normal", unixSeconds.count() + job.deadlineSeconds);
    }
}

void runEvents(Cluster &cluster, TimePoint start)
{
    const std::string &leaving = cluster.deployment().dataCentres.back();
    std::this_thread::sleep_until(start + NoisyWaveOffset);
    submitWave(cluster);
    std::this_thread::sleep_until(start + DataCentreOutOffset);
    cluster.setDataCentre(leaving, false);
    std::this_thread::sleep_until(start + DataCentreBackOffset);
    cluster.setDataCentre(leaving, true);
}

std::uint64_t evictionsOf(Cluster &cluster)
{
    std::uint64_t evictions = 0;
    const auto jobs = cluster.caller().getJson(cluster.entry(0), "/v1/jobs");
    for (const auto &job : jobs.at("jobs").as_array()) {
        evictions += job.at("evictions").to_number<std::uint64_t>();
    }
    return evictions;
}

json::object serviceRow(std::string_view kind, const LoadSummary &summary, double deadline)
{
    const auto inTime = std::count_if(summary.answeredMilliseconds.begin(),
                                      summary.answeredMilliseconds.end(),
                                      [&](double milliseconds) { return milliseconds <= deadline; });
    return {{"requests", kind},
            {"sent", summary.total()},
            {"answered", summary.answered},
            {"inTime", inTime},
            {"notRun", summary.notRun},
            {"unknown", summary.unknown},
            {"cutOrWrong", summary.refused + summary.cut + summary.wrong},
            {"p50Ms", rounded(summary.quantile(0.5))},
            {"p99Ms", rounded(summary.quantile(0.99))},
            {"p999Ms", rounded(summary.quantile(0.999))}};
}

LoadSummary runLoad(HttpCaller &caller, const Cluster &cluster, double perSecond, bool charges, std::uint64_t seed)
{
    const Deployment &deployment = cluster.deployment();
    return Load::run(caller,
                     cluster.entries(),
                     {.requestsPerSecond = perSecond,
                      .duration = MorningDuration,
                      .timeout = Milliseconds(deployment.serviceDeadlineMilliseconds),
                      .seed = seed,
                      .service = deployment.service,
                      .charges = charges,
                      .clientMilliseconds = deployment.clientMilliseconds});
}

} // namespace

int runPolicy(const MeasurementOptions &options)
{
    Report report("policy " + options.policy + ": a morning of " + options.deployment + ", seed "
                  + std::to_string(options.seed));
    Deployment deployment = deploymentByName(options.deployment);
    deployment.serviceMilliseconds = ServiceMilliseconds;
    Cluster cluster({.deployment = deployment,
                     .settings = {{"process.policy", options.policy}},
                     .hostArguments = {"--max-slowdown", MaxSlowdown},
                     .proxied = true,
                     .daemon = options.daemon,
                     .seed = options.seed});
    cluster.start(baseSheet(deployment));
    cluster.applyDataCentreLatency();
    cluster.applySheet(morningSheet(deployment, morningJobs(deployment)));
    const TimePoint start = Clock::now();
    const StoreCounts before = storeCounts(cluster);
    HttpCaller caller(3);
    auto service = std::async(std::launch::async, [&] {
        return runLoad(caller, cluster, serviceCapacity(deployment) * options.load, false, options.seed);
    });
    auto charges = std::async(std::launch::async,
                              [&] { return runLoad(caller, cluster, ChargesPerSecond, true, options.seed + 1); });
    runEvents(cluster, start);
    const LoadSummary served = service.get();
    const LoadSummary charged = charges.get();
    const StoreCounts after = storeCounts(cluster);
    HostEvents events(start, dueTimes(start, deployment));
    const auto logs = cluster.hostLogs();
    for (std::uint32_t index = 0; index < logs.size(); ++index) {
        events.add(logs[index], cluster.dataCentreOf(index) == deployment.dataCentres.back());
    }
    const BatchFigures batch = events.figures();
    const double seconds = std::chrono::duration<double>(MorningDuration).count();
    report.add("service", serviceRow("service", served, deployment.serviceDeadlineMilliseconds));
    report.add("service", serviceRow("charges", charged, deployment.serviceDeadlineMilliseconds));
    report.add("batch",
               {{"jobs", morningJobs(deployment).size() + noisyWave(deployment).size()},
                {"finished", batch.finished},
                {"late", batch.late},
                {"evictions", evictionsOf(cluster)},
                {"throttles", batch.throttles},
                {"stops", batch.stops}});
    report.add("workSecondsFinished",
               {{"total", batch.workBefore + batch.workOut + batch.workBack},
                {"before", batch.workBefore},
                {"dataCentreOut", batch.workOut},
                {"dataCentreBack", batch.workBack},
                {"startsInOutDataCentre", batch.startsInOutDataCentre}});
    report.add("store",
               {{"writesPerSecond", rounded(static_cast<double>(after.writes - before.writes) / seconds)},
                {"readsPerSecond", rounded(static_cast<double>(after.reads - before.reads) / seconds)}});
    const auto failed = cluster.stop();
    report.print(options.json);
    return failed.empty() ? 0 : 1;
}

} // namespace Carobflow::Bench
