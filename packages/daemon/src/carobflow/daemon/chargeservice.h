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

/// Runs charges by executing the steps of a charge flow on the table and the forwarder. Work that remains after the
/// reply, such as storing a result while the table is down or waiting for a late answer, continues in the background.
class ChargeService
{
public:
    struct Options {
        /// Maximum number of concurrent flows, with or without a waiting caller. Flows accumulate while the table is
        /// down, and each keeps its request or its answer in memory.
        std::uint32_t maxFlows = 1000;
    };

    ChargeService(boost::asio::any_io_executor executor,
                  Options options,
                  TableService &table,
                  Forwarder &forwarder,
                  Metrics &metrics);

    /// Runs the charge for an idempotency key, or returns the result stored by the first call with that key. Returns
    /// `not-run` when the limit of concurrent flows is reached.
    boost::asio::awaitable<ChargeReply> charge(std::string key, ServiceRequest request);

    /// Returns the number of unfinished flows, including those that have already replied; a graceful stop waits for
    /// them.
    [[nodiscard]] std::uint32_t flows() const;

private:
    struct Call;

    boost::asio::awaitable<ChargeReply> runUntilReply(std::shared_ptr<Call> call, TimePoint deadline);
    boost::asio::awaitable<void> run(std::shared_ptr<Call> call);
    boost::asio::awaitable<ChargeFlow::Step> executeStep(Call &call, ChargeFlow::Step step);

    boost::asio::any_io_executor m_executor;
    Options m_options;
    TableService &m_table;
    Forwarder &m_forwarder;
    Metrics &m_metrics;
    std::atomic<std::uint32_t> m_flows{0};
};

} // namespace Carobflow
