#include "carobflow/daemon/metrics.h"

#include <prometheus/text_serializer.h>

namespace Carobflow
{
namespace
{

const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 25};

prometheus::Family<prometheus::Counter> &counter(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counter(*m_registry, "carobflow_requests_total", "Requests of callers by service and outcome."))
    , m_requestSeconds(prometheus::BuildHistogram()
                           .Name("carobflow_request_duration_seconds")
                           .Help("Time from the receipt of a request to its outcome.")
                           .Register(*m_registry))
    , m_attempts(counter(*m_registry, "carobflow_attempts_total", "Attempts on upstreams by service and outcome."))
    , m_retries(counter(*m_registry, "carobflow_retries_total", "Attempts after the first one of a request."))
    , m_lateAnswers(
          counter(*m_registry, "carobflow_late_answers_total", "Answers that came after their attempt was given up."))
    , m_charges(counter(*m_registry, "carobflow_charges_total", "Charges by outcome."))
    , m_storeOperations(counter(
          *m_registry, "carobflow_store_operations_total", "Operations on the platform's store by kind and outcome."))
    , m_taskEvents(counter(*m_registry, "carobflow_task_events_total", "Starts, stops and ends of tasks."))
    , m_clientLimits(
          counter(*m_registry, "carobflow_client_limits_total", "Limits that connections of clients reached."))
    , m_refusedAnnouncements(counter(*m_registry,
                                     "carobflow_refused_announcements_total",
                                     "Announcements that name no usable upstream, by the field at fault."))
    , m_sheetVersion(gauge(*m_registry, "carobflow_sheet_version", "Version of the sheet that is in force here."))
    , m_sheetAge(gauge(*m_registry,
                       "carobflow_sheet_confirmed_age_seconds",
                       "Time since the sheet's version was confirmed as current."))
    , m_leading(gauge(*m_registry, "carobflow_shard_leading", "1 while this process leads the shard."))
    , m_slotsTaken(gauge(*m_registry, "carobflow_upstream_slots_taken", "Slots of the upstream that are taken."))
    , m_slotsQueued(gauge(*m_registry, "carobflow_upstream_queued", "Requests that wait for a slot."))
    , m_upstreams(gauge(*m_registry, "carobflow_upstreams", "Upstreams that this entry knows."))
    , m_configurationVersion(gauge(
          *m_registry, "carobflow_configuration_version", "Version of the operators' configuration in force here."))
    , m_configurationAge(gauge(*m_registry,
                               "carobflow_configuration_age_seconds",
                               "Time since the operators' configuration was confirmed as the newest."))
{
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void Metrics::countRequest(std::string_view service, std::string_view outcome, double seconds)
{
    m_requests.Add({{"service", std::string(service)}, {"outcome", std::string(outcome)}}).Increment();
    m_requestSeconds.Add({{"service", std::string(service)}}, LatencyBuckets).Observe(seconds);
}

void Metrics::countAttempt(std::string_view service, std::string_view outcome)
{
    m_attempts.Add({{"service", std::string(service)}, {"outcome", std::string(outcome)}}).Increment();
}

void Metrics::countRetry(std::string_view service)
{
    m_retries.Add({{"service", std::string(service)}}).Increment();
}

void Metrics::countLateAnswer(std::string_view service)
{
    m_lateAnswers.Add({{"service", std::string(service)}}).Increment();
}

void Metrics::countCharge(std::string_view outcome)
{
    m_charges.Add({{"outcome", std::string(outcome)}}).Increment();
}

void Metrics::countStoreOperation(std::string_view operation, std::string_view outcome)
{
    m_storeOperations.Add({{"operation", std::string(operation)}, {"outcome", std::string(outcome)}}).Increment();
}

void Metrics::countTaskEvent(std::string_view event)
{
    m_taskEvents.Add({{"event", std::string(event)}}).Increment();
}

void Metrics::countClientLimit(std::string_view limit)
{
    m_clientLimits.Add({{"limit", std::string(limit)}}).Increment();
}

void Metrics::countRefusedAnnouncement(std::string_view field)
{
    m_refusedAnnouncements.Add({{"field", std::string(field)}}).Increment();
}

void Metrics::setSheetVersion(double version)
{
    m_sheetVersion.Add({}).Set(version);
}

void Metrics::setSheetAgeSeconds(double seconds)
{
    m_sheetAge.Add({}).Set(seconds);
}

void Metrics::setLeading(double shard, bool leading)
{
    m_leading.Add({{"shard", std::to_string(static_cast<int>(shard))}}).Set(leading ? 1 : 0);
}

void Metrics::setSlotsTaken(double taken, double queued)
{
    m_slotsTaken.Add({}).Set(taken);
    m_slotsQueued.Add({}).Set(queued);
}

void Metrics::setUpstreams(double count)
{
    m_upstreams.Add({}).Set(count);
}

void Metrics::setConfiguration(double version, double ageSeconds)
{
    m_configurationVersion.Add({}).Set(version);
    m_configurationAge.Add({}).Set(ageSeconds);
}

} // namespace Carobflow
