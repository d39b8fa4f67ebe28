#pragma once

#include "carobflow/core/types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpcpp/grpcpp.h>

namespace Carobflow
{

/// Opens and caches one gRPC channel for each address. Channels detect an unresponsive connection by keepalive pings
/// within four seconds and never retry a call by themselves. Thread-safe.
class ChannelPool
{
public:
    std::shared_ptr<grpc::Channel> channel(const std::string &address);

    /// Waits up to `limit` for the channel to connect. Returns false when it did not; nothing has been sent then.
    boost::asio::awaitable<bool> waitReady(const std::string &address, Milliseconds limit);

    /// Removes the channel of an address that is no longer in use.
    void forget(const std::string &address);

private:
    std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<grpc::Channel>> m_channels;
};

/// Configures a server to accept the keepalive pings of the channels.
void configureServer(grpc::ServerBuilder &builder);

/// The callback interface of a stub. Deduced from the return type of async(), because that function hides the nested
/// class of the same name.
template<typename Stub>
using AsyncInterface = std::remove_pointer_t<decltype(std::declval<Stub &>().async())>;

/// Calls a unary method through the callback interface of a stub and completes on the caller's executor.
template<typename Stub, typename Request, typename Reply>
boost::asio::awaitable<std::pair<grpc::Status, Reply>>
callUnary(std::shared_ptr<Stub> stub,
          void (AsyncInterface<Stub>::*method)(
              grpc::ClientContext *, const Request *, Reply *, std::function<void(grpc::Status)>),
          Request request,
          Milliseconds timeout)
{
    struct Call {
        std::shared_ptr<Stub> stub;
        grpc::ClientContext context;
        Request request;
        Reply reply;
    };
    auto call = std::make_shared<Call>();
    call->stub = std::move(stub);
    call->request = std::move(request);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    auto start = [call, method](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto done = [call, shared](grpc::Status status) {
            boost::asio::post(boost::asio::get_associated_executor(*shared),
                              [shared, status = std::move(status)]() mutable { (*shared)(std::move(status)); });
        };
        (call->stub->async()->*method)(&call->context, &call->request, &call->reply, std::move(done));
    };
    grpc::Status status
        = co_await boost::asio::async_initiate<decltype(boost::asio::use_awaitable), void(grpc::Status)>(
            std::move(start), boost::asio::use_awaitable);
    co_return std::pair{std::move(status), std::move(call->reply)};
}

/// Runs a coroutine that fills the reply and then finishes the call. The request and the reply stay valid until then.
template<typename Executor, typename Handler>
grpc::ServerUnaryReactor *serveUnary(grpc::CallbackServerContext *context, const Executor &executor, Handler handler)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    boost::asio::co_spawn(
        executor,
        [reactor, handler = std::move(handler)]() mutable -> boost::asio::awaitable<void> {
            grpc::Status status;
            try {
                status = co_await handler();
            } catch (const std::exception &exception) {
                status = grpc::Status(grpc::StatusCode::INTERNAL, exception.what());
            }
            reactor->Finish(status);
        },
        boost::asio::detached);
    return reactor;
}

} // namespace Carobflow
