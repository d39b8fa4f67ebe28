#include "carobflow/scheduler/jobadmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Carobflow::Scheduling
{
namespace
{

/// About three years, so that a queue without progress does not overflow a duration.
constexpr double LongestMs = 1e11;

Milliseconds wholeSeconds(Duration time)
{
    return std::max(Seconds(1), std::chrono::ceil<Seconds>(time));
}

Duration timeFor(double work, double rate)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(std::min(LongestMs, work / rate)));
}

} // namespace

bool JobAdmission::mayReject(const JobSpec &spec, const Queue &queue, std::uint32_t highest)
{
    return queue.priority > 0 && queue.priority > highest && !spec.scheduled
        && std::ranges::none_of(spec.steps, &StepSpec::longRunning);
}

Duration JobAdmission::usefulTime(const Job &job) const
{
    return job.objectiveFor(job.likelyPath()) * m_options.expiredAfterObjectives;
}

JobAdmission::Decision JobAdmission::decide(
    const Job &job, std::span<const Job *const> jobs, std::uint32_t highest, JobOrder::Rule rule, TimePoint now)
{
    expireReturns(now);
    const auto returned = m_returns.find(job.spec().id);
    Decision decision{.submittedAt = returned == m_returns.end() ? now : returned->second.submittedAt,
                      .objective = job.objectiveFor(job.likelyPath())};
    const std::uint32_t priority = job.queue().priority;
    std::vector<const Job *> ahead;
    std::ranges::copy_if(jobs, std::back_inserter(ahead), [&](const Job *other) {
        return !other->isOver() && mayReject(other->spec(), other->queue(), highest)
            && other->queue().priority <= priority;
    });
    // Both are asked on each submission, because they learn from it.
    const bool isCongested = observeCongestion(ahead, now);
    const auto rate = m_estimator.finishRate(priority, highest, now);
    if (!isCongested || !rate) {
        return accept(job, decision);
    }
    Backlog backlog = backlogOf(job, ahead, rule, now);
    backlog.rate = *rate;
    const Duration waited = now - decision.submittedAt;
    decision.predicted = waited + predict(job, backlog, 1, m_estimator.slowdown(priority));
    if (returned != m_returns.end()) {
        if (const Duration early = returned->second.retryAt - now; early > m_options.earlyTolerance) {
            ++m_summary.rejected;
            decision.accepted = false;
            decision.retryAfter = wholeSeconds(early);
            return decision;
        }
        // Its turn comes before that of newer jobs, so only its own length counts.
        const bool canBeInTime = waited + job.likelyPath() <= decision.objective;
        return canBeInTime ? accept(job, decision) : reject(job, backlog, decision, now);
    }
    Backlog withReservations = backlog;
    withReservations.onceLate += m_reservedWork;
    const bool isUseful = predict(job, withReservations, m_options.safetyFactor, 1) <= usefulTime(job);
    return isUseful ? accept(job, decision) : reject(job, withReservations, decision, now);
}

JobAdmission::Backlog
JobAdmission::backlogOf(const Job &job, std::span<const Job *const> ahead, JobOrder::Rule rule, TimePoint now) const
{
    const TimePoint lateAt = std::max(now, JobValue::objectiveEnd(job) - job.likelyPath()) + Milliseconds(1);
    return {.whileInTime = JobOrder(rule, now).workBefore(job, ahead),
            .onceLate = JobOrder(rule, lateAt).workBefore(job, ahead)};
}

Duration JobAdmission::predict(const Job &job, const Backlog &backlog, double speed, double slowdown) const
{
    const double rate = backlog.rate * speed;
    const Duration inTime = CompletionEstimator::estimate(
        {.workAhead = backlog.whileInTime, .finishRate = rate, .slowdown = slowdown}, job);
    if (inTime <= job.objectiveFor(job.likelyPath())) {
        return inTime;
    }
    // The order puts late jobs behind those that can still end in time, also those that arrive later.
    const Duration late = CompletionEstimator::estimate(
        {.workAhead = backlog.onceLate, .finishRate = rate * (1 - m_options.newcomerShare), .slowdown = slowdown}, job);
    return std::max(inTime, late);
}

bool JobAdmission::observeCongestion(std::span<const Job *const> ahead, TimePoint now)
{
    // Jobs that no host can run wait for ever. They expire and are no sign of congestion then.
    const auto waits = [&](const Job *job) {
        return job->isIdle() && job->remainingWork() > 0 && now <= job->acceptedAt() + usefulTime(*job);
    };
    const bool isShort = static_cast<std::size_t>(std::ranges::count_if(ahead, waits)) < m_options.minimumWaitingJobs;
    if (isShort || now - m_observedAt > m_options.longestGap) {
        m_congestedSince.reset();
    }
    m_observedAt = now;
    if (isShort) {
        return false;
    }
    m_congestedSince = m_congestedSince.value_or(now);
    return now - *m_congestedSince >= m_options.congestedFor;
}

JobAdmission::Decision JobAdmission::accept(const Job &job, Decision decision)
{
    decision.accepted = true;
    ++m_summary.accepted;
    if (const auto returned = m_returns.find(job.spec().id); returned != m_returns.end()) {
        ++m_summary.returned;
        eraseReturn(returned);
    }
    if (decision.predicted.count() > 0) {
        m_predictions[job.spec().id] = decision.submittedAt + decision.predicted;
    }
    return decision;
}

JobAdmission::Decision JobAdmission::reject(const Job &job, const Backlog &backlog, Decision decision, TimePoint now)
{
    ++m_summary.rejected;
    decision.accepted = false;
    const Duration needed = std::clamp<Duration>(
        timeFor(backlog.onceLate, backlog.rate), Seconds(1), m_options.longestReturn);
    // Each return is assigned the time that its work takes beside that of newer jobs, so that clients return neither
    // all at once nor faster than they can be served.
    const double returnRate = backlog.rate * (1 - m_options.newcomerShare);
    m_nextReturn = std::min(std::max(m_nextReturn, now) + timeFor(job.totalWork(), returnRate), now + needed);
    decision.retryAfter = std::min(wholeSeconds(m_nextReturn - now), Milliseconds(std::chrono::floor<Seconds>(needed)));
    // A client that returns too late to be in time is rejected again, and needs no reservation.
    const bool canBeInTime = now + decision.retryAfter + job.likelyPath() <= decision.submittedAt + decision.objective;
    remember(job.spec().id,
             {.submittedAt = decision.submittedAt,
              .retryAt = now + decision.retryAfter,
              .work = canBeInTime ? job.totalWork() : 0});
    return decision;
}

void JobAdmission::remember(const std::string &id, const Return &entry)
{
    if (const auto known = m_returns.find(id); known != m_returns.end()) {
        eraseReturn(known);
    }
    if (m_returns.size() >= m_options.maxReturns) {
        eraseReturn(m_returns.find(m_returnOrder.begin()->second));
    }
    m_returns.emplace(id, entry);
    m_returnOrder.emplace(entry.retryAt, id);
    m_reservedWork += entry.work;
}

void JobAdmission::eraseReturn(Returns::iterator entry)
{
    if (entry->second.retryAt > m_reservedAfter) {
        m_reservedWork = std::max(0.0, m_reservedWork - entry->second.work);
    }
    m_returnOrder.erase({entry->second.retryAt, entry->first});
    m_returns.erase(entry);
}

void JobAdmission::expireReturns(TimePoint now)
{
    const TimePoint reservedAfter = std::max(m_reservedAfter, now - m_options.reservationGrace);
    for (auto next = m_returnOrder.lower_bound({m_reservedAfter, std::string()});
         next != m_returnOrder.end() && next->first <= reservedAfter;
         ++next) {
        const bool isReserved = next->first > m_reservedAfter;
        m_reservedWork = std::max(0.0, m_reservedWork - (isReserved ? m_returns.find(next->second)->second.work : 0));
    }
    m_reservedAfter = reservedAfter;
    while (!m_returnOrder.empty() && m_returnOrder.begin()->first + m_options.memory < now) {
        eraseReturn(m_returns.find(m_returnOrder.begin()->second));
    }
}

void JobAdmission::onTaskDone(const Job &job, const StepSpec &step, double before, Duration took, TimePoint now)
{
    const double estimate = std::max(1.0, static_cast<double>(step.estimate.count()));
    const double slowdown = std::chrono::duration<double, std::milli>(took).count() / estimate;
    m_estimator.onTaskDone(job.queue().priority, before - job.remainingWork(), slowdown, now);
    const auto predicted = job.isOver() ? m_predictions.find(job.spec().id) : m_predictions.end();
    if (predicted != m_predictions.end()) {
        const Duration error = now - predicted->second;
        ++m_summary.compared;
        m_errorSum += error;
        m_absoluteErrorSum += std::chrono::abs(error);
        m_predictions.erase(predicted);
    }
}

void JobAdmission::forget(std::string_view job)
{
    if (const auto predicted = m_predictions.find(job); predicted != m_predictions.end()) {
        m_predictions.erase(predicted);
    }
}

JobAdmission::Summary JobAdmission::takeSummary()
{
    Summary summary = std::exchange(m_summary, {});
    const auto mean = [&](Duration sum) {
        return std::chrono::duration_cast<Milliseconds>(sum)
            / static_cast<std::int64_t>(std::max<std::size_t>(1, summary.compared));
    };
    summary.meanError = mean(std::exchange(m_errorSum, Duration{}));
    summary.meanAbsoluteError = mean(std::exchange(m_absoluteErrorSum, Duration{}));
    summary.remembered = m_returns.size();
    return summary;
}

} // namespace Carobflow::Scheduling
