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

/// What an upstream says about itself to the agent beside it.
struct LocalAnnouncement {
    std::string service;
    HttpEndpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// Runs requests on the upstreams of this host. It alone counts their slots; a refusal here is the only one that is
/// called `not-run` after a request has reached an agent. All functions but inProgress() run on its strand.
class RequestExecutor
{
public:
    struct Options {
        std::uint32_t queueLimit = 16;
        bool adaptivePolicy = true;
        /// An upstream that has not announced itself for this long is gone.
        Milliseconds announcementTimeout{2500};
        /// How long an answer is awaited after its request was given up, during which the slot stays taken.
        Milliseconds abandonedHold{10000};
    };

    RequestExecutor(const boost::asio::any_io_executor &executor,
                    Options options,
                    std::shared_ptr<HttpClient> client,
                    Metrics &metrics);
    ~RequestExecutor();

    [[nodiscard]] const boost::asio::any_io_executor &strand() const;

    void announce(const LocalAnnouncement &announcement);

    /// The upstream leaves: nothing new is sent to it, what it works on goes on.
    void leave(std::string_view service);

    /// The sheet that is in force here. While it has this data centre out, a request that an entry sent under an older
    /// version is refused, because that entry does not know of the change yet.
    void setSheet(SheetVersion version, bool dataCentreIn);

    /// While an operator drains this host, its upstreams are leaving, whatever they announce.
    void setDrained(bool drained);

    /// Refuses everything from now on.
    void close();

    /// Runs one attempt; ends at the latest by the deadline of the request and its wait for a late answer.
    boost::asio::awaitable<void> execute(const carobflow::ForwardRequest &request, carobflow::ForwardReply &reply);

    /// Forgets upstreams that are gone, frees slots that were held for too long and refuses queued requests whose
    /// deadline can no longer be met, until the process ends.
    boost::asio::awaitable<void> run();

    [[nodiscard]] std::vector<carobflow::UpstreamInfo> upstreams() const;

    /// Ends the measurement windows that hold enough requests or are long, and returns them. `jobClasses` are those of
    /// the tasks that ran throughout the time since the previous call.
    std::vector<ServiceWindow> takeWindows(const std::vector<std::string> &jobClasses);

    /// Requests that run or wait.
    [[nodiscard]] std::uint32_t inProgress() const;

private:
    struct Request;
    struct Service;
    using Services = std::unordered_map<std::string, std::shared_ptr<Service>>;

    /// One round of run(); true when requests wait for a slot.
    bool expire();

    /// Why a new request is refused before it reaches admission; empty when it is not.
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
    bool m_dataCentreIn = true;
    std::uint64_t m_nextId = 1;
    Services m_services;
    /// Notified when a request begins to wait for a slot.
    std::unique_ptr<Notifier> m_queueChanged;
    std::atomic<std::uint32_t> m_inProgress{0};
};

} // namespace Carobflow
