#pragma once

#include "rattanrack/platform/table.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace rattanrack::test {

/// A table in memory that can be unavailable or drop the responses of commits that took effect.
class FaultyTable final : public platform::Table {
public:
    platform::CommitOutcome commit(const platform::Transaction& transaction) override
    {
        using platform::CommitStatus;
        if (isUnavailable)
            return { CommitStatus::Unavailable, 0, "down" };
        const std::lock_guard guard { m_mutex };
        const bool allHold = std::ranges::all_of(transaction.conditions, [&](const auto& condition) {
            const auto row = m_rows.find(condition.key);
            return (row == m_rows.end() ? 0 : row->second.version) == condition.version;
        });
        if (!allHold)
            return { CommitStatus::Conflict, 0, {} };
        ++m_lastVersion;
        for (const auto& write : transaction.writes)
            apply(write);
        const bool isDropped = responsesToDrop > 0 && responsesToDrop-- > 0;
        return { isDropped ? CommitStatus::Unknown : CommitStatus::Done, m_lastVersion, {} };
    }

    Result<platform::Rows> read(const std::vector<std::string>& keys) override
    {
        return collect([&](const std::string& key) { return std::ranges::find(keys, key) != keys.end(); });
    }

    Result<platform::Rows> scan(const std::string& prefix, platform::RowVersion, std::size_t) override
    {
        return collect([&](const std::string& key) { return key.starts_with(prefix); });
    }

    std::atomic<bool> isUnavailable { false };
    std::atomic<int> responsesToDrop { 0 };

private:
    void apply(const platform::Write& write)
    {
        if (write.value)
            m_rows[write.key] = { write.key, *write.value, m_lastVersion };
        else
            m_rows.erase(write.key);
    }

    template <typename Predicate> Result<platform::Rows> collect(Predicate isWanted)
    {
        if (isUnavailable)
            return fail(ErrorCode::Unavailable, "table.read");
        const std::lock_guard guard { m_mutex };
        platform::Rows rows;
        for (const auto& [key, row] : m_rows) {
            if (isWanted(key))
                rows.push_back(row);
        }
        return rows;
    }

    std::mutex m_mutex;
    std::map<std::string, platform::Row> m_rows;
    platform::RowVersion m_lastVersion { 0 };
};

} // namespace rattanrack::test
