#pragma once

#include "carobflow/scheduler/headroommodel.h"
#include "carobflow/scheduler/workload.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Carobflow::Scheduling
{

/// A running task as the pacer of its host sees it.
struct PacedTask {
    RunId run;
    std::string image;
    /// Tail latency target of a task that serves requests; 0 for others.
    Milliseconds tailTarget{0};
    bool fillsLeftover = false;
    /// Tail latency in milliseconds of a task that serves requests, else processor use in thousandths of a core.
    std::int64_t load = 0;
};

/// Throttles the fillers of one host so that services stay below their tail latency targets.
///
/// Each filler image has a share: the percentage of its full speed at which its tasks may run. When the tail latency of
/// a service approaches its target, the shares of the images that slow it down most are cut by as much as the learned
/// effects require; images without an effect are not throttled. Learned effects may be wrong or outdated, so a tail
/// latency that stays over its target despite these cuts causes a cut of all fillers.
class Pacer
{
public:
    struct Options {
        /// Fraction of the target above which shares are cut.
        double cutAbove = 0.72;
        /// Fraction of the target below which shares are raised.
        double raiseBelow = 0.6;
        /// Fraction of the target that a cut is meant to reach.
        double cutGoal = 0.62;
        /// Bounds of the factor by which one cut multiplies a share.
        double minCutFactor = 0.2;
        double maxCutFactor = 0.85;
        /// Upper bound of that factor while a tail latency is over its target.
        double maxCutFactorOverTarget = 0.5;
        /// Upper bound of the factor for all images once a tail latency has been over its target for
        /// `maxTimeOverTarget`.
        double cutAllFactor = 0.4;
        /// Time over a target after which all fillers are cut. The deployments allow four seconds.
        Milliseconds maxTimeOverTarget{1200};
        /// Percentage points by which a share is raised at a time.
        std::uint32_t raiseStep = 15;
        /// Percentage points by which the share of an image that slows down no service on this host is raised at a
        /// time.
        std::uint32_t harmlessRaiseStep = 50;
        /// A share that is cut below this becomes 0.
        std::uint32_t minShare = 8;
        /// A loss of headroom up to this is not a reason to cut a share or to refuse to raise it.
        double negligibleLoss = 0.15;
        /// Minimum time between changes. A change takes effect after 100 ms, and measurements cover half a second.
        Milliseconds interval{400};
    };

    struct Command {
        RunId run;
        std::uint32_t percent = 100;
    };

    explicit Pacer(Options options)
        : m_options(options)
    {
    }

    /// Headroom that services of the first image lose per core of fillers of the second.
    using Effects = std::map<std::pair<std::string, std::string>, double>;

    void setEffects(Effects effects)
    {
        m_effects = std::move(effects);
    }

    /// Evaluates new measurements and returns the limits that have to change.
    std::vector<Command> update(std::span<const PacedTask> tasks, TimePoint now);

    /// Discards the limit recorded for a run that did not reach the upstream, so that the next update returns it again.
    void forget(const RunId &run)
    {
        m_applied.erase(run);
    }

    /// Largest ratio of tail latency to target at the last update.
    [[nodiscard]] double pressure() const
    {
        return m_pressure;
    }

    /// True while fillers share the host with tasks that serve requests.
    [[nodiscard]] bool isPacing() const
    {
        return m_pressure > 0 && !m_images.empty();
    }

    /// The share of an image in percent; 100 for unknown images.
    [[nodiscard]] std::uint32_t share(std::string_view image) const;

    /// The images on this host with their shares, for the log: "image:share" separated by commas.
    [[nodiscard]] std::string describeShares() const;

    /// Time of the last change of a share.
    [[nodiscard]] TimePoint changedAt() const
    {
        return m_changedAt;
    }

private:
    struct Image {
        double share = 100;
        /// Cores in use by the fillers of the image.
        double cores = 0;
        /// Estimate of the cores that they would use without a limit, from the last update with a share that is large
        /// enough.
        double unlimitedCores = 0;
    };

    void adjustShares(std::span<const PacedTask> tasks, TimePoint now);
    void addCutFactors(const PacedTask &service, std::map<std::string, double, std::less<>> &factors) const;
    [[nodiscard]] double headroomLoss(const PacedTask &service, std::string_view filler, double cores) const;
    [[nodiscard]] bool mayRaise(std::string_view filler, const Image &image, std::span<const PacedTask> tasks) const;

    Options m_options;
    Effects m_effects;
    std::map<std::string, Image, std::less<>> m_images;
    double m_pressure = 0;
    TimePoint m_changedAt;
    /// Time since which a tail latency has been over its target without interruption; zero when none is.
    TimePoint m_overSince;
    /// Limits that are in force on the upstream; runs start without one.
    std::map<RunId, std::uint32_t> m_applied;
};

} // namespace Carobflow::Scheduling
