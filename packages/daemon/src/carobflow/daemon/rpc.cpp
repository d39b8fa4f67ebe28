#include "carobflow/daemon/rpc.h"

#include <array>

#include <boost/asio/steady_timer.hpp>

namespace Carobflow
{
namespace
{

constexpr int KeepaliveTimeMs = 2000;
constexpr int KeepaliveTimeoutMs = 2000;
// Reconnecting is cheap inside a data centre, and an upstream without a connection gets no requests.
constexpr int MaxReconnectBackoffMs = 1000;
/// Features of gRPC that cost processor time with each call and are not used here. Messages are small and not
/// compressed, so the windows need not be fitted to the bandwidth by extra pings, and nothing reads the records of
/// channelz.
constexpr std::array UnusedFeatures{GRPC_ARG_HTTP2_BDP_PROBE,
                                    GRPC_ARG_ENABLE_CHANNELZ,
                                    GRPC_ARG_ENABLE_PER_MESSAGE_COMPRESSION,
                                    GRPC_ARG_ENABLE_PER_MESSAGE_DECOMPRESSION};

} // namespace

std::shared_ptr<grpc::Channel> ChannelPool::channel(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &channel = m_channels[address];
    if (!channel) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveTimeMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        // A channel that replaces an unresponsive one must not share its connection.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        for (const char *feature : UnusedFeatures) {
            arguments.SetInt(feature, 0);
        }
        channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
        channel->GetState(true);
    }
    return channel;
}

boost::asio::awaitable<bool> ChannelPool::waitReady(const std::string &address, Milliseconds limit)
{
    constexpr Milliseconds step{10};
    const auto connection = channel(address);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    for (Milliseconds waited{0};; waited += step) {
        if (connection->GetState(true) == GRPC_CHANNEL_READY) {
            co_return true;
        }
        if (waited >= limit) {
            co_return false;
        }
        timer.expires_after(step);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void ChannelPool::forget(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_channels.erase(address);
}

void configureServer(grpc::ServerBuilder &builder)
{
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveTimeMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, KeepaliveTimeMs / 4);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    for (const char *feature : UnusedFeatures) {
        builder.AddChannelArgument(feature, 0);
    }
}

} // namespace Carobflow
