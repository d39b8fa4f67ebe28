#pragma once

#include "carobflow/control/election.h"
#include "carobflow/control/hostagent.h"
#include "carobflow/control/operatorsync.h"

#include <functional>

#include <control.grpc.pb.h>

namespace Carobflow
{

/// Forwards calls to the term of this process while it leads; otherwise replies with a hint to the leader.
class LeaderServiceFrontend final : public carobflow::control::LeaderService::CallbackService
{
public:
    LeaderServiceFrontend(const boost::asio::any_io_executor &executor, Election &election, LeaderDirectory &directory)
        : m_executor(executor)
        , m_election(election)
        , m_directory(directory)
    {
    }

    grpc::ServerUnaryReactor *Submit(grpc::CallbackServerContext *context,
                                     const carobflow::control::SubmitRequest *request,
                                     carobflow::control::SubmitReply *reply) override;
    grpc::ServerUnaryReactor *Cancel(grpc::CallbackServerContext *context,
                                     const carobflow::control::CancelRequest *request,
                                     carobflow::control::CancelReply *reply) override;
    grpc::ServerUnaryReactor *Query(grpc::CallbackServerContext *context,
                                    const carobflow::control::QueryRequest *request,
                                    carobflow::control::QueryReply *reply) override;
    grpc::ServerUnaryReactor *CountPending(grpc::CallbackServerContext *context,
                                           const carobflow::control::CountPendingRequest *request,
                                           carobflow::control::CountPendingReply *reply) override;
    grpc::ServerUnaryReactor *Report(grpc::CallbackServerContext *context,
                                     const carobflow::control::ReportRequest *request,
                                     carobflow::control::ReportReply *reply) override;

private:
    template<typename Request, typename Reply, typename Handler>
    grpc::ServerUnaryReactor *
    serve(grpc::CallbackServerContext *context, const Request *request, Reply *reply, Handler handler);

    boost::asio::any_io_executor m_executor;
    Election &m_election;
    LeaderDirectory &m_directory;
};

/// Receives a leader's orders for an agent.
class HostServiceFrontend final : public carobflow::control::HostService::CallbackService
{
public:
    explicit HostServiceFrontend(HostAgent &agent)
        : m_agent(agent)
    {
    }

    grpc::ServerUnaryReactor *Execute(grpc::CallbackServerContext *context,
                                      const carobflow::control::ExecuteRequest *request,
                                      carobflow::control::ExecuteReply *reply) override;

private:
    HostAgent &m_agent;
};

/// Tells peers the operator configuration and the leader that this process knows.
class PeerServiceFrontend final : public carobflow::control::PeerService::CallbackService
{
public:
    /// Returns the known addresses of processes that answer peers.
    using PeerList = std::function<std::vector<std::string>()>;

    PeerServiceFrontend(OperatorSync &operators, LeaderDirectory &directory, PeerList peers)
        : m_operators(operators)
        , m_directory(directory)
        , m_peers(std::move(peers))
    {
    }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context,
                                       const carobflow::control::ExchangeRequest *request,
                                       carobflow::control::ExchangeReply *reply) override;

private:
    OperatorSync &m_operators;
    LeaderDirectory &m_directory;
    PeerList m_peers;
};

} // namespace Carobflow
