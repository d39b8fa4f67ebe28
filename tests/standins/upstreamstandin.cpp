#include "standins/upstreamstandin.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include <boost/json/value_from.hpp>

namespace Carobflow::StandIn
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds StallPollInterval{10};
/// Bodies up to this size are logged; tests identify requests by them.
constexpr std::size_t MaxLoggedBodyBytes = 64;
/// Share of the slowdown that a task causes on an upstream without load.
constexpr double SlowdownWithoutLoad = 0.3;

std::string headerOf(const ServerRequest &request, const char *name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string() : std::string(found->value());
}

} // namespace

UpstreamStandIn::UpstreamStandIn(Options options, const WorkerStandIn &worker)
    : m_options(std::move(options))
    , m_worker(worker)
    , m_random(m_options.seed)
    , m_distribution(std::log(static_cast<double>(m_options.serviceTime.count())), m_options.sigma)
{
}

double UpstreamStandIn::hiddenFactor(const std::string &jobClass) const
{
    std::mt19937_64 random(stableHash(m_options.service + "/" + jobClass) ^ m_options.pairSeed);
    // Squared, because most pairs interfere little and a few interfere strongly.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    return m_options.maxSlowdown * draw * draw;
}

double UpstreamStandIn::slowdown() const
{
    const double load = std::min(1.0, static_cast<double>(m_concurrent) / m_options.slots);
    double factor = 1;
    m_worker.forEachActive([&](const std::string &jobClass, double throttle) {
        factor += hiddenFactor(jobClass) * throttle / 100 * (SlowdownWithoutLoad + (1 - SlowdownWithoutLoad) * load);
    });
    return factor;
}

asio::awaitable<ServerReply> UpstreamStandIn::serve(const ServerRequest &request)
{
    const auto requestId = headerOf(request, "Carobflow-Request-Id");
    const auto idempotencyKey = headerOf(request, "Idempotency-Key");
    ++m_executed;
    if (!requestId.empty()) {
        ++m_requestIds[requestId];
    }
    if (!idempotencyKey.empty()) {
        ++m_idempotencyKeys[idempotencyKey];
    }
    if (request.body().size() <= MaxLoggedBodyBytes) {
        ++m_bodies[request.body()];
    }
    m_maxConcurrent = std::max(m_maxConcurrent, ++m_concurrent);
    const auto time = std::chrono::duration<double, std::milli>(m_distribution(m_random) * slowdown());
    co_await sleepFor(std::chrono::duration_cast<std::chrono::steady_clock::duration>(time));
    if (m_mode == "late") {
        co_await sleepFor(m_lateBy);
    }
    while (m_mode == "stall") {
        co_await sleepFor(StallPollInterval);
    }
    --m_concurrent;
    co_return ServerReply{.body = requestId + "\n" + request.body(),
                          .headers = {{"Carobflow-Request-Id", requestId}, {"Carobflow-Upstream", m_options.name}},
                          .delivery = m_mode == "truncate" ? Delivery::Truncated : Delivery::Whole};
}

void UpstreamStandIn::setMode(const std::string &mode, std::chrono::milliseconds lateBy)
{
    if (mode != "normal" && mode != "stall" && mode != "truncate" && mode != "late") {
        throw std::invalid_argument("upstream is not normal, stall, truncate or late");
    }
    m_mode = mode;
    m_lateBy = lateBy;
}

void UpstreamStandIn::addToLog(json::object &log) const
{
    log["executed"] = m_executed;
    log["requestIds"] = json::value_from(m_requestIds);
    log["idempotencyKeys"] = json::value_from(m_idempotencyKeys);
    log["bodies"] = json::value_from(m_bodies);
    log["concurrent"] = m_concurrent;
    log["maxConcurrent"] = m_maxConcurrent;
}

} // namespace Carobflow::StandIn
