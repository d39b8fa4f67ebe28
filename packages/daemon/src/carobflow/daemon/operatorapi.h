#pragma once

#include "carobflow/daemon/httpserver.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class BurnRecorder;
class ClusterView;
class JobGateway;
class Routing;
class SheetRepository;

/// The HTTP calls for jobs, the sheet, data centres, upstreams and reports. Calls that change the sheet, a data centre
/// or an upstream need the operators' token.
class OperatorApi
{
public:
    struct Options {
        std::string token;
    };

    OperatorApi(Options options,
                SheetRepository &sheets,
                ClusterView &cluster,
                Routing &routing,
                JobGateway &jobs,
                BurnRecorder &burn);

    /// Serves a request whose path starts with /v1/ and is not for a service.
    boost::asio::awaitable<HttpServerResponse> serve(HttpServerRequest request);

private:
    struct Call;
    using Handler = boost::asio::awaitable<HttpServerResponse> (OperatorApi::*)(const Call &);

    struct Route {
        std::string_view method;
        /// Path segments after /v1; "*" takes any segment.
        std::vector<std::string_view> segments;
        bool operatorsOnly = false;
        Handler handler = nullptr;
    };

    static const std::vector<Route> &routes();

    boost::asio::awaitable<HttpServerResponse> getSheet(const Call &call);
    boost::asio::awaitable<HttpServerResponse> putSheet(const Call &call);
    boost::asio::awaitable<HttpServerResponse> getHistory(const Call &call);
    boost::asio::awaitable<HttpServerResponse> setDataCentre(const Call &call);
    boost::asio::awaitable<HttpServerResponse> getUpstreams(const Call &call);
    boost::asio::awaitable<HttpServerResponse> drainUpstream(const Call &call);
    boost::asio::awaitable<HttpServerResponse> submitJob(const Call &call);
    boost::asio::awaitable<HttpServerResponse> getJob(const Call &call);
    boost::asio::awaitable<HttpServerResponse> cancelJob(const Call &call);
    boost::asio::awaitable<HttpServerResponse> listJobs(const Call &call);
    boost::asio::awaitable<HttpServerResponse> reportBurn(const Call &call);
    boost::asio::awaitable<HttpServerResponse> reportJobs(const Call &call);
    boost::asio::awaitable<HttpServerResponse> reportPlacement(const Call &call);

    [[nodiscard]] bool isAuthorized(const HttpServerRequest &request) const;

    Options m_options;
    SheetRepository &m_sheets;
    ClusterView &m_cluster;
    Routing &m_routing;
    JobGateway &m_jobs;
    BurnRecorder &m_burn;
};

} // namespace Carobflow
