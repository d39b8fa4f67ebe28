#pragma once

#include "standins/upstreamstandin.h"
#include "standins/workerstandin.h"

#include "carobflow/connectors/httpclient.h"

#include <memory>
#include <string>

namespace Carobflow::StandIn
{

/// One host: a worker runtime and an upstream that announces itself to its agent.
class HostStandIn
{
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::uint16_t upstreamPort = 0;
        std::uint16_t controlPort = 0;
        /// Address and port of the agent; empty until a control call sets it. Several, with commas between them, share
        /// the host: the upstream announces itself to each.
        std::string agent = {};
        /// Connections that the upstream announces.
        std::uint32_t connections = 64;
        WorkerStandIn::Options worker = {};
        UpstreamStandIn::Options upstream = {};
    };

    HostStandIn(boost::asio::io_context &io, Options options);

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    [[nodiscard]] std::uint16_t upstreamPort() const
    {
        return m_upstreamPort;
    }

    [[nodiscard]] std::uint16_t controlPort() const
    {
        return m_controlPort;
    }

private:
    boost::asio::awaitable<void> announce();
    boost::asio::awaitable<ServerReply> control(const ServerRequest &request);
    boost::asio::awaitable<void> sendAnnouncements(std::string method);
    boost::asio::awaitable<void> sendAnnouncement(std::string agentAddress, std::string method);
    [[nodiscard]] boost::json::object log() const;

    Options m_options;
    WorkerStandIn m_worker;
    UpstreamStandIn m_upstream;
    std::shared_ptr<HttpClient> m_client;
    HttpServer m_workerServer;
    HttpServer m_upstreamServer;
    HttpServer m_controlServer;
    std::uint16_t m_port;
    std::uint16_t m_upstreamPort;
    std::uint16_t m_controlPort;
    bool m_announces = true;
    std::uint64_t m_announced = 0;
};

} // namespace Carobflow::StandIn
