#pragma once

#include "carobflow/core/chargeflow.h"
#include "carobflow/daemon/forwarder.h"

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class Metrics;
class TableService;

/// Runs charges: drives the charge flow over the table and the forwarder. Work that a flow still has after its reply,
/// such as storing a result while the table is down, goes on in the background.
class ChargeService
{
public:
    ChargeService(boost::asio::any_io_executor executor, TableService &table, Forwarder &forwarder, Metrics &metrics);

    /// Runs the charge of an idempotency key, or returns what the first call with that key stored.
    boost::asio::awaitable<ChargeReply> charge(std::string key, ServiceRequest request);

    /// Flows that still have work after their reply; a graceful stop waits for them.
    [[nodiscard]] std::uint32_t inBackground() const;

private:
    struct Call;

    boost::asio::awaitable<ChargeReply> runUntilReply(std::shared_ptr<Call> call, TimePoint deadline);
    boost::asio::awaitable<void> run(std::shared_ptr<Call> call);
    boost::asio::awaitable<ChargeFlow::Step> carryOut(Call &call, ChargeFlow::Step step);

    boost::asio::any_io_executor m_executor;
    TableService &m_table;
    Forwarder &m_forwarder;
    Metrics &m_metrics;
    std::atomic<std::uint32_t> m_inBackground{0};
};

} // namespace Carobflow
