#pragma once

#include "carobflow/scheduler/completionestimator.h"
#include "carobflow/scheduler/joborder.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace Carobflow::Scheduling
{

/// Decides at its submission whether a batch job can still be useful, and rejects it with a time to come back when it
/// cannot.
///
/// A job is rejected only when work has waited for longer than the window of the estimator and the job would end after
/// three objectives by a favourable prediction. Everything else is accepted, also without evidence.
class JobAdmission
{
public:
    struct Options {
        CompletionEstimator::Options estimator = {};
        /// A job is rejected when it would end after this multiple of its objective.
        int expiredAfterObjectives = 3;
        /// The prediction assumes that work finishes this much faster than measured, because a wrong rejection costs
        /// the caller the whole result. Errors that estimates have in common cancel out in the rate. In simulations,
        /// 1.5 rejects nothing at 1.8 times the capacity, where a third of the jobs ends too late.
        double safetyFactor = 1.25;
        /// Part of the capacity that later jobs take from a job that has become late. It is 1 under lasting overload,
        /// which a prediction must not assume, since bursts last only for some seconds.
        double newcomerShare = 0.5;
        /// Waiting jobs below which a queue counts as short.
        std::size_t minimumWaitingJobs = 3;
        /// How long work has to wait without a break before a job is rejected; the window of the estimator.
        Seconds congestedFor{8};
        /// Between submissions that are further apart, the queue may have been empty.
        Seconds longestGap{5};
        /// Upper bound of a time to return. A rate near 0 would give times that a reply cannot carry.
        Seconds longestReturn{3600};
        /// Clients round the time to return.
        Milliseconds earlyTolerance{100};
        /// How long after its time a client's reservation is kept.
        Seconds reservationGrace{2};
        /// How long after its time the first submission of a client is remembered.
        Seconds memory{60};
        /// Upper bound of the remembered clients; about 2 MB.
        std::size_t maxReturns = 10000;
    };

    struct Decision {
        bool accepted = true;
        /// Whole seconds after which the client may return.
        Milliseconds retryAfter{0};
        /// First submission of the job, from which its objective counts.
        TimePoint submittedAt;
        /// For the log: predicted time until the end, and the objective, both from the first submission.
        Duration predicted{};
        Duration objective{};
    };

    /// Counts since the last summary, and the error of the predictions of ended jobs.
    struct Summary {
        std::size_t accepted = 0;
        std::size_t rejected = 0;
        /// Accepted jobs that had been rejected before.
        std::size_t returned = 0;
        /// Jobs whose predicted end was compared with the actual one.
        std::size_t compared = 0;
        /// Mean of actual minus predicted time, and of its absolute value.
        Milliseconds meanError{0};
        Milliseconds meanAbsoluteError{0};
        std::size_t remembered = 0;
    };

    explicit JobAdmission(Options options)
        : m_options(options)
        , m_estimator(options.estimator)
    {
    }

    /// Decides about a job that is not known. `jobs` are those that may run before it; `highest` is the highest
    /// priority of the configuration, whose jobs are always accepted.
    Decision
    decide(const Job &job, std::span<const Job *const> jobs, std::uint32_t highest, JobOrder::Rule rule, TimePoint now);

    /// True for jobs about which decide() has to be asked; all others are accepted.
    [[nodiscard]] static bool mayReject(const JobSpec &spec, const Queue &queue, std::uint32_t highest);

    /// Records the end of a task; `before` is the remaining work of its job before that.
    void onTaskDone(const Job &job, const StepSpec &step, double before, Duration took, TimePoint now);

    /// Drops the prediction of a job that was forgotten.
    void forget(std::string_view job);

    /// Returns the counts and starts new ones.
    Summary takeSummary();

private:
    /// A rejected job whose client may return.
    struct Return {
        TimePoint submittedAt;
        TimePoint retryAt;
        double work = 0;
    };

    using Returns = std::map<std::string, Return, std::less<>>;

    /// What a prediction needs: the work before the job while it can end in time, and once it is late.
    struct Backlog {
        double whileInTime = 0;
        double onceLate = 0;
        double rate = 0;
    };

    [[nodiscard]] Backlog
    backlogOf(const Job &job, std::span<const Job *const> ahead, JobOrder::Rule rule, TimePoint now) const;
    /// Time until the job ends when work finishes `speed` times as fast as measured.
    [[nodiscard]] Duration predict(const Job &job, const Backlog &backlog, double speed, double slowdown) const;
    /// True when jobs have waited since the window of the estimator began.
    bool observeCongestion(std::span<const Job *const> ahead, TimePoint now);
    Decision accept(const Job &job, Decision decision);
    Decision reject(const Job &job, const Backlog &backlog, Decision decision, TimePoint now);
    [[nodiscard]] Duration usefulTime(const Job &job) const;
    /// Ends reservations whose time has passed, and forgets clients that have not returned.
    void expireReturns(TimePoint now);
    void remember(const std::string &id, const Return &entry);
    void eraseReturn(Returns::iterator entry);

    Options m_options;
    CompletionEstimator m_estimator;
    Returns m_returns;
    /// The same by the time of return.
    std::set<std::pair<TimePoint, std::string>> m_returnOrder;
    /// Work of the clients whose time to return is later than `m_reservedAfter`.
    double m_reservedWork = 0;
    TimePoint m_reservedAfter;
    /// Predicted ends of accepted jobs.
    std::map<std::string, TimePoint, std::less<>> m_predictions;
    std::optional<TimePoint> m_congestedSince;
    TimePoint m_observedAt;
    /// Time up to which returns have been assigned.
    TimePoint m_nextReturn;
    Summary m_summary;
    Duration m_errorSum{};
    Duration m_absoluteErrorSum{};
};

} // namespace Carobflow::Scheduling
