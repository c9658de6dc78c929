#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/policy/fleet_change.h"

#include <optional>
#include <vector>

namespace rattanrack::node {

/// Rows of the fleet that are newer than an earlier read, or all of them.
struct FleetRows {
    std::vector<policy::VmRecord> vms;
    std::vector<policy::PoolRecord> pools;
    std::vector<policy::RollOutRecord> rollOuts;
    std::optional<policy::BorrowingRecord> borrowing;
    platform::RowVersion version { 0 }; ///< Highest version among the rows; the next read continues there.
    bool isComplete { false }; ///< True if rows that are not listed do not exist.
};

/// The fleet's records in the platform's table. Blocking; thread-safe.
class FleetStore {
public:
    /// `table` must outlive this object.
    explicit FleetStore(platform::Table& table)
        : m_table(table)
    {
    }

    /// Reads the rows newer than `newerThan`; 0 reads all rows. A row that can't be decoded is logged and skipped.
    /// Errors: Unavailable, MalformedMessage.
    Result<FleetRows> read(platform::RowVersion newerThan);

    /// Commits a change, on condition that its records' versions are current.
    platform::CommitOutcome commit(const policy::FleetChange& change);

private:
    platform::Table& m_table;
};

/// Returns the transaction that stores `change`.
platform::Transaction transactionOf(const policy::FleetChange& change);

} // namespace rattanrack::node
