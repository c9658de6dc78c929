#pragma once

#include "rattanrack/platform/table.h"

#include <map>
#include <mutex>

namespace rattanrack::standin {

/// One transaction as the table saw it.
struct CommitRecord {
    std::int64_t at { 0 }; ///< Milliseconds since the Unix epoch.
    platform::Transaction transaction;
    platform::CommitStatus status { platform::CommitStatus::Done };
    platform::RowVersion version { 0 };
};

struct TableCounters {
    std::uint64_t reads { 0 };
    std::uint64_t commits { 0 };
    std::uint64_t conflicts { 0 };
    std::uint64_t rowsWritten { 0 };
};

/// A transactional table in memory that keeps all its history. Safe from several threads.
class MemoryTable final : public platform::Table {
public:
    platform::CommitOutcome commit(const platform::Transaction&) override;
    Result<platform::Rows> read(const std::vector<std::string>& keys) override;
    Result<platform::Rows> scan(const std::string& prefix, platform::RowVersion newerThan, std::size_t limit) override;

    /// Records from number `first` on, at most `limit`.
    std::vector<CommitRecord> history(std::size_t first, std::size_t limit) const;
    TableCounters counters() const;

private:
    bool holds(const platform::Condition&) const;
    void apply(const platform::Write&, platform::RowVersion);

    mutable std::mutex m_mutex;
    std::map<std::string, platform::Row> m_rows;
    platform::RowVersion m_lastVersion { 0 };
    std::vector<CommitRecord> m_history;
    TableCounters m_counters;
};

} // namespace rattanrack::standin
