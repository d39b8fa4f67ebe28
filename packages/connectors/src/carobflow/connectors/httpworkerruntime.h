#pragma once

#include "carobflow/connectors/httpclient.h"
#include "carobflow/connectors/workerruntime.h"

#include <cstdint>
#include <memory>
#include <optional>

#include <boost/json/object.hpp>

namespace Carobflow
{

/// The worker of one host over HTTP with JSON bodies (section 4 of the design page). All calls are made on one strand.
class HttpWorkerRuntime : public WorkerRuntime
{
public:
    struct Options {
        HttpEndpoint endpoint;
        /// Timeout of each call. A renewal that takes longer than a lease is of no use, so the timeout is well below
        /// the lease.
        Milliseconds timeout{1000};
    };

    HttpWorkerRuntime(std::shared_ptr<HttpClient> client, Options options);

    boost::asio::awaitable<Status> start(const TaskStart &start) override;
    boost::asio::awaitable<Status> renew(std::string_view job, Fence fence, Milliseconds lease) override;
    boost::asio::awaitable<Status> checkpoint(std::string_view job, Fence fence) override;
    boost::asio::awaitable<Status> throttle(std::string_view job, Fence fence, std::uint32_t percent) override;
    boost::asio::awaitable<Status> stop(std::string_view job, Fence fence) override;
    boost::asio::awaitable<Status> remove(std::string_view job, Fence fence) override;
    boost::asio::awaitable<Result<std::vector<TaskInfo>>> list() override;

private:
    /// A reading of the worker's clock.
    struct ClockReading {
        std::int64_t milliseconds = 0;
        /// When the reading arrived here, which is not earlier than it was taken.
        TimePoint arrivedAt;
    };

    /// Adds the time of the worker's clock after which the worker refuses a call that is sent now.
    void addNotAfter(boost::json::object &body) const;

    boost::asio::awaitable<Status>
    command(std::string_view job, Fence fence, std::string_view verb, std::string_view body);

    std::shared_ptr<HttpClient> m_client;
    Options m_options;
    std::optional<ClockReading> m_workerClock;
};

} // namespace Carobflow
