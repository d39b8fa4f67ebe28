#pragma once

#include "carobflow/core/shardleader.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Carobflow
{

/// A submission or cancellation that no commit holds yet.
struct JobRequest {
    std::uint64_t ticket = 0;
    TimePoint receivedAt;
    /// Empty for a submission.
    std::string cancelledJob;
    JobSpec spec;
};

/// Submissions and cancellations from their arrival to their reply. A reply that rests on a record waits for the commit
/// of that record.
class RequestQueue
{
public:
    std::uint64_t add(TimePoint now, JobRequest request);

    /// Requests in order of arrival. Whoever settles one removes it and calls reply or replyAfterCommit.
    std::deque<JobRequest> &waiting();

    void reply(std::uint64_t ticket, JobReply::Outcome outcome, std::string message = {});
    void replyAfterCommit(const JobRequest &request, JobReply::Outcome outcome);

    /// The records that replyAfterCommit was called for are committed.
    void committed();

    /// The leadership is lost: what is not in a commit was certainly not done.
    void abandon();

    /// Answers requests that have waited too long for the store.
    void expire(TimePoint now);

    /// The earliest time at which expire has an effect, or the largest time.
    [[nodiscard]] TimePoint nextExpiry() const;

    std::vector<JobReply> take();

private:
    struct Committing {
        JobReply reply;
        TimePoint receivedAt;
    };

    std::uint64_t m_lastTicket = 0;
    std::deque<JobRequest> m_waiting;
    std::deque<Committing> m_committing;
    std::vector<JobReply> m_replies;
};

} // namespace Carobflow
