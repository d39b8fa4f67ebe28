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

/// A task as the pacing of its host sees it.
struct PacedTask {
    RunId run;
    std::string image;
    /// Of a task that serves; 0 for others.
    Milliseconds tailTarget{0};
    bool fillsLeftover = false;
    /// Tail latency in milliseconds of a task that serves, else processor use in thousandths of a core.
    std::int64_t load = 0;
};

/// Limits fillers on one host so that the tasks that serve stay below their tail latency targets.
///
/// Each image of fillers has its own share. Where a tail comes near its target, the images that slow that service down
/// most are cut, by as much as the learned effects say is needed; images without an effect keep working. Effects may be
/// wrong or may have changed, so a tail that stays over its target although they were cut makes all fillers give way.
class Pacer
{
public:
    struct Options {
        /// Part of the target above which fillers are cut.
        double cutAbove = 0.72;
        /// Part of the target below which share is given back.
        double raiseBelow = 0.6;
        /// Part of the target that a cut aims at.
        double aim = 0.62;
        /// Least and largest factor of one cut.
        double hardestCut = 0.2;
        double gentlestCut = 0.85;
        /// Largest factor of a cut while a tail is over its target.
        double overTargetCut = 0.5;
        /// Factor for all fillers while a tail stays over its target.
        double commonCut = 0.4;
        /// After this time over a target every filler is cut. The sites allow four seconds.
        Milliseconds patience{1200};
        std::uint32_t raiseStep = 15;
        /// Step for an image that slows down no service here.
        std::uint32_t harmlessRaiseStep = 50;
        /// Shares below this count as none.
        std::uint32_t leastShare = 8;
        /// A smaller loss of headroom from all fillers of an image is no reason to limit it.
        double negligibleLoss = 0.15;
        /// Time between changes: pacing takes effect after 100 ms and the figures cover half a second.
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

    /// Headroom that services of the first image lose per core of fillers of the second one.
    using Effects = std::map<std::pair<std::string, std::string>, double>;

    void setEffects(Effects effects)
    {
        m_effects = std::move(effects);
    }

    /// Takes the newest figures and returns the limits that have to change.
    std::vector<Command> update(std::span<const PacedTask> tasks, TimePoint now);

    /// A limit did not reach the upstream and has to be sent again.
    void forget(const RunId &run)
    {
        m_applied.erase(run);
    }

    /// Largest ratio of tail latency to target at the last update.
    [[nodiscard]] double pressure() const
    {
        return m_pressure;
    }

    /// True while fillers run beside tasks that serve.
    [[nodiscard]] bool isPacing() const
    {
        return m_pressure > 0 && !m_images.empty();
    }

    /// The share in percent that fillers of the image are held to.
    [[nodiscard]] std::uint32_t share(std::string_view image) const;

    /// The images here with their shares, for the log: "image:share" separated by commas.
    [[nodiscard]] std::string describeShares() const;

    /// When a share last changed.
    [[nodiscard]] TimePoint changedAt() const
    {
        return m_changedAt;
    }

private:
    struct Image {
        double share = 100;
        /// Cores in use by the fillers of the image.
        double cores = 0;
        /// Cores that they would use without a limit, as long as they were seen working.
        double unlimitedCores = 0;
    };

    void adjustShares(std::span<const PacedTask> tasks, TimePoint now);
    void cutFor(const PacedTask &service, std::map<std::string, double, std::less<>> &factors) const;
    [[nodiscard]] double lossFrom(const PacedTask &service, std::string_view filler, double cores) const;
    [[nodiscard]] bool mayRaise(std::string_view filler, const Image &image, std::span<const PacedTask> tasks) const;

    Options m_options;
    Effects m_effects;
    std::map<std::string, Image, std::less<>> m_images;
    double m_pressure = 0;
    TimePoint m_changedAt;
    /// Since when a tail has been over its target without a break; zero when none is.
    TimePoint m_overSince;
    /// Limits that the upstream has; runs start without one.
    std::map<RunId, std::uint32_t> m_applied;
};

} // namespace Carobflow::Scheduling
