#include "carobflow/daemon/internal/grpclistener.h"

#include "carobflow/daemon/rpc.h"

#include <grpcpp/server_builder.h>

namespace Carobflow
{

using boost::asio::ip::tcp;

GrpcListener::GrpcListener(Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_reservation(m_context)
{
}

GrpcListener::~GrpcListener()
{
    shutdown();
}

Result<std::uint16_t> GrpcListener::reserve()
{
    if (m_endpoint.port != 0) {
        return m_endpoint.port;
    }
    // A bound socket that does not listen keeps the port reserved. The server can still bind it because both sockets
    // set SO_REUSEADDR.
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(m_endpoint.address), 0);
    m_reservation.open(endpoint.protocol(), error);
    if (!error) {
        m_reservation.set_option(tcp::socket::reuse_address(true), error);
    }
    if (!error) {
        m_reservation.bind(endpoint, error);
    }
    if (error) {
        return Error{ErrorKind::Unavailable,
                     "cannot bind " + m_endpoint.toString() + ": " + error.message() + "; change [listen] grpc"};
    }
    m_endpoint.port = m_reservation.local_endpoint().port();
    return m_endpoint.port;
}

Status GrpcListener::start(const std::vector<grpc::Service *> &services)
{
    grpc::ServerBuilder builder;
    configureServer(builder);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    int boundPort = 0;
    builder.AddListeningPort(m_endpoint.toString(), grpc::InsecureServerCredentials(), &boundPort);
    for (grpc::Service *service : services) {
        builder.RegisterService(service);
    }
    m_server = builder.BuildAndStart();
    if (!m_server || boundPort == 0) {
        return Error{ErrorKind::Unavailable,
                     "cannot listen on " + m_endpoint.toString() + "; free the port or change [listen] grpc"};
    }
    boost::system::error_code ignored;
    m_reservation.close(ignored);
    return std::monostate{};
}

void GrpcListener::shutdown()
{
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
        m_server.reset();
    }
}

} // namespace Carobflow
