#pragma once

#include "carobflow/core/types.h"
#include "carobflow/daemon/rpc.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>
#include <control.grpc.pb.h>

namespace Carobflow
{

/// RPC client for the other processes of the system. A call that fails returns nullopt and may have been executed all
/// the same. Safe to call from several threads.
class ControlCaller
{
public:
    template<typename Reply>
    using Answer = boost::asio::awaitable<std::optional<Reply>>;

    explicit ControlCaller(ChannelPool &channels)
        : m_channels(channels)
    {
    }

    Answer<carobflow::control::SubmitReply>
    submit(std::string address, carobflow::control::SubmitRequest request, Milliseconds timeout);
    Answer<carobflow::control::CancelReply>
    cancel(std::string address, carobflow::control::CancelRequest request, Milliseconds timeout);
    Answer<carobflow::control::QueryReply>
    query(std::string address, carobflow::control::QueryRequest request, Milliseconds timeout);
    Answer<carobflow::control::CountPendingReply>
    countPending(std::string address, carobflow::control::CountPendingRequest request, Milliseconds timeout);
    Answer<carobflow::control::ReportReply>
    report(std::string address, carobflow::control::ReportRequest request, Milliseconds timeout);
    Answer<carobflow::control::ExecuteReply>
    execute(std::string address, carobflow::control::ExecuteRequest request, Milliseconds timeout);
    Answer<carobflow::control::ExchangeReply>
    exchange(std::string address, carobflow::control::ExchangeRequest request, Milliseconds timeout);

    /// Waits for a connection. Returns false when there is none within the limit; a call made then would not be sent.
    boost::asio::awaitable<bool> waitConnected(const std::string &address, Milliseconds limit)
    {
        return m_channels.waitReady(address, limit);
    }

private:
    /// The overload of a stub's method that completes through a callback.
    template<typename Service, typename Request, typename Reply>
    using Method = void (AsyncInterface<typename Service::Stub>::*)(grpc::ClientContext *,
                                                                    const Request *,
                                                                    Reply *,
                                                                    std::function<void(grpc::Status)>);

    template<typename Service, typename Request, typename Reply>
    Answer<Reply>
    call(std::string address, Method<Service, Request, Reply> method, Request request, Milliseconds timeout);
    void recordStatus(const std::string &address, const grpc::Status &status);

    ChannelPool &m_channels;
    std::mutex m_mutex;
    /// Consecutive calls that timed out, by address.
    std::unordered_map<std::string, int> m_consecutiveTimeouts;
};

} // namespace Carobflow
