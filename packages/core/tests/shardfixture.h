#pragma once

#include "carobflow/core/shardleader.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Carobflow::Testing
{

/// An in-memory table and object store. Every operation succeeds at once unless a test sets `loseReplies`.
struct Store {
    std::map<std::string, Row> rows;
    std::map<std::string, std::string> objects;
    std::uint64_t version = 0;
    /// Number of commits whose reply is lost from now on; `appliesLost` decides whether they take effect.
    int loseReplies = 0;
    bool appliesLost = true;

    std::optional<std::string> conflictOf(const Transaction &transaction) const
    {
        for (const Condition &condition : transaction.conditions) {
            const auto row = rows.find(condition.key);
            if ((row == rows.end() ? 0 : row->second.version) != condition.version) {
                return condition.key;
            }
        }
        return std::nullopt;
    }

    TransactOutcome transact(const Transaction &transaction)
    {
        if (const auto conflict = conflictOf(transaction)) {
            return Conflict{*conflict};
        }
        ++version;
        for (const Mutation &mutation : transaction.mutations) {
            rows.erase(mutation.key);
            if (mutation.value) {
                rows[mutation.key] = {.key = mutation.key, .value = *mutation.value, .version = version};
            }
        }
        return Committed{version};
    }

    std::vector<Row> range(const ReadRangeOperation &read) const
    {
        std::vector<Row> found;
        for (auto row = rows.upper_bound(read.after); row != rows.end() && found.size() < read.limit; ++row) {
            if (row->first.starts_with(read.prefix)) {
                found.push_back(row->second);
            }
        }
        return found;
    }
};

struct Fixture {
    Store store;
    TimePoint now{std::chrono::hours(1)};

    /// Executes the leader's store operations until none is due at the current time.
    void step(ShardLeader &leader)
    {
        while (const auto operation = leader.nextOperation(now, 1000)) {
            if (const auto *read = std::get_if<ReadRowOperation>(&*operation)) {
                const auto row = store.rows.find(read->key);
                leader.onRows(now, row == store.rows.end() ? std::vector<Row>{} : std::vector<Row>{row->second});
            } else if (const auto *range = std::get_if<ReadRangeOperation>(&*operation)) {
                leader.onRows(now, store.range(*range));
            } else if (const auto *commit = std::get_if<TransactOperation>(&*operation)) {
                if (store.loseReplies > 0) {
                    --store.loseReplies;
                    if (store.appliesLost) {
                        store.transact(commit->transaction);
                    }
                    leader.onTransact(now, ReplyLost{"test"});
                } else {
                    leader.onTransact(now, store.transact(commit->transaction));
                }
            } else if (const auto *object = std::get_if<ReadObjectOperation>(&*operation)) {
                leader.onObjectRead(now, store.objects.at(object->key));
            } else if (const auto *write = std::get_if<WriteObjectOperation>(&*operation)) {
                store.objects[write->key] = write->bytes;
                leader.onObjectWritten(now, std::monostate());
            }
        }
    }

    /// Advances the time in steps of 50 ms and executes the leader's store operations at each.
    void advance(ShardLeader &leader, Milliseconds time)
    {
        for (const TimePoint end = now + time; now < end; now += Milliseconds(50)) {
            step(leader);
        }
        step(leader);
    }

    /// Delivers a report, lets its decisions be committed, and returns the orders for the host.
    HostOrders report(ShardLeader &leader,
                      const std::string &host,
                      std::vector<TaskReport> tasks,
                      Epoch epoch = 1,
                      std::vector<ServiceWindow> windows = {},
                      bool full = true)
    {
        static std::uint64_t sequence = 0;
        leader.onReport(now,
                        {.host = {.name = host, .dataCentre = "dc-" + host, .rack = {}, .capacity = {4000, 4000, 0}},
                         .bootId = 1,
                         .sequence = ++sequence,
                         .epoch = epoch,
                         .sheetVersion = 0,
                         .full = full,
                         .tasks = std::move(tasks),
                         .windows = std::move(windows),
                         .leaving = false});
        advance(leader, Milliseconds(100));
        return leader.ordersFor(now, host);
    }
};

inline JobSpec makeJob(std::string id, Resources declared = {1000, 1000, 0})
{
    return {.id = std::move(id), .team = "sewing", .jobClass = "reseam", .declared = declared, .runSeconds = 10};
}

inline TaskReport makeTask(const StartOrder &order, ReportedState state)
{
    TaskReport task;
    task.job = order.job;
    task.fence = order.fence;
    task.state = state;
    return task;
}

inline ShardLeader::Options options(std::string host, std::uint64_t seed)
{
    ShardLeader::Options options;
    options.host = std::move(host);
    options.seed = seed;
    options.snapshotEvery = 5;
    return options;
}

} // namespace Carobflow::Testing
