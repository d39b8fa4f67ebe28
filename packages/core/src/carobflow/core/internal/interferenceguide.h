#pragma once

#include "carobflow/core/batchscheduler.h"
#include "carobflow/core/colocation.h"
#include "carobflow/core/hostmessages.h"
#include "carobflow/core/interference.h"
#include "carobflow/core/shardstate.h"
#include "carobflow/core/sheet.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow
{

/// Placement rules of one batch that protect the services on the hosts. Hosts are ranked by the largest share of its
/// deadline that the predicted tail latency of a service takes, lowest first, and a class that was evicted from a host
/// is not placed there during the cooldown.
class InterferenceGuide : public PlacementGuide
{
public:
    /// Smoothed measurements of one service on one host.
    struct RecentWindow {
        TimePoint at;
        double tailMilliseconds = 0;
        double load = 0;
        /// Job classes of the tasks that ran during the last window.
        std::vector<std::string> jobClasses;
    };
    using Windows = std::map<std::string, std::map<std::string, RecentWindow, std::less<>>, std::less<>>;

    /// Since when jobs wait because of these rules, and when one was last placed in spite of them. Kept between
    /// batches.
    struct DeferralState {
        std::map<std::string, TimePoint, std::less<>> deferredSince;
        TimePoint lastOverrideAt;
    };

    struct Inputs {
        TimePoint now;
        const ShardState &state;
        const Sheet *sheet = nullptr;
        const InterferenceModel &model;
        const ColocationController &controller;
        const Windows &windows;
    };

    static void addWindow(Windows &windows, TimePoint now, const std::string &host, const ServiceWindow &window);

    InterferenceGuide(Inputs inputs, DeferralState &deferrals);

    bool mayPlace(const std::string &host, const JobSpec &job) override;
    int cost(const std::string &host, const JobSpec &job) override;
    bool mayOverride(const JobSpec &job, std::int64_t slackSeconds) override;
    void placed(const std::string &host, const JobSpec &job) override;

private:
    struct Assessment {
        bool allowed = true;
        int cost = 0;
    };

    Assessment assess(const std::string &host, const std::string &jobClass);
    [[nodiscard]] double predictedTail(std::string_view service,
                                       const RecentWindow &window,
                                       const std::vector<std::string> &running,
                                       const std::string &jobClass) const;
    [[nodiscard]] double effectOf(std::string_view service, const std::string &jobClass, double load) const;
    [[nodiscard]] bool isRecent(const RecentWindow &window) const;

    Inputs m_inputs;
    DeferralState &m_deferrals;
    std::map<std::string, std::vector<std::string>, std::less<>> m_running;
    /// Cached by host and class, because many jobs of a batch have the same class.
    std::map<std::string, std::map<std::string, Assessment>, std::less<>> m_assessments;
};

} // namespace Carobflow
