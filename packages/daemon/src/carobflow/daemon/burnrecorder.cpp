#include "carobflow/daemon/burnrecorder.h"

#include "carobflow/connectors/tableservice.h"
#include "carobflow/daemon/internal/asyncwait.h"
#include "carobflow/daemon/internal/identifiers.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace Carobflow
{
namespace
{

constexpr std::int64_t SecondsPerMinute = 60;
constexpr std::int64_t MinutesPerHour = 60;
constexpr std::size_t PageSize = 200;
constexpr std::string_view Prefix = "burn/";

std::string hourKey(std::int64_t hour)
{
    const std::string digits = std::to_string(hour);
    return std::string(Prefix) + std::string(digits.size() < 10 ? 10 - digits.size() : 0, '0') + digits;
}

} // namespace

BurnRecorder::BurnRecorder(Options options, TableService &table)
    : m_options(std::move(options))
    , m_table(table)
{
}

void BurnRecorder::record(std::string_view service, bool good)
{
    const std::int64_t minute = unixSeconds() / SecondsPerMinute;
    const std::lock_guard lock(m_mutex);
    Hour &hour = m_hours[minute / MinutesPerHour];
    Minute &counts = hour.counts[{std::string(service), minute}];
    ++counts.total;
    counts.bad += good ? 0 : 1;
    hour.changed = true;
}

boost::asio::awaitable<void> BurnRecorder::run()
{
    for (;;) {
        co_await sleepFor(m_options.flushInterval);
        co_await flush();
    }
}

boost::asio::awaitable<void> BurnRecorder::flush()
{
    std::vector<std::pair<std::int64_t, std::vector<BurnCount>>> changed;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[hour, entry] : m_hours) {
            if (!entry.changed) {
                continue;
            }
            entry.changed = false;
            auto &rows = changed.emplace_back(hour, std::vector<BurnCount>()).second;
            for (const auto &[key, counts] : entry.counts) {
                rows.push_back({.service = key.first, .minute = key.second, .total = counts.total, .bad = counts.bad});
            }
        }
    }
    const std::int64_t currentHour = unixSeconds() / SecondsPerMinute / MinutesPerHour;
    for (const auto &[hour, rows] : changed) {
        // The row holds this process's counts for the whole hour, so repeating the write replaces it and counts nothing
        // twice.
        const Transaction transaction{.conditions = {},
                                      .mutations = {{hourKey(hour) + "/" + m_options.writer,
                                                     boost::json::serialize(boost::json::value_from(rows))}}};
        const auto outcome = co_await m_table.transact(transaction);
        const std::lock_guard lock(m_mutex);
        if (!std::holds_alternative<Committed>(outcome)) {
            m_hours[hour].changed = true;
        } else if (hour + 1 < currentHour && !m_hours[hour].changed) {
            m_hours.erase(hour);
        }
    }
}

boost::asio::awaitable<Result<std::vector<BurnCount>>> BurnRecorder::load(std::int64_t firstMinute)
{
    co_await flush();
    std::vector<BurnCount> counts;
    std::string after = hourKey(firstMinute / MinutesPerHour);
    for (;;) {
        const auto rows = co_await m_table.readRange(Prefix, after, PageSize);
        if (!isOk(rows)) {
            co_return errorOf(rows);
        }
        for (const Row &row : valueOf(rows)) {
            after = row.key;
            boost::system::error_code error;
            const auto json = boost::json::parse(row.value, error);
            if (error) {
                continue;
            }
            if (auto parsed = boost::json::try_value_to<std::vector<BurnCount>>(json)) {
                counts.insert(counts.end(), parsed->begin(), parsed->end());
            }
        }
        if (valueOf(rows).size() < PageSize) {
            co_return counts;
        }
    }
}

} // namespace Carobflow
