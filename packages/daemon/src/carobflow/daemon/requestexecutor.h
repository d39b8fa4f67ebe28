#pragma once

#include "carobflow/connectors/httpclient.h"
#include "carobflow/core/admission.h"
#include "carobflow/core/hostmessages.h"
#include "carobflow/daemon/internal/windowrecorder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <carobflow.pb.h>

namespace Carobflow
{

class Metrics;
class Notifier;

/// The announcement that an upstream sends to the agent on its host.
struct LocalAnnouncement {
    std::string service;
    HttpEndpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// Runs requests on the upstreams of this host and is the only owner of their slot counts. After a request has reached
/// an agent, only a rejection by this class may be reported as `not-run`. All functions except inProgress() run on its
/// strand.
class RequestExecutor
{
public:
    struct Options {
        std::uint32_t queueLimit = 16;
        bool adaptivePolicy = true;
        /// An upstream that has not announced itself for this long is considered lost.
        Milliseconds announcementTimeout{2500};
        /// How long to wait for the answer to an abandoned request; its slot stays occupied meanwhile.
        Milliseconds abandonedHold{10000};
    };

    RequestExecutor(const boost::asio::any_io_executor &executor,
                    Options options,
                    std::shared_ptr<HttpClient> client,
                    Metrics &metrics);
    ~RequestExecutor();

    [[nodiscard]] const boost::asio::any_io_executor &strand() const;

    void announce(const LocalAnnouncement &announcement);

    /// Marks an upstream as leaving: it gets no new requests, and requests in progress continue.
    void leave(std::string_view service);

    /// Sets the sheet version in effect on this host. While it has this data centre out of service, requests sent under
    /// an older version are rejected, because their entry does not know of the change yet.
    void setSheet(SheetVersion version, bool dataCentreInService);

    /// While an operator drains this host, its upstreams count as leaving regardless of their announcements.
    void setDrained(bool drained);

    /// Rejects all queued and new requests from now on.
    void close();

    /// Runs one attempt. Completes at the latest by the request's deadline plus its wait for a late answer.
    boost::asio::awaitable<void> execute(const carobflow::ForwardRequest &request, carobflow::ForwardReply &reply);

    /// Until the process ends, removes lost upstreams, frees slots that were held for too long and rejects queued
    /// requests whose deadline can no longer be met.
    boost::asio::awaitable<void> run();

    [[nodiscard]] std::vector<carobflow::UpstreamInfo> upstreams() const;

    /// Ends and returns the measurement windows that have enough requests or have reached their maximum length.
    /// `jobClasses` are the classes of the tasks that ran during the whole time since the previous call.
    std::vector<ServiceWindow> takeWindows(const std::vector<std::string> &jobClasses);

    /// Returns the number of running and queued requests.
    [[nodiscard]] std::uint32_t inProgress() const;

private:
    struct Request;
    struct Service;
    using Services = std::unordered_map<std::string, std::shared_ptr<Service>>;

    /// One iteration of run(). Returns true when requests wait for a slot.
    bool expire();

    /// Returns why a new request is rejected before admission control, or an empty string when it is not.
    [[nodiscard]] std::string_view refusalReason(Services::const_iterator service) const;

    boost::asio::awaitable<void> waitForSlot(Service &service, const std::shared_ptr<Request> &request);
    boost::asio::awaitable<void> call(std::shared_ptr<Service> service, std::shared_ptr<Request> request);
    void applyChanges(Service &service, const Admission::Changes &changes);
    HttpRequest toHttpRequest(const carobflow::ForwardRequest &request) const;

    boost::asio::any_io_executor m_strand;
    Options m_options;
    std::shared_ptr<HttpClient> m_client;
    Metrics &m_metrics;
    bool m_closed = false;
    bool m_drained = false;
    SheetVersion m_sheetVersion = 0;
    bool m_dataCentreInService = true;
    std::uint64_t m_nextId = 1;
    Services m_services;
    /// Notified when a request is queued for a slot.
    std::unique_ptr<Notifier> m_queueChanged;
    std::atomic<std::uint32_t> m_inProgress{0};
};

} // namespace Carobflow
