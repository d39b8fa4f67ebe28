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

/// Counts requests and those that missed their service level, per service and minute. The counts of each hour are
/// stored in one table row that only this process writes. Thread-safe.
class BurnRecorder
{
public:
    struct Options {
        /// Unique for each process start, so that no two processes write the same row.
        std::string writer;
        Milliseconds flushInterval{15000};
    };

    BurnRecorder(Options options, TableService &table);

    void record(std::string_view service, bool good);

    /// Periodically writes changed hours until the process ends.
    boost::asio::awaitable<void> run();

    /// Writes all changed hours once.
    boost::asio::awaitable<void> flush();

    /// Returns the counts of all processes from the hour of the given minute on. Errors: Unavailable, Timeout.
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
