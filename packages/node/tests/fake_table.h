#pragma once

#include "rattanrack/platform/table.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <vector>

namespace rattanrack::node::testing {

/// An in-memory table whose next commits can be made to fail in the ways of the real table.
class FakeTable final : public platform::Table {
public:
    enum class Fault { None, Down, ResponseLost, RequestLost };

    void failNext(std::vector<Fault> faults)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = std::move(faults);
    }

    platform::CommitOutcome commit(const platform::Transaction& transaction) override
    {
        const std::lock_guard lock(m_mutex);
        const Fault fault = nextFault();
        if (fault == Fault::Down)
            return { platform::CommitStatus::Unavailable, 0, "down" };
        if (fault == Fault::RequestLost)
            return { platform::CommitStatus::Unknown, 0, "lost" };
        const bool holds = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
            [this](const auto& condition) { return versionOf(condition.key) == condition.version; });
        if (!holds)
            return { platform::CommitStatus::Conflict, 0, {} };
        ++m_version;
        ++m_commits;
        for (const platform::Write& write : transaction.writes) {
            if (write.value)
                m_rows[write.key] = { write.key, *write.value, m_version };
            else
                m_rows.erase(write.key);
        }
        if (fault == Fault::ResponseLost)
            return { platform::CommitStatus::Unknown, 0, "lost" };
        return { platform::CommitStatus::Done, m_version, {} };
    }

    Result<platform::Rows> read(const std::vector<std::string>& keys) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDown)
            return fail(ErrorCode::Unavailable, "table.read", "fake");
        platform::Rows rows;
        for (const std::string& key : keys) {
            if (const auto found = m_rows.find(key); found != m_rows.end())
                rows.push_back(found->second);
        }
        return rows;
    }

    Result<platform::Rows> scan(const std::string& prefix, platform::RowVersion newerThan, std::size_t limit) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDown)
            return fail(ErrorCode::Unavailable, "table.scan", "fake");
        platform::Rows rows;
        for (const auto& [key, row] : m_rows) {
            if (key.starts_with(prefix) && row.version > newerThan && rows.size() < limit)
                rows.push_back(row);
        }
        return rows;
    }

    void setDown(bool isDown)
    {
        const std::lock_guard lock(m_mutex);
        m_isDown = isDown;
    }

    std::size_t commits() const
    {
        const std::lock_guard lock(m_mutex);
        return m_commits;
    }

private:
    Fault nextFault()
    {
        if (m_isDown)
            return Fault::Down;
        if (m_faults.empty())
            return Fault::None;
        const Fault fault = m_faults.front();
        m_faults.erase(m_faults.begin());
        return fault;
    }

    platform::RowVersion versionOf(const std::string& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? 0 : found->second.version;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, platform::Row> m_rows;
    std::vector<Fault> m_faults;
    platform::RowVersion m_version { 0 };
    std::size_t m_commits { 0 };
    bool m_isDown { false };
};

} // namespace rattanrack::node::testing
