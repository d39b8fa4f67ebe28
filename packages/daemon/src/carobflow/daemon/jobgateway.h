#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/shardleader.h"

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{

class ChannelPool;
class ClusterView;

/// Sends calls about jobs to the leader of the job's shard. Submissions and cancellations are idempotent by the job's
/// id, so they are retried while the leader changes.
class JobGateway
{
public:
    struct Options {
        std::uint32_t shards = 1;
        /// Time limit for one call including all its retries.
        Milliseconds timeout{6000};
        /// An error while this process must not call leaders, because its number of shards may be wrong.
        std::function<Status()> participation = [] { return Status(); };
    };

    JobGateway(Options options, ClusterView &cluster, ChannelPool &channels);

    /// The outcome and message as the protocol spells them.
    struct Reply {
        std::string outcome;
        std::string message;
    };

    boost::asio::awaitable<Reply> submit(JobSpec spec);
    boost::asio::awaitable<Reply> cancel(std::string job);

    /// Errors: NotFound, Unavailable.
    boost::asio::awaitable<Result<carobflow::JobStatus>> find(std::string job);

    /// The jobs of all shards. Errors: Unavailable.
    boost::asio::awaitable<Result<std::vector<carobflow::JobStatus>>> list();

private:
    template<typename Request, typename ReplyMessage>
    using Method = void (carobflow::ShardService::Stub::async::*)(grpc::ClientContext *,
                                                                  const Request *,
                                                                  ReplyMessage *,
                                                                  std::function<void(grpc::Status)>);

    template<typename Request, typename ReplyMessage, typename Accept>
    boost::asio::awaitable<Result<ReplyMessage>>
    callLeader(ShardId shard, Method<Request, ReplyMessage> method, Request request, Accept accept);

    Options m_options;
    ClusterView &m_cluster;
    ChannelPool &m_channels;
};

} // namespace Carobflow
