#pragma once

#include "carobflow/connectors/watchabletable.h"
#include "carobflow/control/controlcaller.h"
#include "carobflow/control/leaderdirectory.h"
#include "carobflow/scheduler/operatorview.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <control.pb.h>

namespace Carobflow
{

/// Caches the operator configuration. Watches the operators' rows in the store, and fetches them from other processes
/// while this one cannot reach the store. The version never decreases.
class OperatorSync
{
public:
    /// Decodes rows; null when they hold no configuration yet.
    using Decoder = std::function<std::shared_ptr<const Scheduling::OperatorView>(const std::map<std::string, Row> &)>;

    struct Options {
        Decoder decode;
        /// Long-poll time of a call for changes. A dead connection is detected 0.5 s after this time, and a change has
        /// to be in force in all processes within 2 s.
        Milliseconds wait{1000};
    };

    OperatorSync(Options options, WatchableTable &table, LeaderDirectory &directory, ControlCaller &caller);

    /// Null until a configuration is known. Readers hold an immutable snapshot; a change replaces the pointer.
    [[nodiscard]] std::shared_ptr<const Scheduling::OperatorView> current() const
    {
        return m_current.load();
    }

    /// Watches the operators' rows in the store. Runs until the process ends.
    boost::asio::awaitable<void> watchStore();

    /// Fetches the rows from peers while the store does not answer. Runs until the process ends.
    boost::asio::awaitable<void> pollPeers();

    /// Handles a peer's request.
    carobflow::control::ExchangeReply answer(const carobflow::control::ExchangeRequest &request) const;

    /// True when the store has answered within the last 1.8 s.
    [[nodiscard]] bool isStoreFresh() const;

    /// True while the configuration is known to be at most 1.8 s old, from the store or from other processes. An older
    /// one must not be taken as proof that something does not exist.
    [[nodiscard]] bool isConfirmed() const;

    /// Upper bound of the time since the store held no newer rows than these; the age of decisions by current().
    [[nodiscard]] Milliseconds age() const;

private:
    void replace(std::map<std::string, Row> rows, std::uint64_t version, std::string_view source);
    /// Notes that a call which was sent at this time found no newer rows than those that are known now.
    void confirm(TimePoint sentAt);
    /// Reads the rows or waits for changes of them. Errors: those of the store.
    boost::asio::awaitable<Status> watchOnce();
    boost::asio::awaitable<void> exchangeWith(std::string address);
    /// Notes the age of a peer's rows as that of the own ones when they are the same.
    void confirmFrom(const carobflow::control::ExchangeReply &reply, TimePoint sentAt);

    Options m_options;
    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    ControlCaller &m_caller;
    mutable std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    /// Version of the table up to which the rows contain all changes.
    std::uint64_t m_version = 0;
    std::atomic<std::shared_ptr<const Scheduling::OperatorView>> m_current;
    /// The last call to the store was answered.
    std::atomic<bool> m_storeAnswers{false};
    std::atomic<TimePoint::rep> m_storeAnsweredAt{0};
    std::atomic<TimePoint::rep> m_confirmedAt{0};
};

} // namespace Carobflow
