#pragma once

#include "carobflow/core/result.h"
#include "carobflow/daemon/settings.h"

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <grpcpp/server.h>

namespace Carobflow
{

/// A gRPC server whose port is known before its services exist.
class GrpcListener
{
public:
    explicit GrpcListener(Endpoint endpoint);
    ~GrpcListener();
    GrpcListener(const GrpcListener &) = delete;
    GrpcListener &operator=(const GrpcListener &) = delete;

    /// Binds the port without listening and returns its number, which the operating system chooses if the endpoint has
    /// port 0. Errors: Unavailable.
    Result<std::uint16_t> reserve();

    /// Starts serving on the reserved port. Errors: Unavailable.
    Status start(const std::vector<grpc::Service *> &services);

    /// Stops the server; calls still running after one second are cancelled.
    void shutdown();

private:
    Endpoint m_endpoint;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_reservation;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace Carobflow
