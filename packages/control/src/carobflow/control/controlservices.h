#pragma once

#include "carobflow/control/election.h"
#include "carobflow/control/hostagent.h"
#include "carobflow/control/operatorsync.h"

#include <functional>

#include <control.grpc.pb.h>

namespace Carobflow
{

/// Leads calls to the term of this process while it leads; otherwise replies name the leader.
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

/// Takes a leader's orders for an agent.
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

/// Tells peers what this process knows of operators and of the leader.
class PeerServiceFrontend final : public carobflow::control::PeerService::CallbackService
{
public:
    /// Addresses of processes that answer peers, as this process knows them.
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
