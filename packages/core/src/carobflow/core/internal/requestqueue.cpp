#include "carobflow/core/internal/requestqueue.h"

#include <algorithm>
#include <utility>

namespace Carobflow
{

namespace
{

/// Callers wait for a few seconds only, and a store outage may last minutes.
constexpr Milliseconds ReplyTimeout{5000};

} // namespace

std::uint64_t RequestQueue::add(TimePoint now, JobRequest request)
{
    request.ticket = ++m_lastTicket;
    request.receivedAt = now;
    m_waiting.push_back(std::move(request));
    return m_lastTicket;
}

std::deque<JobRequest> &RequestQueue::waiting()
{
    return m_waiting;
}

void RequestQueue::reply(std::uint64_t ticket, JobReply::Outcome outcome, std::string message)
{
    m_replies.push_back({.ticket = ticket, .outcome = outcome, .message = std::move(message)});
}

void RequestQueue::replyAfterCommit(const JobRequest &request, JobReply::Outcome outcome)
{
    m_committing.push_back(
        {.reply = {.ticket = request.ticket, .outcome = outcome, .message = {}}, .receivedAt = request.receivedAt});
}

void RequestQueue::committed()
{
    for (Committing &entry : m_committing) {
        m_replies.push_back(std::move(entry.reply));
    }
    m_committing.clear();
}

void RequestQueue::abandon()
{
    for (const Committing &entry : m_committing) {
        reply(entry.reply.ticket,
              JobReply::Outcome::Unknown,
              "leadership lost during the commit: ask for the job's status");
    }
    m_committing.clear();
    for (const JobRequest &request : m_waiting) {
        reply(request.ticket, JobReply::Outcome::NotLeader, "leadership lost: repeat the request at the new leader");
    }
    m_waiting.clear();
}

void RequestQueue::expire(TimePoint now)
{
    while (!m_committing.empty() && now - m_committing.front().receivedAt >= ReplyTimeout) {
        reply(m_committing.front().reply.ticket,
              JobReply::Outcome::Unknown,
              "the table does not answer: ask for the job's status later");
        m_committing.pop_front();
    }
    while (!m_waiting.empty() && now - m_waiting.front().receivedAt >= ReplyTimeout) {
        reply(m_waiting.front().ticket,
              JobReply::Outcome::Unavailable,
              "the table does not answer: repeat the request later");
        m_waiting.pop_front();
    }
}

TimePoint RequestQueue::nextExpiry() const
{
    TimePoint next = TimePoint::max();
    if (!m_committing.empty()) {
        next = std::min(next, m_committing.front().receivedAt + ReplyTimeout);
    }
    if (!m_waiting.empty()) {
        next = std::min(next, m_waiting.front().receivedAt + ReplyTimeout);
    }
    return next;
}

std::vector<JobReply> RequestQueue::take()
{
    return std::exchange(m_replies, {});
}

} // namespace Carobflow
