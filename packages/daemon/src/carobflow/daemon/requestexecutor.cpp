#include "carobflow/daemon/requestexecutor.h"

#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/metrics.h"
#include "carobflow/daemon/protocolconversion.h"
#include "carobflow/logging/log.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

namespace Carobflow
{
namespace
{

/// Used while requests wait for a slot, so that each is rejected soon after its deadline can no longer be met.
constexpr Milliseconds QueueCheckInterval{5};
/// Used while no request waits. An idle agent that woke every 5 ms used 25% more processor time.
constexpr Milliseconds IdleCheckInterval{100};

} // namespace

struct RequestExecutor::Request {
    Request(const boost::asio::any_io_executor &strand, std::uint64_t number, HttpRequest message)
        : id(number)
        , http(std::move(message))
        , changed(strand)
    {
    }

    enum class State { Waiting, Running, Refused, Done };

    std::uint64_t id = 0;
    HttpRequest http;
    TimePoint deadline;
    State state = State::Waiting;
    /// True when `unknown` was reported to the entry before the upstream answered.
    bool abandoned = false;
    AttemptOutcome outcome;
    Notifier changed;
};

struct RequestExecutor::Service {
    Service(Admission::Options options, std::string serviceName, TimePoint now)
        : name(serviceName)
        , admission(options)
        , window(std::move(serviceName), now)
    {
    }

    std::string name;
    HttpEndpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool leaving = false;
    TimePoint announcedAt;
    Admission admission;
    WindowRecorder window;
    std::unordered_map<std::uint64_t, std::shared_ptr<Request>> requests;
};

RequestExecutor::RequestExecutor(const boost::asio::any_io_executor &executor,
                                 Options options,
                                 std::shared_ptr<HttpClient> client,
                                 Metrics &metrics)
    : m_strand(boost::asio::make_strand(executor))
    , m_options(options)
    , m_client(std::move(client))
    , m_metrics(metrics)
    , m_queueChanged(std::make_unique<Notifier>(m_strand))
{
}

RequestExecutor::~RequestExecutor() = default;

const boost::asio::any_io_executor &RequestExecutor::strand() const
{
    return m_strand;
}

void RequestExecutor::announce(const LocalAnnouncement &announcement)
{
    const TimePoint now = std::chrono::steady_clock::now();
    // Each slot needs a connection, so the number of connections limits the number of slots.
    const std::uint32_t slots = std::min(announcement.slots, announcement.connections);
    auto &service = m_services[announcement.service];
    if (!service) {
        service = std::make_shared<Service>(Admission::Options{.slots = slots,
                                                               .queueLimit = m_options.queueLimit,
                                                               .abandonedHold = m_options.abandonedHold,
                                                               .adaptivePolicy = m_options.adaptivePolicy},
                                            announcement.service,
                                            now);
        logInfo("upstream-announced").with("service", announcement.service).with("slots", slots);
    }
    service->address = announcement.address;
    service->slots = slots;
    service->connections = announcement.connections;
    service->leaving = false;
    service->announcedAt = now;
    service->admission.setSlots(slots);
}

void RequestExecutor::leave(std::string_view name)
{
    const auto found = m_services.find(std::string(name));
    if (found == m_services.end() || found->second->leaving) {
        return;
    }
    logInfo("upstream-leaving").with("service", name);
    found->second->leaving = true;
}

void RequestExecutor::setSheet(SheetVersion version, bool dataCentreInService)
{
    m_sheetVersion = version;
    m_dataCentreInService = dataCentreInService;
}

void RequestExecutor::setDrained(bool drained)
{
    m_drained = drained;
}

void RequestExecutor::close()
{
    m_closed = true;
    for (auto &[name, service] : m_services) {
        applyChanges(*service, service->admission.close());
    }
}

boost::asio::awaitable<void> RequestExecutor::execute(const carobflow::ForwardRequest &request,
                                                      carobflow::ForwardReply &reply)
{
    const TimePoint arrivedAt = std::chrono::steady_clock::now();
    reply.set_request_id(request.request_id());
    reply.set_attempt(request.attempt());
    const auto found = m_services.find(request.service());
    if (const std::string_view reason = refusalReason(found); !reason.empty()) {
        setOutcome(reply, NotRunOutcome{.reason = std::string(reason), .retryAfter = Milliseconds(0)});
        co_return;
    }
    if (!m_dataCentreInService && request.sheet_version() < m_sheetVersion) {
        setOutcome(reply,
                   NotRunOutcome{.reason = "the data centre is out of service since sheet version "
                                     + std::to_string(m_sheetVersion),
                                 .retryAfter = Milliseconds(0)});
        co_return;
    }
    const std::shared_ptr<Service> service = found->second;
    auto state = std::make_shared<Request>(m_strand, m_nextId++, toHttpRequest(request));
    state->deadline = arrivedAt + Milliseconds(request.timeout_ms());
    ++m_inProgress;
    const auto decision = service->admission.request(arrivedAt, state->id, state->deadline);
    if (decision.verdict == Admission::Verdict::Refused) {
        setOutcome(reply, NotRunOutcome{.reason = decision.reason, .retryAfter = decision.retryAfter});
        reply.set_outstanding(service->admission.taken() + service->admission.queued());
        --m_inProgress;
        co_return;
    }
    service->requests.emplace(state->id, state);
    if (decision.verdict == Admission::Verdict::Queued) {
        m_queueChanged->notify();
        co_await waitForSlot(*service, state);
    } else {
        state->state = Request::State::Running;
    }
    if (state->state == Request::State::Running) {
        service->window.setInUse(std::chrono::steady_clock::now(), service->admission.taken(), service->slots);
        boost::asio::co_spawn(m_strand, call(service, state), boost::asio::detached);
        // The call may already have completed, and a notification sent before the wait would be lost.
        if (state->state != Request::State::Done) {
            co_await state->changed.waitUntil(state->deadline);
        }
        if (state->state != Request::State::Done) {
            service->admission.abandon(std::chrono::steady_clock::now(), state->id);
            if (request.late_answer_ms() > 0) {
                co_await state->changed.waitUntil(state->deadline + Milliseconds(request.late_answer_ms()));
            }
        }
        if (state->state != Request::State::Done) {
            state->abandoned = true;
            state->outcome = UnknownOutcome{.reason = "the upstream did not answer before the deadline"};
        }
    }
    service->requests.erase(state->id);
    setOutcome(reply, std::move(state->outcome));
    reply.set_outstanding(service->admission.taken() + service->admission.queued());
    --m_inProgress;
}

std::string_view RequestExecutor::refusalReason(Services::const_iterator service) const
{
    if (m_closed) {
        return "the agent is stopping";
    }
    if (m_drained) {
        return "an operator drains this host";
    }
    if (service == m_services.end() || service->second->leaving) {
        return "the upstream is not announced here or is leaving";
    }
    return {};
}

boost::asio::awaitable<void> RequestExecutor::waitForSlot(Service &service, const std::shared_ptr<Request> &request)
{
    while (request->state == Request::State::Waiting && std::chrono::steady_clock::now() < request->deadline) {
        co_await request->changed.waitUntil(request->deadline);
    }
    if (request->state == Request::State::Running) {
        co_return;
    }
    service.admission.cancelQueued(request->id);
    request->state = Request::State::Refused;
    request->outcome = NotRunOutcome{
        .reason = "no slot became free before the deadline",
        .retryAfter = std::chrono::duration_cast<Milliseconds>(service.admission.expectedServiceTime())};
}

boost::asio::awaitable<void> RequestExecutor::call(std::shared_ptr<Service> service, std::shared_ptr<Request> request)
{
    const TimePoint startedAt = std::chrono::steady_clock::now();
    // Wait for the answer beyond the deadline, so that the slot is released as soon as the upstream finishes.
    request->http.timeout = std::chrono::duration_cast<Milliseconds>(request->deadline - startedAt)
        + m_options.abandonedHold;
    HttpOutcome outcome = co_await m_client->call(service->address, std::move(request->http));
    const TimePoint endedAt = std::chrono::steady_clock::now();
    if (auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        UpstreamAnswer upstreamAnswer{.status = answer->status, .headers = {}, .body = std::move(answer->body)};
        for (HttpHeader &header : answer->headers) {
            upstreamAnswer.headers.emplace_back(std::move(header.name), std::move(header.value));
        }
        request->outcome = std::move(upstreamAnswer);
        service->window.onCompleted(endedAt - startedAt);
    } else if (const auto *notSent = std::get_if<HttpNotSent>(&outcome)) {
        request->outcome = NotRunOutcome{.reason = "the upstream cannot be reached: " + notSent->reason,
                                         .retryAfter = Milliseconds(500)};
    } else {
        request->outcome = UnknownOutcome{.reason = "the upstream gave no whole answer: "
                                              + std::get<HttpUnanswered>(outcome).reason};
    }
    request->state = Request::State::Done;
    if (request->abandoned) {
        m_metrics.countLateAnswer(service->name);
    }
    applyChanges(*service, service->admission.finish(endedAt, request->id, endedAt - startedAt));
    service->window.setInUse(endedAt, service->admission.taken(), service->slots);
    request->changed.notify();
}

void RequestExecutor::applyChanges(Service &service, const Admission::Changes &changes)
{
    const auto settle = [&](std::uint64_t id, Request::State state) {
        const auto found = service.requests.find(id);
        if (found == service.requests.end()) {
            return false;
        }
        found->second->state = state;
        found->second->changed.notify();
        return true;
    };
    for (const std::uint64_t id : changes.refused) {
        settle(id, Request::State::Refused);
    }
    for (const std::uint64_t id : changes.run) {
        if (!settle(id, Request::State::Running)) {
            applyChanges(service, service.admission.finish(std::chrono::steady_clock::now(), id, Duration::zero()));
        }
    }
}

boost::asio::awaitable<void> RequestExecutor::run()
{
    for (;;) {
        const bool queued = expire();
        co_await m_queueChanged->waitUntil(std::chrono::steady_clock::now()
                                           + (queued ? QueueCheckInterval : IdleCheckInterval));
    }
}

bool RequestExecutor::expire()
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::uint32_t taken = 0;
    std::uint32_t queued = 0;
    for (auto entry = m_services.begin(); entry != m_services.end();) {
        Service &service = *entry->second;
        applyChanges(service, service.admission.expire(now));
        taken += service.admission.taken();
        queued += service.admission.queued();
        const bool lost = now - service.announcedAt > m_options.announcementTimeout;
        if (lost && !service.leaving) {
            logWarning("upstream-silent").with("service", service.name);
            service.leaving = true;
        }
        if (lost && service.admission.taken() == 0 && service.requests.empty()) {
            entry = m_services.erase(entry);
        } else {
            ++entry;
        }
    }
    m_metrics.setSlotsTaken(taken, queued);
    return queued > 0;
}

std::vector<carobflow::UpstreamInfo> RequestExecutor::upstreams() const
{
    std::vector<carobflow::UpstreamInfo> list;
    for (const auto &[name, service] : m_services) {
        carobflow::UpstreamInfo &info = list.emplace_back();
        info.set_service(name);
        info.set_slots(service->slots);
        info.set_connections(service->connections);
        info.set_leaving(service->leaving || m_closed || m_drained);
    }
    return list;
}

std::vector<ServiceWindow> RequestExecutor::takeWindows(const std::vector<std::string> &jobClasses)
{
    std::vector<ServiceWindow> windows;
    for (const auto &[name, service] : m_services) {
        if (auto window = service->window.take(std::chrono::steady_clock::now(), jobClasses)) {
            windows.push_back(std::move(*window));
        }
    }
    return windows;
}

std::uint32_t RequestExecutor::inProgress() const
{
    return m_inProgress;
}

HttpRequest RequestExecutor::toHttpRequest(const carobflow::ForwardRequest &request) const
{
    HttpRequest http{.method = request.method(),
                     .target = request.target(),
                     .headers = {{"Carobflow-Request-Id", request.request_id()},
                                 {"Carobflow-Attempt", std::to_string(request.attempt())}},
                     .body = request.body()};
    for (const auto &header : request.headers()) {
        http.headers.push_back({.name = header.name(), .value = header.value()});
    }
    return http;
}

} // namespace Carobflow
