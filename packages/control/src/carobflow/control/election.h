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

/// Watches the leader's row in the store. A candidate also takes over leadership when the row is no longer renewed.
class Election
{
public:
    struct Options {
        /// True for agents; entries only watch the row.
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

    /// Resigns leadership, if this process holds it, and stops being a candidate.
    boost::asio::awaitable<void> leave();

private:
    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<void> candidateLoop();
    boost::asio::awaitable<void> tryToLead();
    void onLeaderRow(const Row *row, TimePoint now);
    [[nodiscard]] Scheduling::Vacancy vacancyOf(const carobflow::control::Leadership &leadership, TimePoint now) const;

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
    /// True from the attempt to take over until the end of the term.
    bool m_takingOver = false;
};

} // namespace Carobflow
