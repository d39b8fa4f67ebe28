#include "carobflow/control/controlcaller.h"

#include "carobflow/logging/log.h"

namespace Carobflow
{

namespace wire = carobflow::control;

namespace
{

/// A connection may stop carrying data while new ones work; keepalive pings detect this only after 4 s. A single
/// time-out may be a slow peer.
constexpr int TimeoutsBeforeReconnect = 2;

} // namespace

void ControlCaller::recordStatus(const std::string &address, const grpc::Status &status)
{
    const std::lock_guard lock(m_mutex);
    int &timeouts = m_consecutiveTimeouts[address];
    if (status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED) {
        timeouts = 0;
        return;
    }
    if (++timeouts >= TimeoutsBeforeReconnect) {
        logInfo("connection-replaced").with("peer", address).with("timeouts", timeouts);
        timeouts = 0;
        m_channels.forget(address);
    }
}

template<typename Service, typename Request, typename Reply>
ControlCaller::Answer<Reply>
ControlCaller::call(std::string address, Method<Service, Request, Reply> method, Request request, Milliseconds timeout)
{
    using Stub = typename Service::Stub;
    std::shared_ptr<Stub> stub = Service::NewStub(m_channels.channel(address));
    auto [status, reply] = co_await callUnary<Stub, Request, Reply>(
        std::move(stub), method, std::move(request), timeout);
    recordStatus(address, status);
    if (!status.ok()) {
        logDebug("call-failed").with("peer", address).with("error", status.error_message());
        co_return std::nullopt;
    }
    co_return std::move(reply);
}

ControlCaller::Answer<wire::SubmitReply>
ControlCaller::submit(std::string address, wire::SubmitRequest request, Milliseconds timeout)
{
    return call<wire::LeaderService, wire::SubmitRequest, wire::SubmitReply>(
        std::move(address), &wire::LeaderService::Stub::async::Submit, std::move(request), timeout);
}

ControlCaller::Answer<wire::CancelReply>
ControlCaller::cancel(std::string address, wire::CancelRequest request, Milliseconds timeout)
{
    return call<wire::LeaderService, wire::CancelRequest, wire::CancelReply>(
        std::move(address), &wire::LeaderService::Stub::async::Cancel, std::move(request), timeout);
}

ControlCaller::Answer<wire::QueryReply>
ControlCaller::query(std::string address, wire::QueryRequest request, Milliseconds timeout)
{
    return call<wire::LeaderService, wire::QueryRequest, wire::QueryReply>(
        std::move(address), &wire::LeaderService::Stub::async::Query, std::move(request), timeout);
}

ControlCaller::Answer<wire::CountPendingReply>
ControlCaller::countPending(std::string address, wire::CountPendingRequest request, Milliseconds timeout)
{
    return call<wire::LeaderService, wire::CountPendingRequest, wire::CountPendingReply>(
        std::move(address), &wire::LeaderService::Stub::async::CountPending, std::move(request), timeout);
}

ControlCaller::Answer<wire::ReportReply>
ControlCaller::report(std::string address, wire::ReportRequest request, Milliseconds timeout)
{
    return call<wire::LeaderService, wire::ReportRequest, wire::ReportReply>(
        std::move(address), &wire::LeaderService::Stub::async::Report, std::move(request), timeout);
}

ControlCaller::Answer<wire::ExecuteReply>
ControlCaller::execute(std::string address, wire::ExecuteRequest request, Milliseconds timeout)
{
    return call<wire::HostService, wire::ExecuteRequest, wire::ExecuteReply>(
        std::move(address), &wire::HostService::Stub::async::Execute, std::move(request), timeout);
}

ControlCaller::Answer<wire::ExchangeReply>
ControlCaller::exchange(std::string address, wire::ExchangeRequest request, Milliseconds timeout)
{
    return call<wire::PeerService, wire::ExchangeRequest, wire::ExchangeReply>(
        std::move(address), &wire::PeerService::Stub::async::Exchange, std::move(request), timeout);
}

} // namespace Carobflow
