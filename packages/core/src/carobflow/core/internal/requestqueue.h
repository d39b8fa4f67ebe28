#pragma once

#include "carobflow/core/shardleader.h"
#include "carobflow/core/types.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Carobflow
{

/// A submission or cancellation that is not part of a commit yet.
struct JobRequest {
    std::uint64_t ticket = 0;
    TimePoint receivedAt;
    /// Empty for a submission.
    std::string cancelledJob;
    JobSpec spec;
};

/// Holds submissions and cancellations from arrival to reply. A reply that depends on a record is given once the record
/// is committed.
class RequestQueue
{
public:
    std::uint64_t add(TimePoint now, JobRequest request);

    /// Requests in order of arrival. The caller that decides one removes it and calls reply or replyAfterCommit.
    std::deque<JobRequest> &waiting();

    void reply(std::uint64_t ticket, JobReply::Outcome outcome, std::string message = {});
    void replyAfterCommit(const JobRequest &request, JobReply::Outcome outcome);

    /// Called when the records of all replyAfterCommit calls are committed.
    void committed();

    /// Called when the leadership is lost. Requests that are not part of a commit have certainly not been carried out.
    void abandon();

    /// Replies to requests that have waited too long for the store.
    void expire(TimePoint now);

    /// The earliest time at which expire has an effect, or TimePoint::max() when there is none.
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
