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

/// Keeps what operators have written: follows their rows in the store, and asks other processes for them while the
/// store does not serve this one. The version never goes back.
class OperatorSync
{
public:
    /// Decodes rows; null when they hold no configuration yet.
    using Decoder = std::function<std::shared_ptr<const Scheduling::OperatorView>(const std::map<std::string, Row> &)>;

    struct Options {
        Decoder decode;
        /// How long the store may hold back an answer when nothing changes. A silent connection is noticed after this
        /// time and half a second, and a change has to be in force everywhere within 2 s.
        Milliseconds wait{1000};
    };

    OperatorSync(Options options, WatchableTable &table, LeaderDirectory &directory, ControlCaller &caller);

    /// Null until a configuration is known. A reader keeps its copy alive; writers replace the pointer.
    [[nodiscard]] std::shared_ptr<const Scheduling::OperatorView> current() const
    {
        return m_current.load();
    }

    /// Follows the store. Runs until the process ends.
    boost::asio::awaitable<void> followStore();

    /// Asks peers while the store is silent. Runs until the process ends.
    boost::asio::awaitable<void> followPeers();

    /// Answers a peer.
    carobflow::control::ExchangeReply answer(const carobflow::control::ExchangeRequest &request) const;

    /// True when the store has answered within the last second or two.
    [[nodiscard]] bool isStoreFresh() const;

private:
    void replace(std::map<std::string, Row> rows, std::uint64_t version, std::string_view source);
    boost::asio::awaitable<bool> followOnce();
    boost::asio::awaitable<void> ask(std::string address);

    Options m_options;
    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    ControlCaller &m_caller;
    mutable std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::uint64_t m_version = 0;
    std::atomic<std::shared_ptr<const Scheduling::OperatorView>> m_current;
    std::atomic<TimePoint::rep> m_storeAnsweredAt{0};
};

} // namespace Carobflow
