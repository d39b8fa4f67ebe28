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

/// Rules for the placements of one batch that follow from the services on the hosts: the host whose service keeps the
/// most of its deadline comes first, and a class that was evicted from a host stays away from it for a while.
class InterferenceGuide : public PlacementGuide
{
public:
    /// What recent windows tell of one service on one host.
    struct RecentWindow {
        TimePoint at;
        double tailMilliseconds = 0;
        double load = 0;
        /// The tasks that the tail was measured with.
        std::vector<std::string> jobClasses;
    };
    using Windows = std::map<std::string, std::map<std::string, RecentWindow, std::less<>>, std::less<>>;

    /// Since when jobs wait because of these rules, kept between batches.
    struct Patience {
        std::map<std::string, TimePoint, std::less<>> blockedSince;
        TimePoint insistedAt;
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

    InterferenceGuide(Inputs inputs, Patience &patience);

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
    Patience &m_patience;
    std::map<std::string, std::vector<std::string>, std::less<>> m_running;
    /// By host and class; many jobs of a batch have the same class.
    std::map<std::string, std::map<std::string, Assessment>, std::less<>> m_assessed;
};

} // namespace Carobflow
