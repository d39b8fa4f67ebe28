#pragma once

#include "carobflow/scheduler/job.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Scheduling
{

/// Learns which hosts run tasks more slowly than others.
///
/// The evidence is how long a task took compared with the median of its step, whatever its estimate was. A few tasks
/// take many times as long as their siblings on any host, so a host is rated by the median of its last runs.
class HostSpeed
{
public:
    struct Options {
        /// Runs by which a host is rated, and the smallest number. Run times differ by about half of their mean; the
        /// median of 15 then exceeds 1.5 on one of about 160 normal hosts.
        std::size_t window = 15;
        std::size_t minimumRuns = 8;
        /// A host is slow when its runs take this many times as long as their siblings.
        double slowFactor = 1.5;
        /// A slow host without an end for this long counts as normal for a moment, so that it gets tasks which show
        /// whether it has recovered. Repeated until a task ends there.
        Milliseconds trialAfter{5000};
        Milliseconds trialLength{200};
        /// Number of tasks of a step that have a useful median.
        std::size_t minimumSiblings = 4;
    };

    explicit HostSpeed(Options options)
        : m_options(options)
    {
    }

    /// A run on the host took this many times as long as the median of its siblings.
    void onEnd(std::string_view host, double ratioToSiblings, TimePoint now);

    /// All tasks of a step have ended. Earlier, the median of those that have ended would be too low, and hosts would
    /// seem slow on which a step's last tasks run.
    void onStepEnd(std::span<const Task> tasks, TimePoint now);

    /// How many times as long as elsewhere tasks take on the host; 1 unless it is slow.
    [[nodiscard]] double factor(std::string_view host, TimePoint now) const;

    /// Drops what is known of a host whose upstream has been replaced.
    void forget(std::string_view host);

private:
    struct Record {
        /// The last ratios; the oldest is overwritten.
        std::vector<double> ratios;
        std::size_t next = 0;
        double median = 1;
        TimePoint endedAt;
    };

    Options m_options;
    std::map<std::string, Record, std::less<>> m_hosts;
};

} // namespace Carobflow::Scheduling
