#include "carobflow/control/controlservices.h"

namespace Carobflow
{

namespace asio = boost::asio;
namespace wire = carobflow::control;

template<typename Request, typename Reply, typename Handler>
grpc::ServerUnaryReactor *LeaderServiceFrontend::serve(grpc::CallbackServerContext *context,
                                                       const Request *request,
                                                       Reply *reply,
                                                       Handler handler)
{
    const std::shared_ptr<LeaderTerm> term = m_election.term();
    if (!term) {
        *reply->mutable_leader() = m_directory.hint();
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }
    // The message belongs to this call alone, so its content is moved; reports hold hundreds of strings.
    auto *content = const_cast<Request *>(request);
    return serveUnary(context, term->strand(), [term, content, reply, handler]() -> asio::awaitable<grpc::Status> {
        *reply = co_await handler(*term, std::move(*content));
        co_return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor *LeaderServiceFrontend::Submit(grpc::CallbackServerContext *context,
                                                        const wire::SubmitRequest *request,
                                                        wire::SubmitReply *reply)
{
    return serve(context, request, reply, [](LeaderTerm &term, wire::SubmitRequest message) {
        return term.submit(std::move(message));
    });
}

grpc::ServerUnaryReactor *LeaderServiceFrontend::Cancel(grpc::CallbackServerContext *context,
                                                        const wire::CancelRequest *request,
                                                        wire::CancelReply *reply)
{
    return serve(context, request, reply, [](LeaderTerm &term, wire::CancelRequest message) {
        return term.cancel(std::move(message));
    });
}

grpc::ServerUnaryReactor *LeaderServiceFrontend::Query(grpc::CallbackServerContext *context,
                                                       const wire::QueryRequest *request,
                                                       wire::QueryReply *reply)
{
    return serve(context, request, reply, [](LeaderTerm &term, wire::QueryRequest message) {
        return term.query(std::move(message));
    });
}

grpc::ServerUnaryReactor *LeaderServiceFrontend::CountPending(grpc::CallbackServerContext *context,
                                                              const wire::CountPendingRequest *request,
                                                              wire::CountPendingReply *reply)
{
    return serve(context,
                 request,
                 reply,
                 [](LeaderTerm &term, wire::CountPendingRequest message) -> asio::awaitable<wire::CountPendingReply> {
                     co_return term.countPending(message);
                 });
}

grpc::ServerUnaryReactor *LeaderServiceFrontend::Report(grpc::CallbackServerContext *context,
                                                        const wire::ReportRequest *request,
                                                        wire::ReportReply *reply)
{
    return serve(context, request, reply, [](LeaderTerm &term, wire::ReportRequest message) {
        return term.report(std::move(message));
    });
}

grpc::ServerUnaryReactor *HostServiceFrontend::Execute(grpc::CallbackServerContext *context,
                                                       const wire::ExecuteRequest *request,
                                                       wire::ExecuteReply *reply)
{
    return serveUnary(context, m_agent.strand(), [this, request, reply]() -> asio::awaitable<grpc::Status> {
        *reply = co_await m_agent.execute(*request);
        co_return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor *PeerServiceFrontend::Exchange(grpc::CallbackServerContext *context,
                                                        const wire::ExchangeRequest *request,
                                                        wire::ExchangeReply *reply)
{
    m_directory.learn(request->leader());
    *reply = m_operators.answer(*request);
    for (const std::string &peer : m_peers()) {
        reply->add_peers(peer);
    }
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

} // namespace Carobflow
