#pragma once

#include "rattanrack/base/error.h"
#include "rattanrack/platform/table.h"
#include "rattanrack/policy/fleet_change.h"

#include <optional>
#include <vector>

namespace rattanrack::node {

/// Rows of the fleet that are new since an earlier reading, or all of them.
struct FleetRows {
    std::vector<policy::VmRecord> vms;
    std::vector<policy::PoolRecord> pools;
    std::vector<policy::RollOutRecord> rollOuts;
    std::optional<policy::BorrowingRecord> borrowing;
    platform::RowVersion version { 0 }; ///< Highest version among the rows; where the next reading goes on.
    bool isComplete { false }; ///< True when rows that are not listed do not exist.
};

/// The fleet's records in the platform's table. Blocking; safe from several threads.
class FleetStore {
public:
    /// `table` must outlive this object.
    explicit FleetStore(platform::Table& table)
        : m_table(table)
    {
    }

    /// Rows newer than `newerThan`; 0 reads all. A row that can't be decoded is logged and left out. Errors:
    /// Unavailable, MalformedMessage.
    Result<FleetRows> read(platform::RowVersion newerThan);

    /// Commits a change under the conditions of its records' versions.
    platform::CommitOutcome commit(const policy::FleetChange& change);

private:
    platform::Table& m_table;
};

/// The rows that stand for `change`.
platform::Transaction transactionOf(const policy::FleetChange& change);

} // namespace rattanrack::node
