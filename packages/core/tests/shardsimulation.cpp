#include "shardsimulation.h"

namespace Carobflow::Testing
{

namespace
{

std::vector<LedgerRecord> decode(const std::string &value)
{
    const Result<std::vector<LedgerRecord>> records = decodeLedgerRow(value);
    REQUIRE(isOk(records));
    return valueOf(records);
}

} // namespace

TransactOutcome FakeStore::transact(const Transaction &transaction)
{
    for (const Condition &condition : transaction.conditions) {
        const auto row = m_rows.find(condition.key);
        if ((row == m_rows.end() ? 0 : row->second.version) != condition.version) {
            return Conflict{condition.key};
        }
    }
    ++m_version;
    for (const Mutation &mutation : transaction.mutations) {
        m_rows.erase(mutation.key);
        if (mutation.value) {
            m_rows[mutation.key] = {.key = mutation.key, .value = *mutation.value, .version = m_version};
            if (mutation.key.starts_with(ledgerPrefix(0))) {
                applyLedgerRow(mutation.key, *mutation.value);
            }
        }
    }
    return Committed{m_version};
}

void FakeStore::applyLedgerRow(const std::string &key, const std::string &value)
{
    m_ledger.push_back(value);
    INFO("ledger row " << key << " " << value);
    REQUIRE(key == ledgerRowKey(0, m_ledger.size()));
    for (const LedgerRecord &record : decode(value)) {
        if (const auto *assigned = std::get_if<TaskAssigned>(&record)) {
            REQUIRE(assigned->fence > replica.lastFence());
            REQUIRE(isInService(assigned->host));
            assignments[assigned->fence] = m_lastCheckpoint[assigned->job];
        } else if (const auto *stop = std::get_if<TaskStopRequested>(&record)) {
            const std::string reason = stop->reason.substr(0, stop->reason.find(' ', 4));
            ++evictions[reason];
            // An urgent job must not preempt another urgent job.
            REQUIRE((reason != "room" || replica.find(stop->job)->spec.urgency == Urgency::Normal));
        } else if (const auto *recorded = std::get_if<CheckpointRecorded>(&record)) {
            m_lastCheckpoint[recorded->job] = recorded->checkpoint;
        } else if (const auto *ended = std::get_if<TaskEnded>(&record)) {
            if (ended->outcome == ReportedState::Finished) {
                m_lastCheckpoint.erase(ended->job);
            } else if (!ended->checkpoint.empty()) {
                m_lastCheckpoint[ended->job] = ended->checkpoint;
            }
        }
        replica.apply(record);
    }
}

std::vector<Row> FakeStore::range(const ReadRangeOperation &read) const
{
    std::vector<Row> found;
    for (auto row = m_rows.upper_bound(read.after); row != m_rows.end() && found.size() < read.limit; ++row) {
        if (row->first.starts_with(read.prefix)) {
            found.push_back(row->second);
        }
    }
    return found;
}

std::vector<Row> FakeStore::row(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::vector<Row>{} : std::vector<Row>{found->second};
}

void FakeStore::writeObject(const std::string &key, const std::string &bytes)
{
    ShardState replayed;
    std::uint64_t sequence = 0;
    while (snapshotKey(0, sequence) != key) {
        REQUIRE(sequence < m_ledger.size());
        for (const LedgerRecord &record : decode(m_ledger[sequence++])) {
            replayed.apply(record);
        }
    }
    // The interference model follows the state on a line of its own.
    const std::string state = bytes.substr(0, bytes.find('\n'));
    REQUIRE(replayed.snapshot() == state);
    REQUIRE(valueOf(ShardState::restore(state)).snapshot() == state);
    objects[key] = bytes;
    ++snapshots;
}

void FakeWorker::update(TrueTime now, std::map<std::string, std::int64_t> &checkpoints)
{
    constexpr TrueTime checkpointInterval = 2000;
    for (auto &[ref, task] : tasks) {
        if (task.state != ReportedState::Running && task.state != ReportedState::Stopping) {
            continue;
        }
        const auto write = [&checkpoints, &ref = ref, &task = task](TrueTime time) {
            task.checkpoint = ref.job + "/" + std::to_string(ref.fence) + "/" + std::to_string(time);
            task.checkpointAt = time;
            checkpoints[task.checkpoint] = task.workBefore + time - task.startedAt;
        };
        const TrueTime finish = task.startedAt + task.totalWork - task.workBefore;
        const TrueTime stop = task.state == ReportedState::Stopping ? task.stopAt : now + 1;
        const TrueTime end = std::min({finish, stop, task.leaseEnd});
        while (task.checkpointAt + checkpointInterval < std::min(end, now)) {
            write(task.checkpointAt + checkpointInterval);
        }
        if (end > now) {
            continue;
        }
        if (end == finish) {
            task.state = task.fails ? ReportedState::Failed : ReportedState::Finished;
        } else if (end == task.leaseEnd) {
            task.state = ReportedState::Lost;
        } else {
            task.state = ReportedState::Stopped;
            if (task.checkpointAtStop) {
                write(end);
            }
        }
    }
}

bool FakeWorker::runs(const std::string &job) const
{
    return std::ranges::any_of(tasks, [&job](const auto &entry) {
        return entry.first.job == job
            && (entry.second.state == ReportedState::Running || entry.second.state == ReportedState::Stopping);
    });
}

} // namespace Carobflow::Testing
