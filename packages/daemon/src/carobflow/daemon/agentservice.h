#pragma once

#include "carobflow/core/types.h"

#include <functional>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{

class RequestExecutor;
class ShardRunner;

/// Handles requests that entries forward to this host's upstreams.
class AgentService final : public carobflow::AgentService::CallbackService
{
public:
    AgentService(RequestExecutor &executor, std::function<void(SheetVersion)> recordRemoteVersion);

    grpc::ServerUnaryReactor *Forward(grpc::CallbackServerContext *context,
                                      const carobflow::ForwardRequest *request,
                                      carobflow::ForwardReply *reply) override;

private:
    RequestExecutor &m_executor;
    std::function<void(SheetVersion)> m_recordRemoteVersion;
};

/// Handles agent reports and entry calls for the shard that this process may lead.
class ShardService final : public carobflow::ShardService::CallbackService
{
public:
    ShardService(ShardRunner &runner, std::function<void(SheetVersion)> recordRemoteVersion);

    grpc::ServerUnaryReactor *Sync(grpc::CallbackServerContext *context,
                                   const carobflow::SyncRequest *request,
                                   carobflow::SyncReply *reply) override;
    grpc::ServerUnaryReactor *SubmitJob(grpc::CallbackServerContext *context,
                                        const carobflow::SubmitJobRequest *request,
                                        carobflow::SubmitJobReply *reply) override;
    grpc::ServerUnaryReactor *CancelJob(grpc::CallbackServerContext *context,
                                        const carobflow::CancelJobRequest *request,
                                        carobflow::CancelJobReply *reply) override;
    grpc::ServerUnaryReactor *GetJob(grpc::CallbackServerContext *context,
                                     const carobflow::GetJobRequest *request,
                                     carobflow::GetJobReply *reply) override;
    grpc::ServerUnaryReactor *ListJobs(grpc::CallbackServerContext *context,
                                       const carobflow::ListJobsRequest *request,
                                       carobflow::ListJobsReply *reply) override;

private:
    ShardRunner &m_runner;
    std::function<void(SheetVersion)> m_recordRemoteVersion;
};

} // namespace Carobflow
