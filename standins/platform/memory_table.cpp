#include "memory_table.h"

#include "rattanrack/base/time.h"

#include <algorithm>
#include <set>

namespace rattanrack::standin {

using namespace platform;

CommitOutcome MemoryTable::commit(const Transaction& transaction)
{
    const std::lock_guard guard { m_mutex };
    ++m_counters.commits;
    const bool allHold = std::ranges::all_of(transaction.conditions, [&](const auto& each) { return holds(each); });
    if (!allHold) {
        ++m_counters.conflicts;
        m_history.push_back({ wallClockMilliseconds(), transaction, CommitStatus::Conflict, 0 });
        return { CommitStatus::Conflict, 0, {} };
    }
    const RowVersion version = ++m_lastVersion;
    for (const auto& write : transaction.writes)
        apply(write, version);
    m_counters.rowsWritten += transaction.writes.size();
    m_history.push_back({ wallClockMilliseconds(), transaction, CommitStatus::Done, version });
    return { CommitStatus::Done, version, {} };
}

Result<Rows> MemoryTable::read(const std::vector<std::string>& keys)
{
    const std::lock_guard guard { m_mutex };
    ++m_counters.reads;
    Rows rows;
    for (const auto& key : std::set<std::string> { keys.begin(), keys.end() }) {
        const auto found = m_rows.find(key);
        if (found != m_rows.end())
            rows.push_back(found->second);
    }
    return rows;
}

Result<Rows> MemoryTable::scan(const std::string& prefix, RowVersion newerThan, std::size_t limit)
{
    const std::lock_guard guard { m_mutex };
    ++m_counters.reads;
    Rows rows;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && rows.size() < limit; ++row) {
        if (!row->first.starts_with(prefix))
            break;
        if (row->second.version > newerThan)
            rows.push_back(row->second);
    }
    return rows;
}

std::vector<CommitRecord> MemoryTable::history(std::size_t first, std::size_t limit) const
{
    const std::lock_guard guard { m_mutex };
    const auto begin = std::min(first, m_history.size());
    const auto end = begin + std::min(limit, m_history.size() - begin);
    return { m_history.begin() + static_cast<std::ptrdiff_t>(begin),
        m_history.begin() + static_cast<std::ptrdiff_t>(end) };
}

TableCounters MemoryTable::counters() const
{
    const std::lock_guard guard { m_mutex };
    return m_counters;
}

bool MemoryTable::holds(const Condition& condition) const
{
    const auto found = m_rows.find(condition.key);
    return (found == m_rows.end() ? 0 : found->second.version) == condition.version;
}

void MemoryTable::apply(const Write& write, RowVersion version)
{
    if (write.value)
        m_rows[write.key] = { write.key, *write.value, version };
    else
        m_rows.erase(write.key);
}

} // namespace rattanrack::standin
