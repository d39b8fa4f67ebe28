#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace Carobflow
{

/// The metrics of a process. Names follow the conventions of Prometheus: a prefix, base units, `_total` on counters.
class Metrics
{
public:
    Metrics();

    /// All metrics in the text format of Prometheus.
    [[nodiscard]] std::string text() const;

    void countRequest(std::string_view service, std::string_view outcome, double seconds);
    void countAttempt(std::string_view service, std::string_view outcome);
    void countRetry(std::string_view service);
    void countLateAnswer(std::string_view service);
    void countCharge(std::string_view outcome);
    void countStoreOperation(std::string_view operation, std::string_view outcome);
    void countTaskEvent(std::string_view event);
    /// Counts a limit of [limits] that a connection reached.
    void countClientLimit(std::string_view limit);
    /// Counts an announcement that names no usable upstream, by the field at fault.
    void countRefusedAnnouncement(std::string_view field);
    void setSheetVersion(double version);
    void setSheetAgeSeconds(double seconds);
    void setLeading(double shard, bool leading);
    void setSlotsTaken(double taken, double queued);
    void setUpstreams(double count);
    void setConfiguration(double version, double ageSeconds);

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_requestSeconds;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_lateAnswers;
    prometheus::Family<prometheus::Counter> &m_charges;
    prometheus::Family<prometheus::Counter> &m_storeOperations;
    prometheus::Family<prometheus::Counter> &m_taskEvents;
    prometheus::Family<prometheus::Counter> &m_clientLimits;
    prometheus::Family<prometheus::Counter> &m_refusedAnnouncements;
    prometheus::Family<prometheus::Gauge> &m_sheetVersion;
    prometheus::Family<prometheus::Gauge> &m_sheetAge;
    prometheus::Family<prometheus::Gauge> &m_leading;
    prometheus::Family<prometheus::Gauge> &m_slotsTaken;
    prometheus::Family<prometheus::Gauge> &m_slotsQueued;
    prometheus::Family<prometheus::Gauge> &m_upstreams;
    prometheus::Family<prometheus::Gauge> &m_configurationVersion;
    prometheus::Family<prometheus::Gauge> &m_configurationAge;
};

} // namespace Carobflow
