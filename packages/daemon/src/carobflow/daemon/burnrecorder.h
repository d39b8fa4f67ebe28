#pragma once

#include "carobflow/core/burnreport.h"
#include "carobflow/core/result.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Carobflow
{

class TableService;

/// Counts requests that missed their service level, and keeps the counts of each hour in one row of the table, which
/// only this process writes. Safe to call from several threads.
class BurnRecorder
{
public:
    struct Options {
        /// Distinguishes the rows of this process from those of any other start.
        std::string writer;
        Milliseconds flushInterval{15000};
    };

    BurnRecorder(Options options, TableService &table);

    void record(std::string_view service, bool good);

    /// Writes changed hours until the process ends.
    boost::asio::awaitable<void> run();

    /// Writes all changed hours once.
    boost::asio::awaitable<void> flush();

    /// The counts of all processes since the given minute. Errors: Unavailable, Timeout.
    boost::asio::awaitable<Result<std::vector<BurnCount>>> load(std::int64_t firstMinute);

private:
    struct Minute {
        std::uint64_t total = 0;
        std::uint64_t bad = 0;
    };

    using MinuteCounts = std::map<std::pair<std::string, std::int64_t>, Minute>;

    struct Hour {
        MinuteCounts counts;
        bool changed = false;
    };

    Options m_options;
    TableService &m_table;
    std::mutex m_mutex;
    std::map<std::int64_t, Hour> m_hours;
};

} // namespace Carobflow
