#include "carobflow/daemon/jobgateway.h"

#include "carobflow/daemon/clusterview.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/protocolconversion.h"
#include "carobflow/daemon/rpc.h"

#include <carobflow.grpc.pb.h>

namespace Carobflow
{
namespace
{

using Stub = carobflow::ShardService::Stub;

constexpr Milliseconds CallTimeout{3000};
constexpr Milliseconds RetryInterval{200};

template<typename ReplyMessage>
bool isDecided(const ReplyMessage &reply)
{
    return reply.outcome() != "not-leader" && reply.outcome() != "unavailable" && reply.outcome() != "unknown";
}

} // namespace

JobGateway::JobGateway(Options options, ClusterView &cluster, ChannelPool &channels)
    : m_options(std::move(options))
    , m_cluster(cluster)
    , m_channels(channels)
{
}

template<typename Request, typename ReplyMessage, typename Accept>
boost::asio::awaitable<Result<ReplyMessage>>
JobGateway::callLeader(ShardId shard, Method<Request, ReplyMessage> method, Request request, Accept accept)
{
    const Status participation = m_options.participation();
    if (!isOk(participation)) {
        co_return Error{ErrorKind::Unavailable, errorOf(participation).message};
    }
    const TimePoint deadline = std::chrono::steady_clock::now() + m_options.timeout;
    // Once a call may have reached a leader, the outcome of a change is no longer known to be "nothing happened".
    bool sent = false;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto address = m_cluster.leaderAddress(shard);
        if (address && co_await m_channels.waitReady(*address, RetryInterval)) {
            std::shared_ptr<Stub> stub = carobflow::ShardService::NewStub(m_channels.channel(*address));
            auto [status, reply] = co_await callUnary<Stub, Request, ReplyMessage>(
                std::move(stub), method, request, CallTimeout);
            if (status.ok() && accept(reply)) {
                co_return std::move(reply);
            }
            sent = sent || !status.ok();
        }
        co_await sleepFor(RetryInterval);
    }
    co_return Error{sent ? ErrorKind::Unknown : ErrorKind::Unavailable,
                    "the leader of shard " + std::to_string(shard)
                        + " did not decide in time; repeat the call with the same job id"};
}

boost::asio::awaitable<JobGateway::Reply> JobGateway::submit(JobSpec spec)
{
    carobflow::SubmitJobRequest request;
    *request.mutable_job() = toMessage(spec);
    bool undecided = false;
    const auto result = co_await callLeader<carobflow::SubmitJobRequest, carobflow::SubmitJobReply>(
        shardOf(spec.id, m_options.shards), &Stub::async::SubmitJob, std::move(request), [&](const auto &reply) {
            undecided = undecided || reply.outcome() == "unknown";
            return isDecided(reply);
        });
    if (isOk(result)) {
        co_return Reply{.outcome = valueOf(result).outcome(), .message = valueOf(result).message()};
    }
    const bool unknown = undecided || errorOf(result).kind == ErrorKind::Unknown;
    co_return Reply{.outcome = unknown ? "unknown" : "unavailable", .message = errorOf(result).message};
}

boost::asio::awaitable<JobGateway::Reply> JobGateway::cancel(std::string job)
{
    carobflow::CancelJobRequest request;
    request.set_id(job);
    bool undecided = false;
    const auto result = co_await callLeader<carobflow::CancelJobRequest, carobflow::CancelJobReply>(
        shardOf(job, m_options.shards), &Stub::async::CancelJob, std::move(request), [&](const auto &reply) {
            undecided = undecided || reply.outcome() == "unknown";
            return isDecided(reply);
        });
    if (isOk(result)) {
        co_return Reply{.outcome = valueOf(result).outcome(), .message = valueOf(result).message()};
    }
    const bool unknown = undecided || errorOf(result).kind == ErrorKind::Unknown;
    co_return Reply{.outcome = unknown ? "unknown" : "unavailable", .message = errorOf(result).message};
}

boost::asio::awaitable<Result<carobflow::JobStatus>> JobGateway::find(std::string job)
{
    carobflow::GetJobRequest request;
    request.set_id(job);
    auto result = co_await callLeader<carobflow::GetJobRequest, carobflow::GetJobReply>(
        shardOf(job, m_options.shards), &Stub::async::GetJob, std::move(request), [](const auto &reply) {
            return reply.leading();
        });
    if (!isOk(result)) {
        co_return Error{ErrorKind::Unavailable, errorOf(result).message};
    }
    if (!valueOf(result).found()) {
        co_return Error{ErrorKind::NotFound, "there is no job '" + job + "'; see 'carobflow report jobs'"};
    }
    co_return valueOf(result).status();
}

boost::asio::awaitable<Result<std::vector<carobflow::JobStatus>>> JobGateway::list()
{
    std::vector<carobflow::JobStatus> jobs;
    for (ShardId shard = 0; shard < m_options.shards; ++shard) {
        carobflow::ListJobsRequest request;
        request.set_shard(shard);
        auto result = co_await callLeader<carobflow::ListJobsRequest, carobflow::ListJobsReply>(
            shard, &Stub::async::ListJobs, std::move(request), [](const auto &reply) { return reply.leading(); });
        if (!isOk(result)) {
            co_return Error{ErrorKind::Unavailable, errorOf(result).message};
        }
        jobs.insert(jobs.end(), valueOf(result).jobs().begin(), valueOf(result).jobs().end());
    }
    co_return jobs;
}

} // namespace Carobflow
