#include "carobflow/daemon/agentservice.h"

#include "carobflow/daemon/protocolconversion.h"
#include "carobflow/daemon/requestexecutor.h"
#include "carobflow/daemon/rpc.h"
#include "carobflow/daemon/shardrunner.h"

namespace Carobflow
{

using boost::asio::awaitable;

AgentService::AgentService(RequestExecutor &executor, std::function<void(SheetVersion)> recordRemoteVersion)
    : m_executor(executor)
    , m_recordRemoteVersion(std::move(recordRemoteVersion))
{
}

grpc::ServerUnaryReactor *AgentService::Forward(grpc::CallbackServerContext *context,
                                                const carobflow::ForwardRequest *request,
                                                carobflow::ForwardReply *reply)
{
    m_recordRemoteVersion(request->sheet_version());
    return serveUnary(context, m_executor.strand(), [this, request, reply]() -> awaitable<grpc::Status> {
        co_await m_executor.execute(*request, *reply);
        co_return grpc::Status::OK;
    });
}

ShardService::ShardService(ShardRunner &runner, std::function<void(SheetVersion)> recordRemoteVersion)
    : m_runner(runner)
    , m_recordRemoteVersion(std::move(recordRemoteVersion))
{
}

grpc::ServerUnaryReactor *ShardService::Sync(grpc::CallbackServerContext *context,
                                             const carobflow::SyncRequest *request,
                                             carobflow::SyncReply *reply)
{
    m_recordRemoteVersion(request->sheet_version());
    return serveUnary(context, m_runner.strand(), [this, request, reply]() -> awaitable<grpc::Status> {
        *reply = toMessage(co_await m_runner.sync(fromMessage(*request)));
        co_return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor *ShardService::SubmitJob(grpc::CallbackServerContext *context,
                                                  const carobflow::SubmitJobRequest *request,
                                                  carobflow::SubmitJobReply *reply)
{
    return serveUnary(context, m_runner.strand(), [this, request, reply]() -> awaitable<grpc::Status> {
        JobReply outcome = co_await m_runner.submit(fromMessage(request->job()));
        reply->set_outcome(std::string(outcomeName(outcome.outcome)));
        reply->set_message(std::move(outcome.message));
        co_return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor *ShardService::CancelJob(grpc::CallbackServerContext *context,
                                                  const carobflow::CancelJobRequest *request,
                                                  carobflow::CancelJobReply *reply)
{
    return serveUnary(context, m_runner.strand(), [this, request, reply]() -> awaitable<grpc::Status> {
        JobReply outcome = co_await m_runner.cancel(request->id());
        reply->set_outcome(std::string(outcomeName(outcome.outcome)));
        reply->set_message(std::move(outcome.message));
        co_return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor *ShardService::GetJob(grpc::CallbackServerContext *context,
                                               const carobflow::GetJobRequest *request,
                                               carobflow::GetJobReply *reply)
{
    return serveUnary(context, m_runner.strand(), [this, request, reply]() -> awaitable<grpc::Status> {
        const ShardLeader &leader = m_runner.leader();
        reply->set_leading(leader.isLeading(std::chrono::steady_clock::now()) && leader.owns(request->id()));
        if (const auto job = leader.find(request->id())) {
            reply->set_found(true);
            *reply->mutable_status() = toMessage(*job);
        }
        co_return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor *ShardService::ListJobs(grpc::CallbackServerContext *context,
                                                 const carobflow::ListJobsRequest *request,
                                                 carobflow::ListJobsReply *reply)
{
    return serveUnary(context, m_runner.strand(), [this, request, reply]() -> awaitable<grpc::Status> {
        const ShardLeader &leader = m_runner.leader();
        reply->set_leading(leader.isLeading(std::chrono::steady_clock::now()) && leader.shard() == request->shard());
        for (const JobView &job : leader.list()) {
            *reply->add_jobs() = toMessage(job);
        }
        co_return grpc::Status::OK;
    });
}

} // namespace Carobflow
