#pragma once

#include "carobflow/control/leaderdirectory.h"
#include "carobflow/control/leaderterm.h"
#include "carobflow/scheduler/candidacy.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

/// Follows the leader's row in the store. An agent's election also takes leadership over when nobody renews the row.
class Election
{
public:
    struct Options {
        /// Entries follow only.
        bool isCandidate = false;
        Ledger::Options ledger;
        LeaderTerm::Options term;
    };

    Election(const boost::asio::any_io_executor &executor,
             Options options,
             WatchableTable &table,
             LeaderDirectory &directory,
             OperatorSync &operators,
             ControlCaller &caller);

    void start();

    /// The term of this process while it leads, otherwise null.
    [[nodiscard]] std::shared_ptr<LeaderTerm> term() const
    {
        return m_term.load();
    }

    /// Hands leadership over, if this process has it, and takes none any more.
    boost::asio::awaitable<void> leave();

private:
    boost::asio::awaitable<void> followLoop();
    boost::asio::awaitable<void> candidateLoop();
    boost::asio::awaitable<void> tryToLead();
    void onLeaderRow(const Row *row, TimePoint now);

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    Options m_options;
    WatchableTable &m_table;
    LeaderDirectory &m_directory;
    OperatorSync &m_operators;
    ControlCaller &m_caller;
    Scheduling::Candidacy m_candidacy;
    std::atomic<std::shared_ptr<LeaderTerm>> m_term;
    std::atomic<bool> m_leaving{false};
    /// From the attempt to lead to the end of the term.
    bool m_takingOver = false;
};

} // namespace Carobflow
