#pragma once

#include "rattanrack/platform/table.h"

#include <algorithm>
#include <map>

namespace rattanrack::peer {

/// A table in memory with the rules of the real one. Faults are up to the caller.
class InMemoryTable {
public:
    platform::CommitOutcome commit(const platform::Transaction& transaction)
    {
        const bool holds = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
            [&](const platform::Condition& condition) { return version(condition.key) == condition.version; });
        if (!holds)
            return { platform::CommitStatus::Conflict, 0, "" };
        ++m_version;
        ++m_commits;
        for (const platform::Write& write : transaction.writes) {
            if (write.value)
                m_rows[write.key] = { write.key, *write.value, m_version };
            else
                m_rows.erase(write.key);
        }
        return { platform::CommitStatus::Done, m_version, "" };
    }

    platform::Rows read(const std::vector<std::string>& keys) const
    {
        platform::Rows rows;
        for (const auto& [key, row] : m_rows)
            if (std::find(keys.begin(), keys.end(), key) != keys.end())
                rows.push_back(row);
        return rows;
    }

    platform::Rows scan(const std::string& prefix, platform::RowVersion newerThan) const
    {
        platform::Rows rows;
        for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row)
            if (row->second.version > newerThan)
                rows.push_back(row->second);
        return rows;
    }

    platform::RowVersion version(const std::string& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? 0 : found->second.version;
    }
    const std::map<std::string, platform::Row>& rows() const { return m_rows; }
    std::uint64_t commits() const { return m_commits; }

private:
    std::map<std::string, platform::Row> m_rows;
    platform::RowVersion m_version { 0 };
    std::uint64_t m_commits { 0 };
};

} // namespace rattanrack::peer
