#pragma once

#include "carobflow/core/chargeflow.h"
#include "carobflow/daemon/forwarder.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class Metrics;
class TableService;

/// Runs charges: drives the charge flow over the table and the forwarder. Work that a flow still has after its reply,
/// such as storing a result while the table is down or waiting for a late answer, goes on in the background.
class ChargeService
{
public:
    struct Options {
        /// Most flows at the same time, with and without a waiting caller. Flows pile up while the table is down, and
        /// each holds its request or its answer.
        std::uint32_t maxFlows = 1000;
    };

    ChargeService(boost::asio::any_io_executor executor,
                  Options options,
                  TableService &table,
                  Forwarder &forwarder,
                  Metrics &metrics);

    /// Runs the charge of an idempotency key, or returns what the first call with that key stored. `not-run` when there
    /// are too many flows.
    boost::asio::awaitable<ChargeReply> charge(std::string key, ServiceRequest request);

    /// Flows that have not ended, also after their reply; a graceful stop waits for them.
    [[nodiscard]] std::uint32_t flows() const;

private:
    struct Call;

    boost::asio::awaitable<ChargeReply> runUntilReply(std::shared_ptr<Call> call, TimePoint deadline);
    boost::asio::awaitable<void> run(std::shared_ptr<Call> call);
    boost::asio::awaitable<ChargeFlow::Step> carryOut(Call &call, ChargeFlow::Step step);

    boost::asio::any_io_executor m_executor;
    Options m_options;
    TableService &m_table;
    Forwarder &m_forwarder;
    Metrics &m_metrics;
    std::atomic<std::uint32_t> m_flows{0};
};

} // namespace Carobflow
